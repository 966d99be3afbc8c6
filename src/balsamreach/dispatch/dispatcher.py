"""Starts each request in its own task and lets duplicates join it."""

import asyncio

import attrs

from balsamreach.dispatch import faults
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import MAYBE_RUN, DispatchFault
from balsamreach.dispatch.run import (
    RequestRun,
    RunParts,
    translate_request_fault,
)
from balsamreach.requests.answers import Answer
from balsamreach.requests.faults import RequestFault
from balsamreach.requests.leaving import LeavingAdmission, RecentDurations

_MAINTENANCE_INTERVAL_S = 1


@attrs.define
class Dispatcher:
    """Requests in progress at this router.

    Parameters
    ----------
    parts : RunParts
        Components shared by all requests.
    running : dict of Answer to Task
        Task of each request in progress.
    admission : LeavingAdmission
        Refuses requests while the router is being stopped.
    """

    parts: RunParts
    running: dict[Answer, asyncio.Task] = attrs.field(factory=dict)
    admission: LeavingAdmission = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Admit all requests while the router isn't being stopped."""
        clock = self.parts.claims.clock
        self.admission = LeavingAdmission(RecentDurations(clock))

    def submit(self, call: Call) -> Answer | DispatchFault:
        """Start a request, or return the answer that a duplicate joins.

        Parameters
        ----------
        call : Call
            The request.

        Returns
        -------
        Answer or DispatchFault
            The answer to attach to; a fault if the key was used with another
            body, or if this router is being stopped.
        """
        known = self.parts.answers.find(call.req)
        if isinstance(known, RequestFault):
            return translate_request_fault(known)
        if known is not None:
            return known
        problem = self.admission.find_problem(_route(call), call.deadline)
        if problem:
            return _leaving(call, problem)
        answer = self.parts.answers.open(
            call.req,
            idempotent=call.idempotent,
        )
        task = asyncio.create_task(RequestRun(self.parts, call, answer).run())
        self.running[answer] = task
        began = self.parts.claims.clock.now()
        task.add_done_callback(
            lambda _done: self._record_end(answer, _route(call), began)
        )
        return answer

    def cancel_if_unattended(self, answer: Answer) -> None:
        """Cancel a request whose caller left and cannot come back."""
        task = self.running.get(answer)
        if task is not None and answer.req.minted and not answer.listeners:
            task.cancel()

    async def run(self) -> None:
        """Run periodic maintenance, once a second, until cancelled."""
        while True:
            await self.parts.claims.clock.sleep(_MAINTENANCE_INTERVAL_S)
            self.parts.remote_runs.directory.update_members()
            await self.parts.claims.release_all()

    async def drain(self) -> None:
        """Wait until no request is in progress, then release claims."""
        while self.running:
            await asyncio.wait(list(self.running.values()))
        await self.parts.claims.release_all()

    def _record_end(self, answer: Answer, route: str, began: float) -> None:
        self.running.pop(answer, None)
        if answer.status:
            seconds = self.parts.claims.clock.now() - began
            self.admission.durations.record(route, seconds)


def _route(call: Call) -> str:
    """Return the name of the requests that take as long as this one."""
    return f'{call.kind} {call.name}'


def _leaving(call: Call, problem: str) -> DispatchFault:
    fault = faults.LEAVING.because(problem)
    # Another router may have run a request with the caller's key, and isn't
    # asked any more.
    return fault if call.req.minted else attrs.evolve(fault, ran=MAYBE_RUN)
