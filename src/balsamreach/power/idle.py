"""Proves that nothing runs on a host that is leaving."""

import asyncio
from collections.abc import Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.target_settings import PowerSettings
from balsamreach.peers.base import PeerNet
from balsamreach.services.base import HostEntry
from balsamreach.targets.marks import FROM_POWER, Marks
from balsamreach.targets.registry import Target
from balsamreach.targets.reports import LoadReport
from balsamreach.wire.marks import InFlight, TargetMark
from balsamreach.wire.membership import Member

ROUTER = 'router'
_LOOKS = 2


@attrs.frozen
class Roll:
    """What all routers that could reach a host say of it.

    Parameters
    ----------
    answered : bool
        Whether every router known anywhere answered.
    idle : bool
        Whether those that answered have nothing there and send nothing
        more.
    """

    answered: bool
    idle: bool


@attrs.define(eq=False)
class IdleProof:
    """Collects evidence over the steps of one decider."""

    cfg: PowerSettings
    marks: Marks
    net: PeerNet
    clock: Clock
    _seen: dict[str, tuple[Member, float]] = attrs.field(factory=dict)
    _looks: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def meet(self, listed: Iterable[HostEntry] | None) -> None:
        """Take note of all routers that may live, those cut off as well.

        A router that the others hold for dead may be cut off and serve on.
        It is left out only once a later start has its address, or once the
        host list has been without it for a whole settling time: the list
        lags, and one that left it out by mistake must not be enough.
        """
        now = self.clock.now()
        present = self.net.members()
        addresses = {one.address for one in present}
        live = {one.incarnation for one in present}
        self._seen.update({one.incarnation: (one, now) for one in present})
        hosts = {host.address for host in listed or ()}
        for known, seen_at in tuple(self._seen.values()):
            if known.incarnation in live:
                continue
            if known.address in hosts or listed is None:
                self._seen[known.incarnation] = (known, now)
            replaced = known.address in addresses
            if replaced or now - seen_at > self.cfg.order_settle:
                self._seen.pop(known.incarnation)

    async def holds(
        self,
        target: Target,
        incarnation: str,
        report: LoadReport | None,
        listed: Iterable[HostEntry] | None,
    ) -> bool:
        """Return whether a start of a target is proven to run nothing.

        Parameters
        ----------
        target : Target
            The target.
        incarnation : str
            Its start that leaves.
        report : LoadReport or None
            Its answer to a question asked just now.
        listed : iterable of HostEntry or None
            The host list read just now; None if it can't be read.
        """
        self.marks.mark(target, incarnation, FROM_POWER)
        if report is not None and report.busy:
            self._looks.pop((target.name, incarnation), None)
            return False
        roll = await self._call_roll(target, incarnation, listed)
        if roll.answered and roll.idle:
            return True
        return self._says_so_itself(target, incarnation, report, roll)

    def _says_so_itself(
        self,
        target: Target,
        incarnation: str,
        report: LoadReport | None,
        roll: Roll,
    ) -> bool:
        """Return whether the target's own word is enough.

        A target that leaves and runs nothing stays so, since it refuses
        what is new. It is looked at twice: a request sent just before, by a
        router that can't be asked, has arrived and was refused by then.
        """
        look = (target.name, incarnation)
        trusted = target.row.trusted_refusals and report is not None
        says = trusted and report.leaving
        if not says or report.incarnation != incarnation or not roll.idle:
            self._looks.pop(look, None)
            return False
        self._looks[look] = self._looks.get(look, 0) + 1
        return self._looks[look] >= _LOOKS

    async def _call_roll(
        self,
        target: Target,
        incarnation: str,
        listed: Iterable[HostEntry] | None,
    ) -> Roll:
        members = tuple(member for member, _ in self._seen.values())
        mark = TargetMark(target.name, incarnation)
        here = self.marks.count(target, incarnation)
        others = [
            member.incarnation for member in members if member != self.net.me
        ]
        answers = await asyncio.gather(
            *(self.net.ask(other, mark) for other in others),
        )
        counts = [here]
        counts.extend(one for one in answers if isinstance(one, InFlight))
        complete = listed is not None and len(counts) == len(answers) + 1
        return Roll(
            answered=complete and not self._strangers(members, listed),
            idle=all(one.closed and not one.requests for one in counts),
        )

    def _strangers(
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
