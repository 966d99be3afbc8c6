"""Checks that nothing runs on a host that is leaving."""

import asyncio
from collections.abc import Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.target_settings import PowerSettings
from balsamreach.peers.base import PeerNet
from balsamreach.services.base import HostEntry
from balsamreach.targets.leaving_marks import FROM_POWER, LeavingMarks
from balsamreach.targets.registry import Target
from balsamreach.targets.reports import LoadReport
from balsamreach.wire.marks import InFlight, TargetMark
from balsamreach.wire.membership import Member

ROUTER = 'router'
_REQUIRED_CONFIRMATIONS = 2


@attrs.frozen
class RouterAnswers:
    """What all routers that could send to a host report about it.

    Parameters
    ----------
    answered : bool
        Whether every known router answered, in all zones.
    idle : bool
        Whether those that answered have no requests there and send no more.
    """

    answered: bool
    idle: bool


@attrs.define(eq=False)
class IdleCheck:
    """Collects evidence over the steps of one decider."""

    cfg: PowerSettings
    marks: LeavingMarks
    net: PeerNet
    clock: Clock
    _routers: dict[str, tuple[Member, float]] = attrs.field(factory=dict)
    _confirmations: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def update_routers(self, listed: Iterable[HostEntry] | None) -> None:
        """Update the routers that may be alive, unreachable ones included.

        A router that the others believe dead may be cut off and still serve
        requests. It is dropped only once a later incarnation has its address,
        or once the host list has been without it for the whole settling time:
        the list lags, and a router omitted by mistake must still count.
        """
        now = self.clock.now()
        present = self.net.members()
        addresses = {one.address for one in present}
        live = {one.incarnation for one in present}
        self._routers.update({one.incarnation: (one, now) for one in present})
        hosts = {host.address for host in listed or ()}
        for known, seen_at in tuple(self._routers.values()):
            if known.incarnation in live:
                continue
            if known.address in hosts or listed is None:
                self._routers[known.incarnation] = (known, now)
            replaced = known.address in addresses
            if replaced or now - seen_at > self.cfg.order_settle:
                self._routers.pop(known.incarnation)

    async def is_idle(
        self,
        target: Target,
        incarnation: str,
        report: LoadReport | None,
        listed: Iterable[HostEntry] | None,
    ) -> bool:
        """Return whether an incarnation of a target is known to run nothing.

        Parameters
        ----------
        target : Target
            The target.
        incarnation : str
            Its incarnation that is leaving.
        report : LoadReport or None
            Its answer to a request made just now.
        listed : iterable of HostEntry or None
            The host list read just now; None if it can't be read.
        """
        self.marks.mark(target, incarnation, FROM_POWER)
        if report is not None and report.busy:
            self._confirmations.pop((target.name, incarnation), None)
            return False
        answers = await self._ask_routers(target, incarnation, listed)
        if answers.answered and answers.idle:
            return True
        return self._is_confirmed_by_target(
            target, incarnation, report, answers
        )

    def _is_confirmed_by_target(
        self,
        target: Target,
        incarnation: str,
        report: LoadReport | None,
        answers: RouterAnswers,
    ) -> bool:
        """Return whether the target's own report is sufficient.

        A target that is leaving and runs nothing stays idle, since it refuses
        new requests. Two reports are required: by the second one, a request
        sent just before the first by a router that can't be asked has arrived
        and was refused.
        """
        key = (target.name, incarnation)
        trusted = target.row.trusted_refusals and report is not None
        confirms = trusted and report.leaving
        if (
            not confirms
            or report.incarnation != incarnation
            or not answers.idle
        ):
            self._confirmations.pop(key, None)
            return False
        self._confirmations[key] = self._confirmations.get(key, 0) + 1
        return self._confirmations[key] >= _REQUIRED_CONFIRMATIONS

    async def _ask_routers(
        self,
        target: Target,
        incarnation: str,
        listed: Iterable[HostEntry] | None,
    ) -> RouterAnswers:
        members = tuple(member for member, _ in self._routers.values())
        mark = TargetMark(target.name, incarnation)
        own_count = self.marks.requests_in_flight(target, incarnation)
        other_incarnations = [
            member.incarnation for member in members if member != self.net.me
        ]
        answers = await asyncio.gather(
            *(self.net.ask(other, mark) for other in other_incarnations),
        )
        counts = [own_count]
        counts.extend(one for one in answers if isinstance(one, InFlight))
        complete = listed is not None and len(counts) == len(answers) + 1
        return RouterAnswers(
            answered=complete
            and not self._lists_unknown_routers(members, listed),
            idle=all(one.closed and not one.requests for one in counts),
        )

    def _lists_unknown_routers(
        self,
        members: tuple[Member, ...],
        listed: Iterable[HostEntry] | None,
    ) -> bool:
        """Return whether the list names routers that can't be asked."""
        known = {member.address for member in members}
        return any(
            host.service == ROUTER and host.address not in known
            for host in listed or ()
        )
