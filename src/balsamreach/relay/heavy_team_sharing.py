"""Exchanges reports about heavy teams with the routers of the zone.

In a large fleet a router has connections to the hubs of its zone only, so the
first of them forwards the reports. A saturated host then sends each report
once.
"""

import heapq

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.relay.heavy_teams import HeavyTeamTracker
from balsamreach.wire.loads import HeavyTeams
from balsamreach.wire.membership import Member

#: Seconds after which a report is repeated.
_REPEAT_S = 2
#: Minimum seconds between two messages while this router's own state is the
#: same. A team whose rate varies around the threshold would otherwise cause
#: messages of over 6 KB/s in a large zone.
_MIN_INTERVAL_S = 0.5
#: Maximum number of teams in a message.
_MAX_TEAMS = 8
#: Maximum of the message's field.
_MAX_RATE = 2**32 - 1


@attrs.define(eq=False)
class HeavyTeamSharing:
    """Sends and receives reports about heavy teams.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    tracker : HeavyTeamTracker
        The heavy teams of this router, and the reports of others.
    clock : Clock
        Source of the current time.
    """

    net: PeerNet
    tracker: HeavyTeamTracker
    clock: Clock
    _sent: HeavyTeams = attrs.field(factory=HeavyTeams)
    _sent_at: float = float('-inf')

    def start(self) -> None:
        """Begin to receive reports."""
        self.net.on(HeavyTeams, self._receive)

    def run_round(self, *, out_of_rotation: bool) -> None:
        """Measure the teams, and report them if that is due.

        Parameters
        ----------
        out_of_rotation : bool
            Whether this router is out of rotation now.
        """
        self.tracker.update()
        heavy = self.tracker.heavy()
        teams = tuple(heapq.nlargest(_MAX_TEAMS, heavy, key=heavy.__getitem__))
        rates = tuple(min(heavy[team], _MAX_RATE) for team in teams)
        message = HeavyTeams(teams, rates, out_of_rotation)
        if self._is_due(message) and self._hubs():
            self._sent = message
            self._sent_at = self.clock.now()
            self._send(message)

    def _hubs(self) -> tuple[Member, ...]:
        return self.net.hubs.hubs_of(self.net.me.zone)

    def _is_hub(self) -> bool:
        me = self.net.me.incarnation
        return any(hub.incarnation == me for hub in self._hubs())

    def _send(self, message: HeavyTeams) -> None:
        if self._is_hub():
            self.net.tell_zone(message)
            return
        for hub in self._hubs():
            if self.net.tell(hub.incarnation, message):
                return

    def _is_due(self, message: HeavyTeams) -> bool:
        if message.out_of_rotation != self._sent.out_of_rotation:
            return True
        elapsed = self.clock.now() - self._sent_at
        if set(message.teams) - set(self._sent.teams):
            return elapsed >= _MIN_INTERVAL_S
        has_content = message.out_of_rotation or message.teams
        return bool(has_content) and elapsed >= _REPEAT_S

    async def _receive(self, member: Member, message: HeavyTeams) -> None:
        reporter = message.reporter or member.incarnation
        if reporter == self.net.me.incarnation:
            return
        rates = zip(message.teams, message.bytes_per_second, strict=False)
        self.tracker.reports.record(
            reporter,
            dict(rates),
            out_of_rotation=message.out_of_rotation,
        )
        if not message.reporter and self._is_hub():
            forwarded = attrs.evolve(message, reporter=reporter)
            self.net.tell_zone(forwarded, exclude=reporter)
