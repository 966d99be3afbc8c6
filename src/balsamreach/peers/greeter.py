"""What a router says of itself on its connections."""

from collections.abc import Callable

import attrs

from balsamreach.peers.membership import Membership
from balsamreach.wire.membership import PROTOCOL_VERSION, Heartbeat, Hello


@attrs.define(eq=False)
class Greeter:
    """Makes greetings and heartbeats as of now.

    Parameters
    ----------
    fleet : str
        Name of the fleet; others are strangers.
    membership : Membership
        Knows this router.
    table_version : callable
        Returns the version of the table in force here.
    orders : callable
        Returns the digest of the evacuations known here.
    """

    fleet: str
    membership: Membership
    table_version: Callable[[], int] = int
    orders: Callable[[], int] = int

    def hello(self) -> Hello:
        """Return the greeting."""
        return Hello(
            PROTOCOL_VERSION,
            self.fleet,
            self.membership.me,
            self.table_version(),
        )

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat."""
        return Heartbeat(self.table_version(), self.orders())
