"""Builds the messages in which a router describes itself."""

from collections.abc import Callable

import attrs

from balsamreach.peers.membership import Membership
from balsamreach.wire.membership import PROTOCOL_VERSION, Heartbeat, Hello


@attrs.define(eq=False)
class LocalStatus:
    """Builds the current Hello and heartbeat of this router.

    Parameters
    ----------
    fleet : str
        Name of the fleet; routers of other fleets are refused.
    membership : Membership
        Source of this router's member entry.
    table_version : callable
        Returns the version of the table in force here.
    evacuations_digest : callable
        Returns the digest of the evacuations known here.
    """

    fleet: str
    membership: Membership
    table_version: Callable[[], int] = int
    evacuations_digest: Callable[[], int] = int

    def hello(self) -> Hello:
        """Return the Hello message."""
        return Hello(
            PROTOCOL_VERSION,
            self.fleet,
            self.membership.me,
            self.table_version(),
        )

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat message."""
        return Heartbeat(self.table_version(), self.evacuations_digest())
