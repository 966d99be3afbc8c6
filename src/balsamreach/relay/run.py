"""One passed-through request from its admission to its last byte."""

import asyncio

import attrs

from balsamreach.clock import Clock
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.codec import Codec
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.host_link import HostLink
from balsamreach.relay.journal import RequestLog
from balsamreach.relay.outlet import Outlet
from balsamreach.relay.returns import Returns
from balsamreach.relay.spending import Spending, Tab
from balsamreach.relay.suspects import Suspects
from balsamreach.relay.tries import Tries, TryParts


@attrs.frozen(kw_only=True)
class RunParts:
    """What every request runs on."""

    codec: Codec
    spending: Spending
    suspects: Suspects
    link: HostLink
    tries: TryParts
    clock: Clock
    log: RequestLog
    returns: Returns = attrs.field(factory=Returns)


@attrs.define(eq=False)
class RelayRun:
    """A request on its way.

    Parameters
    ----------
    parts : RunParts
        What it runs on.
    call : RelayCall
        The request.
    outlet : Outlet
        The caller's side.
    """

    parts: RunParts
    call: RelayCall
    outlet: Outlet

    async def run(self) -> None:
        """Answer the request; whatever happens, it gets a final answer."""
        started = self.parts.clock.now()
        tries = Tries(self.parts.tries, self.call, self.outlet)
        fault: RelayFault | None = faults.ABANDONED
        try:
            fault = await self._admit(tries)
        finally:
            self.parts.log.ended(self.call, tries, fault, started)
        if fault is not None:
            self._refuse(fault)

    async def _admit(self, tries: Tries) -> RelayFault | None:
        self.parts.link.carry(self.call.size)
        refusal = self.parts.suspects.check(self.call)
        if refusal is None:
            refusal = self.parts.tries.chooser.refuse(self.call)
        if refusal is not None:
            return refusal
        left = self.call.deadline - self.parts.clock.now()
        if left <= 0:
            return faults.TOO_LATE.because('its time was over as it came')
        try:
            async with asyncio.timeout(left):
                return await self._spend(tries)
        except TimeoutError:
            if tries.may_have_run:
                return faults.TIMED_OUT.because('its time is over')
            return faults.TOO_LATE.because('its time is over')

    async def _spend(self, tries: Tries) -> RelayFault | None:
        tab = await self.parts.spending.open(self.call)
        if isinstance(tab, RelayFault):
            return tab
        tries.tab = tab
        try:
            return await tries.run()
        finally:
            self._charge(tries, tab)

    def _charge(self, tries: Tries, tab: Tab) -> None:
        if tries.may_have_run and self.call.prompt is not None:
            tab.read = self.call.prompt.tokens
        self.parts.spending.close(self.call, tab)

    def _refuse(self, fault: RelayFault) -> None:
        if self.outlet.started:
            # The head of a success is out already; only a broken connection
            # tells the caller that its answer is not whole.
            self.outlet.abort()
            return
        fault = self.parts.returns.spread(self._put_off(fault))
        answer = self.parts.codec.refuse(fault)
        self.outlet.start(answer.status, answer.headers)
        self.outlet.write(answer.body)
        self.outlet.finish()

    def _put_off(self, fault: RelayFault) -> RelayFault:
        """Let the caller come back no sooner than a target takes requests."""
        if not fault.retry_after:
            return fault
        refusal = self.parts.tries.chooser.refuse(self.call)
        if refusal != faults.TARGETS_BACK_OFF:
            return fault
        wait = max(fault.retry_after, refusal.retry_after)
        return attrs.evolve(fault, retry_after=wait)
