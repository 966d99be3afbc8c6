"""Reads the requests of callers, and runs or refuses them."""

import asyncio
import logging
import math

import attrs

from balsamreach.daemon.relay_parts import RelayParts
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.codec import CallerRequest
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.run import RelayRun
from balsamreach.requests.leaving import LeavingAdmission, RecentDurations
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)
_MS = 1000
#: Seconds in which the callers of requests that are cut off get an answer.
_CUT_OFF_S = 0.25
#: Refusals that may not apply under a newer configuration.
_UNCONFIRMED_REFUSALS = (faults.NO_ROUTE, faults.UNKNOWN_KEY)


@attrs.define(eq=False)
class RelayRequests:
    """The requests of callers at one router.

    Parameters
    ----------
    parts : RelayParts
        Components of the router.
    admission : LeavingAdmission
        Refuses requests while the router is being stopped.
    """

    parts: RelayParts
    admission: LeavingAdmission = attrs.field(init=False)
    _running: dict[RelayRun, asyncio.Task] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Admit all requests while the router isn't being stopped."""
        self.admission = LeavingAdmission(RecentDurations(self.parts.clock))

    async def answer(
        self, request: CallerRequest, caller_response: CallerResponse
    ) -> None:
        """Answer one request of a caller."""
        call = await self._read_request(request)
        if isinstance(call, RelayCall):
            call = self._admit(call)
        if isinstance(call, RelayFault):
            self._refuse(call, caller_response)
        else:
            await self._run(RelayRun(self.parts.run, call, caller_response))

    async def cut_off(self) -> None:
        """End the requests in progress, and wait until callers are told."""
        tasks = set(self._running.values())
        for run in tuple(self._running):
            run.cut_off()
        if tasks:
            await asyncio.wait(tasks, timeout=_CUT_OFF_S)

    def _admit(self, call: RelayCall) -> RelayCall | RelayFault:
        problem = self.admission.find_problem(call.route.name, call.deadline)
        return faults.LEAVING.because(problem) if problem else call

    async def _run(self, run: RelayRun) -> None:
        began = self.parts.clock.now()
        self._running[run] = asyncio.current_task()
        try:
            fault = await run.run()
        finally:
            self._running.pop(run)
        if fault is None or not fault.not_run:
            seconds = self.parts.clock.now() - began
            self.admission.durations.record(run.call.route.name, seconds)

    async def _read_request(
        self, request: CallerRequest
    ) -> RelayCall | RelayFault:
        parts = self.parts
        if parts.view.current is None:
            return faults.NOT_READY.because('no configuration')
        codec = parts.run.codec
        call = codec.read_request(request, parts.view.current)
        if call not in _UNCONFIRMED_REFUSALS:
            return call
        # A newer configuration may contain the unknown route or key. This is
        # confirmed first, because callers don't retry after a final refusal.
        if not await parts.freshness_check.confirm():
            return faults.NOT_READY.because('a newer configuration may exist')
        return codec.read_request(request, parts.view.current)

    def _refuse(
        self, fault: RelayFault, caller_response: CallerResponse
    ) -> None:
        log_event(
            _logger,
            logging.WARNING,
            'request_refused',
            reason=fault.reason,
            outcome=fault.code,
            configuration=self.parts.view.version,
            heard=self.parts.view.newest_known,
            confirmed_ms=_to_ms(self.parts.freshness_check.age()),
        )
        run = self.parts.run
        answer = run.codec.refuse(run.retry_jitter.add_jitter(fault))
        caller_response.start(answer.status, answer.headers)
        caller_response.write(answer.body)
        caller_response.finish()


def _to_ms(seconds: float) -> int | None:
    return None if math.isinf(seconds) else round(seconds * _MS)
