"""Leaving marks: set from several sources, and sent to peers."""

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
class LeavingMarks:
    """Marks incarnations of targets as leaving and informs peers at once.

    Parameters
    ----------
    targets : Targets
        All targets.
    net : PeerNet
        The other routers.
    metrics : Metrics
        Counts new marks.
    """

    targets: Targets
    net: PeerNet
    metrics: Metrics
    _informed: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Register the handlers of peers' messages."""
        self.net.on(TargetMark, self.receive_mark)
        self.net.on(InFlightAsk, self.receive_ask)

    def mark(self, target: Target, incarnation: str, source: str) -> None:
        """Mark an incarnation as leaving; send a new mark to peers."""
        if self._apply(target, incarnation, source):
            self.net.spread(TargetMark(target.name, incarnation))

    def mark_listed(self, hosts: Iterable[HostEntry]) -> None:
        """Mark the incarnations that the host list shows as leaving.

        The list may be outdated, so only an entry that names the incarnation
        counts; otherwise an old list would mark the next incarnation.
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

    def send_to_new_neighbours(self) -> None:
        """Send all marks to new neighbours.

        A router that restarts while the host list is outdated and the
        platform is unavailable would otherwise send requests to hosts that
        are leaving.
        """
        neighbours = {member.incarnation for member in self.net.neighbours()}
        for incarnation in neighbours - self._informed:
            for target in self.targets.by_name.values():
                self._send_all(incarnation, target)
        self._informed = neighbours

    async def receive_mark(self, member: Member, mark: TargetMark) -> InFlight:
        """Apply a peer's mark, and reply with the requests in flight."""
        target = self.targets.by_name.get(mark.target)
        if target is None:
            return InFlight(mark.target, 0, closed=False)
        if self._apply(target, mark.incarnation, FROM_PEER):
            self.net.spread(mark, besides=member.incarnation)
        return self.requests_in_flight(target, mark.incarnation)

    async def receive_ask(self, member: Member, ask: InFlightAsk) -> InFlight:
        """Reply with the requests in flight at a target."""
        target = self.targets.by_name.get(ask.target)
        if target is None:
            return InFlight(ask.target, 0, closed=False)
        return self.requests_in_flight(target, target.report.incarnation)

    def requests_in_flight(self, target: Target, incarnation: str) -> InFlight:
        """Return this router's requests at a host, and whether it is closed.

        Closed means that this router sends no more requests to the host. That
        is so only if the marked incarnation is the known one for every row
        with the host's address: while a router knows an earlier incarnation,
        it would send to whichever one runs there.
        """
        address = target.row.address
        return InFlight(
            target=target.name,
            requests=self.targets.in_flight_at(address),
            closed=all(
                other.is_closed_for(incarnation)
                for other in self.targets.at_address(address)
            ),
        )

    def _apply(self, target: Target, incarnation: str, source: str) -> bool:
        address = target.row.address
        changes = [
            other.mark_leaving(incarnation)
            for other in self.targets.at_address(address)
        ]
        if not any(changes):
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

    def _send_all(self, peer: str, target: Target) -> None:
        for incarnation in target.leaving_incarnations:
            self.net.tell(peer, TargetMark(target.name, incarnation))
