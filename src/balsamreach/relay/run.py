"""The processing of one relayed request, from admission to response."""

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
from balsamreach.relay.retry_jitter import RetryJitter
from balsamreach.relay.spending import Reservation, Spending
from balsamreach.relay.suspects import Suspects
from balsamreach.relay.tries import RelayAttempts, TryParts


@attrs.frozen(kw_only=True)
class RunParts:
    """The services that process every request."""

    codec: Codec
    spending: Spending
    suspects: Suspects
    link: HostLink
    tries: TryParts
    clock: Clock
    log: RequestLog
    returns: RetryJitter = attrs.field(factory=RetryJitter)


@attrs.define(eq=False)
class RelayRun:
    """Processes one request.

    Parameters
    ----------
    parts : RunParts
        The services that it needs.
    call : RelayCall
        The request.
    outlet : Outlet
        Response to the caller.
    """

    parts: RunParts
    call: RelayCall
    outlet: Outlet

    async def run(self) -> None:
        """Process the request; the caller always gets a final response."""
        started = self.parts.clock.now()
        attempts = RelayAttempts(self.parts.tries, self.call, self.outlet)
        fault: RelayFault | None = faults.ABANDONED
        try:
            fault = await self._admit(attempts)
        finally:
            self.parts.log.record_end(self.call, attempts, fault, started)
        if fault is not None:
            self._refuse(fault)

    async def _admit(self, attempts: RelayAttempts) -> RelayFault | None:
        self.parts.link.add(self.call.size)
        refusal = self.parts.suspects.check(self.call)
        if refusal is None:
            refusal = self.parts.tries.chooser.refusal(self.call)
        if refusal is not None:
            return refusal
        time_left = self.call.deadline - self.parts.clock.now()
        if time_left <= 0:
            return faults.TOO_LATE.because(
                'its time limit had passed on arrival'
            )
        try:
            async with asyncio.timeout(time_left):
                return await self._run_charged(attempts)
        except TimeoutError:
            if attempts.may_have_run:
                return faults.TIMED_OUT.because('its time limit has passed')
            return faults.TOO_LATE.because('its time limit has passed')

    async def _run_charged(self, attempts: RelayAttempts) -> RelayFault | None:
        reservation = await self.parts.spending.reserve(self.call)
        if isinstance(reservation, RelayFault):
            return reservation
        attempts.reservation = reservation
        try:
            return await attempts.run()
        finally:
            self._charge(attempts, reservation)

    def _charge(
        self, attempts: RelayAttempts, reservation: Reservation
    ) -> None:
        if attempts.may_have_run and self.call.prompt is not None:
            reservation.prompt_tokens = self.call.prompt.tokens
        self.parts.spending.charge(self.call, reservation)

    def _refuse(self, fault: RelayFault) -> None:
        if self.outlet.started:
            # The headers of a success have been sent already; only a broken
            # connection shows the caller that its response is incomplete.
            self.outlet.abort()
            return
        fault = self.parts.returns.spread(self._delay_retry(fault))
        answer = self.parts.codec.refuse(fault)
        self.outlet.start(answer.status, answer.headers)
        self.outlet.write(answer.body)
        self.outlet.finish()

    def _delay_retry(self, fault: RelayFault) -> RelayFault:
        """Raise the retry time until a target accepts requests again."""
        if not fault.retry_after:
            return fault
        refusal = self.parts.tries.chooser.refusal(self.call)
        if refusal != faults.TARGETS_BACK_OFF:
            return fault
        wait = max(fault.retry_after, refusal.retry_after)
        return attrs.evolve(fault, retry_after=wait)
