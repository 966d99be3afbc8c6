"""The processing of one relayed request, from admission to response."""

import asyncio

import attrs

from balsamreach.clock import Clock
from balsamreach.relay import faults
from balsamreach.relay.attempt_parts import RelayAttemptParts
from balsamreach.relay.attempts import RelayAttempts
from balsamreach.relay.call import RelayCall
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.codec import Codec
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.host_link import HostLink
from balsamreach.relay.quarantine import CrashQuarantine
from balsamreach.relay.release_check import find_refusal
from balsamreach.relay.request_log import RequestLog
from balsamreach.relay.retry_jitter import RetryJitter
from balsamreach.relay.spending import Reservation, Spending
from balsamreach.relay.stream_releases import StreamReleases

_GRACE_ENDED = 'the grace period of the router has ended'


@attrs.frozen(kw_only=True)
class RelayRunParts:
    """The services that process every request."""

    codec: Codec
    spending: Spending
    quarantine: CrashQuarantine
    link: HostLink
    attempt_parts: RelayAttemptParts
    clock: Clock
    log: RequestLog
    releases: StreamReleases
    retry_jitter: RetryJitter = attrs.field(factory=RetryJitter)


@attrs.define(eq=False)
class RelayRun:
    """Processes one request.

    Parameters
    ----------
    parts : RelayRunParts
        The services that it needs.
    call : RelayCall
        The request.
    caller_response : CallerResponse
        Response to the caller.
    """

    parts: RelayRunParts
    call: RelayCall
    caller_response: CallerResponse
    _timeout: asyncio.Timeout | None = None
    _is_cut_off: bool = False

    async def run(self) -> RelayFault | None:
        """Process the request; the caller always gets a final response.

        Returns
        -------
        RelayFault or None
            Why the caller got no target's response; None if it did.
        """
        started = self.parts.clock.now()
        attempts = RelayAttempts(
            self.parts.attempt_parts, self.call, self.caller_response
        )
        fault: RelayFault | None = faults.ABANDONED
        try:
            fault = await self._admit(attempts)
        finally:
            self.parts.releases.record_end(attempts.call)
            self.parts.log.record_end(self.call, attempts, fault, started)
        if fault is not None:
            self._refuse(fault, attempts.call)
        return fault

    def cut_off(self) -> None:
        """End the request now, as the router is being stopped.

        A connection that just closes tells its caller nothing: neither that
        the request has not run, nor that another router should be asked.
        """
        self._is_cut_off = True
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def _admit(self, attempts: RelayAttempts) -> RelayFault | None:
        self.parts.link.add(self.call.size, self.call.team_name, requests=1)
        refusal = await self._check(attempts)
        if refusal is not None:
            return refusal
        time_left = self.call.deadline - self.parts.clock.now()
        if time_left <= 0:
            return faults.EXPIRED_BEFORE_SENDING.because(
                'its time limit had passed on arrival'
            )
        if self._is_cut_off:
            return faults.LEAVING.because(_GRACE_ENDED)
        try:
            async with asyncio.timeout(time_left) as timeout:
                self._timeout = timeout
                return await self._run_charged(attempts)
        except TimeoutError:
            return self._expired(attempts)
        finally:
            self._timeout = None

    def _expired(self, attempts: RelayAttempts) -> RelayFault:
        may_have_run = attempts.history.may_have_run
        if self._is_cut_off:
            fault = faults.CUT_OFF if may_have_run else faults.LEAVING
            return fault.because(_GRACE_ENDED)
        expired = faults.EXPIRED_BEFORE_SENDING
        fault = faults.TIMED_OUT if may_have_run else expired
        return fault.because('its time limit has passed')

    async def _check(self, attempts: RelayAttempts) -> RelayFault | None:
        refusal = self.parts.quarantine.check(self.call)
        if refusal is not None:
            return refusal
        if self.call.takes_up:
            origin = await self.parts.releases.find(self.call)
            if isinstance(origin, RelayFault):
                return origin
            attempts.selection.bind(origin.release)
        chooser = self.parts.attempt_parts.chooser
        return await find_refusal(chooser, attempts.call)

    async def _run_charged(self, attempts: RelayAttempts) -> RelayFault | None:
        reservation = await self.parts.spending.reserve(self.call)
        attempts.reserved_at = self.parts.clock.now()
        if isinstance(reservation, RelayFault):
            return reservation
        attempts.delivery.reservation = reservation
        try:
            return await attempts.run()
        finally:
            self._charge(attempts, reservation)

    def _charge(
        self, attempts: RelayAttempts, reservation: Reservation
    ) -> None:
        if attempts.history.may_have_run and self.call.prompt is not None:
            reservation.prompt_tokens = self.call.prompt.tokens
        self.parts.spending.charge(self.call, reservation)

    def _refuse(self, fault: RelayFault, call: RelayCall) -> None:
        if self.caller_response.started:
            # The headers of a success have been sent already; only a broken
            # connection shows the caller that its response is incomplete.
            self.caller_response.abort()
            return
        fault = self.parts.retry_jitter.add_jitter(
            self._delay_retry(fault, call)
        )
        answer = self.parts.codec.refuse(fault)
        self.caller_response.start(answer.status, answer.headers)
        self.caller_response.write(answer.body)
        self.caller_response.finish()

    def _delay_retry(self, fault: RelayFault, call: RelayCall) -> RelayFault:
        """Raise the retry time until a target accepts requests again."""
        if not fault.retry_after:
            return fault
        refusal = self.parts.attempt_parts.chooser.refusal(call)
        if refusal != faults.TARGETS_BACK_OFF:
            return fault
        wait = max(fault.retry_after, refusal.retry_after)
        return attrs.evolve(fault, retry_after=wait)
