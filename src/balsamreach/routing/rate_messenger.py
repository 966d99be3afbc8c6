"""Sends rate messages and counts the routers that share the limits."""

from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member

#: Routers presumed dead still count in the split if they are more than this
#: part of the fleet.
_UNCOUNTED_SHARE = 1 / 8
#: Seconds between two counts of the routers.
_COUNT_INTERVAL = 1.0
_MESSAGES = 'balsamreach_rate_words_total'
_ROUTERS_COUNTED = 'balsamreach_rate_routers_counted'
_ROUTERS_HEARD = 'balsamreach_rate_routers_heard'
_SHARES_AGE = 'balsamreach_rate_shares_age_seconds'


@attrs.define(eq=False)
class RateMessenger:
    """Sends messages to other routers and counts them.

    Parameters
    ----------
    clock : Clock
        Clock of the router.
    net : PeerNet
        Connections to other routers.
    metrics : Metrics
        Metrics of the router.
    router_count : int
        Routers among which limits are split.
    """

    clock: Clock
    net: PeerNet
    metrics: Metrics
    router_count: int = 1
    _window: int = 0
    _counted_at: float = float('-inf')

    def next_window(self) -> int:
        """Return the sequence number of this router's next report."""
        self._window += 1
        return self._window

    def send(
        self,
        member: Member,
        message: Message,
        deliver_locally: Callable[[Member, Message], None],
    ) -> None:
        """Send a message, or deliver it locally if it is to this router.

        Parameters
        ----------
        member : Member
            The receiver.
        message : Message
            The message.
        deliver_locally : callable
            Handles the sender and the message.
        """
        if member.incarnation == self.net.me.incarnation:
            deliver_locally(self.net.me, message)
        elif not self.net.tell(member.incarnation, message):
            self.count_outcome('unsent')

    def count_outcome(self, outcome: str) -> None:
        """Count a message by its outcome."""
        self.metrics.count(_MESSAGES, outcome=outcome)

    def set_gauges(self, *, heard: int, age: float) -> None:
        """Set the gauges of routers heard and of the age of shares."""
        self.metrics.gauge(_ROUTERS_HEARD, heard)
        self.metrics.gauge(_SHARES_AGE, age)

    def count_routers(self) -> None:
        """Count the routers, at most once a second."""
        now = self.clock.now()
        if now - self._counted_at < _COUNT_INTERVAL:
            return
        self._counted_at = now
        # The far side of a partition is presumed dead after a while. While it
        # is remembered, it keeps its even shares, or both sides together would
        # use twice the rate. A router that returns at its address replaces its
        # dead entry. If only a few are lost, they most likely are dead:
        # keeping shares for them would refuse a team within its rate for an
        # hour after each host failure, while not keeping them can exceed the
        # rate only by these few even shares.
        members = self.net.members()
        known_addresses = {member.address for member in members}
        lost = [
            member
            for member in self.net.dead_members()
            if not member.leaving and member.address not in known_addresses
        ]
        total = len(members) + len(lost)
        few_lost = len(lost) <= total * _UNCOUNTED_SHARE
        self.router_count = max(1, len(members) if few_lost else total)
        self.metrics.gauge(_ROUTERS_COUNTED, self.router_count)
