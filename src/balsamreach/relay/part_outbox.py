"""Sends reports about parts of prompts to the other routers."""

from collections import defaultdict
from collections.abc import Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.peers.rendezvous import rendezvous_weight
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
    to_all: bool


@attrs.define(eq=False)
class PartOutbox:
    """Collects reports for a moment, and sends them in one message.

    In a fleet without hubs every router tells all others what it sees. In a
    larger one that would be millions of messages when a rack dies. There, what
    is seen of a part goes to its keeper, the hub of one zone, and the keeper
    tells all others once it matters.

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

    @property
    def has_keepers(self) -> bool:
        """Whether what is seen of a part goes to its keeper first."""
        return bool(self.net.hubs.zones())

    def is_keeper(self, key: PartKey) -> bool:
        """Return whether this router is the keeper of a part."""
        return self._keeper(key) == self.net.me.incarnation

    def is_hub(self, member: Member) -> bool:
        """Return whether a router is a hub of its zone."""
        hubs = self.net.hubs.hubs_of(member.zone)
        return any(hub.incarnation == member.incarnation for hub in hubs)

    def add(self, *reports: PartReport, to_all: bool) -> None:
        """Send reports now, or a moment after the message before.

        Parameters
        ----------
        *reports : PartReport
            The reports.
        to_all : bool
            Whether all routers get them, or the keepers of their parts alone.
        """
        now = self.clock.now()
        room = _MAX_REPORTS - len(self._queue)
        self._queue.extend(
            _Queued(report, now, to_all) for report in reports[:room]
        )
        self.flush()

    def flush(self) -> None:
        """Send the collected reports if the last message is old enough."""
        now = self.clock.now()
        if not self._queue or now < self._sent_at + _MIN_INTERVAL_S:
            return
        self._sent_at = now
        to_all = _with_ages((one for one in self._queue if one.to_all), now)
        if to_all:
            self.net.broadcast(PartReports(to_all))
        self.route(
            _with_ages((one for one in self._queue if not one.to_all), now)
        )
        self._queue.clear()

    def send_replies(self) -> None:
        """Send the replies that no other router has sent."""
        # All routers see the answers to a common part. Their rounds begin at
        # different times, so few of them reply.
        for report in self.replies.values():
            self.add(report, to_all=not self.has_keepers)
        self.replies.clear()

    def route(self, reports: Iterable[PartReport]) -> None:
        """Send reports on the way to the keepers of their parts."""
        me = self.net.me
        hubs = self.net.hubs.hubs_of(me.zone)
        by_router = defaultdict(list)
        for report in reports:
            key = PartKey(report.service, report.model, report.part)
            # Only hubs have links to those of other zones.
            router = self._keeper(key)
            if hubs and not self.is_hub(me):
                router = hubs[0].incarnation
            by_router[router].append(report)
        for router, group in by_router.items():
            self.net.tell(router, PartReports(tuple(group), routed=True))

    def inform_new(self, reports: tuple[PartReport, ...]) -> None:
        """Tell routers that have joined since what they must know.

        Parameters
        ----------
        reports : tuple of PartReport
            All quarantined parts, and the breaks of those on trial.
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

    def _keeper(self, key: PartKey) -> str:
        hubs = self.net.hubs
        zone = max(
            hubs.zones(),
            key=lambda name: rendezvous_weight(key.part, name),
            default='',
        )
        keepers = hubs.hubs_of(zone) if zone else ()
        return keepers[0].incarnation if keepers else ''

    def _inform(self, member: Member, reports: tuple[PartReport, ...]) -> bool:
        me = self.net.me
        if member.incarnation == me.incarnation:
            return True
        # In a fleet with hubs, those of its zone inform a new router.
        if self.has_keepers and not (
            self.is_hub(me) and member.zone == me.zone
        ):
            return True
        return self.net.tell(member.incarnation, PartReports(reports))


def _with_ages(queue: Iterable[_Queued], now: float) -> tuple[PartReport, ...]:
    return tuple(
        attrs.evolve(
            one.report,
            age_ms=one.report.age_ms + round((now - one.made_at) * _MS),
        )
        for one in queue
    )
