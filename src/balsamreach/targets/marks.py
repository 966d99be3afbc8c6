"""Leaving marks: taken from wherever they arise, and told to peers."""

import logging
from collections.abc import Iterable

import attrs

from balsamreach.peers.base import PeerNet
from balsamreach.services.base import HostEntry
from balsamreach.targets.registry import Target, Targets
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.marks import InFlight, InFlightAsk, TargetMark
from balsamreach.wire.membership import Member

_LEAVING = 'leaving'
_logger = logging.getLogger(__name__)

FROM_ANSWER = 'answer'
FROM_HOST_LIST = 'host_list'
FROM_PEER = 'peer'
FROM_POWER = 'power'
FROM_TARGET = 'target'


@attrs.define(eq=False)
class Marks:
    """Marks starts of targets as leaving and tells peers at once.

    Parameters
    ----------
    targets : Targets
        Where marks take effect.
    net : PeerNet
        The other routers.
    """

    targets: Targets
    net: PeerNet
    metrics: Metrics
    _told: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Take the messages that concern leaving."""
        self.net.on(TargetMark, self.take_mark)
        self.net.on(InFlightAsk, self.take_ask)

    def mark(self, target: Target, incarnation: str, source: str) -> None:
        """Mark a start as leaving and spread the news."""
        if self._apply(target, incarnation, source):
            self.net.spread(TargetMark(target.name, incarnation))

    def take_hosts(self, hosts: Iterable[HostEntry]) -> None:
        """Mark what the host list shows as leaving.

        The list lags: only an entry that names the start is believed, or
        an old list would mark the start that came after.
        """
        leaving = {
            host.address: host.incarnation
            for host in hosts
            if host.state == _LEAVING and host.incarnation
        }
        for target in tuple(self.targets.by_name.values()):
            if target.row.address in leaving:
                incarnation = leaving[target.row.address]
                self.mark(target, incarnation, FROM_HOST_LIST)

    def catch_up(self) -> None:
        """Tell all marks to neighbours that were not there before.

        A router that restarts while the host list lags and the platform is
        away would otherwise send work to hosts that are leaving.
        """
        now = {member.incarnation for member in self.net.neighbours()}
        for incarnation in now - self._told:
            for target in self.targets.by_name.values():
                self._tell_all(incarnation, target)
        self._told = now

    async def take_mark(self, member: Member, mark: TargetMark) -> InFlight:
        """Take a peer's mark; the answer tells the requests in flight."""
        target = self.targets.by_name.get(mark.target)
        if target is None:
            return InFlight(mark.target, 0, closed=False)
        if self._apply(target, mark.incarnation, FROM_PEER):
            self.net.spread(mark, besides=member.incarnation)
        return self.count(target, mark.incarnation)

    async def take_ask(self, member: Member, ask: InFlightAsk) -> InFlight:
        """Tell the requests in flight at a target."""
        target = self.targets.by_name.get(ask.target)
        if target is None:
            return InFlight(ask.target, 0, closed=False)
        return self.count(target, target.report.incarnation)

    def count(self, target: Target, incarnation: str) -> InFlight:
        """Return own requests at a host, and whether no more can come.

        It is closed only if every row that leads to the host believes in
        the very start that is marked: a router that still believes in an
        earlier one would send to whatever answers there.
        """
        address = target.row.address
        return InFlight(
            target=target.name,
            requests=self.targets.in_flight_at(address),
            closed=all(
                other.has_left(incarnation)
                for other in self.targets.at_address(address)
            ),
        )

    def _apply(self, target: Target, incarnation: str, source: str) -> bool:
        address = target.row.address
        news = [
            other.mark_leaving(incarnation)
            for other in self.targets.at_address(address)
        ]
        if not any(news):
            return False
        self.metrics.count('balsamreach_target_marks_total', source=source)
        log_event(
            _logger,
            logging.INFO,
            'target_marked_leaving',
            target=target.name,
            incarnation=incarnation,
            source=source,
        )
        return True

    def _tell_all(self, peer: str, target: Target) -> None:
        for incarnation in target.left:
            self.net.tell(peer, TargetMark(target.name, incarnation))
