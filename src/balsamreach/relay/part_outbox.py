"""Sends reports about parts of prompts to the other routers."""

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.routing.part_suspects import PartKey
from balsamreach.wire.membership import Member
from balsamreach.wire.part_reports import PartReport, PartReports

_MS = 1000
#: Minimum seconds between two messages. All requests at a target that crashes
#: break at the same moment.
_MIN_INTERVAL_S = 0.02
#: Maximum reports of a message. More are made only while many targets die, and
#: then those that are left out tell nothing new.
_MAX_REPORTS = 256


@attrs.frozen
class _Queued:
    report: PartReport
    made_at: float


@attrs.define(eq=False)
class PartOutbox:
    """Collects reports for a moment, and sends them in one message.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    clock : Clock
        Source of the current time.
    replies : dict of PartKey to PartReport
        Answers that disprove what others have reported, to be sent with the
        next round unless another router does so before.
    """

    net: PeerNet
    clock: Clock
    replies: dict[PartKey, PartReport] = attrs.field(factory=dict)
    _queue: list[_Queued] = attrs.field(factory=list)
    _sent_at: float = float('-inf')
    _members: tuple[Member, ...] = ()
    _informed: set[str] = attrs.field(factory=set)

    def add(self, report: PartReport) -> None:
        """Send a report now, or a moment after the message before."""
        if len(self._queue) < _MAX_REPORTS:
            self._queue.append(_Queued(report, self.clock.now()))
        self.flush()

    def flush(self) -> None:
        """Send the collected reports if the last message is old enough."""
        now = self.clock.now()
        if not self._queue or now < self._sent_at + _MIN_INTERVAL_S:
            return
        self._sent_at = now
        self.net.broadcast(PartReports(_with_ages(self._queue, now)))
        self._queue.clear()

    def send_replies(self) -> None:
        """Send the replies that no other router has sent."""
        # All routers see the answers to a common part. Their rounds begin at
        # different times, so few of them reply.
        for report in self.replies.values():
            self.add(report)
        self.replies.clear()

    def forward(self, reports: tuple[PartReport, ...], source: Member) -> None:
        """Pass on what another router has reported and this one didn't know."""
        if reports:
            self.net.broadcast(PartReports(reports), source)

    def inform_new(self, reports: tuple[PartReport, ...]) -> None:
        """Tell routers that have joined since what they must know.

        Parameters
        ----------
        reports : tuple of PartReport
            All quarantined parts.
        """
        members = self.net.members()
        if members != self._members:
            self._members = members
            self._informed &= {one.incarnation for one in members}
        if not reports or len(self._informed) >= len(members):
            return
        for member in members:
            if member.incarnation not in self._informed and self._inform(
                member, reports
            ):
                self._informed.add(member.incarnation)

    def _inform(self, member: Member, reports: tuple[PartReport, ...]) -> bool:
        me = self.net.me
        hubs = self.net.hubs.hubs_of(me.zone)
        is_mine = not hubs or any(
            hub.incarnation == me.incarnation for hub in hubs
        )
        # In a fleet with hubs, those of its zone inform a new router.
        if member.incarnation == me.incarnation or not is_mine:
            return True
        if hubs and member.zone != me.zone:
            return True
        return self.net.tell(member.incarnation, PartReports(reports))


def _with_ages(queue: list[_Queued], now: float) -> tuple[PartReport, ...]:
    return tuple(
        attrs.evolve(
            one.report,
            age_ms=one.report.age_ms + round((now - one.made_at) * _MS),
        )
        for one in queue
    )
