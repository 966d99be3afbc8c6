"""One request's way: reserve, claim, try targets, bill."""

import asyncio
import uuid

import attrs

from balsamreach.budget.budgets import Budgets
from balsamreach.budget.faults import EXHAUSTED, BudgetFault
from balsamreach.budget.ledger import Reservation
from balsamreach.clock import Clock
from balsamreach.dispatch import faults
from balsamreach.dispatch.attempts import Attempts, make_reply
from balsamreach.dispatch.billing import make_bill
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.placing import Placer
from balsamreach.dispatch.replies import PlainReply, Reply
from balsamreach.dispatch.upstream import Attempt
from balsamreach.requests import faults as request_faults
from balsamreach.requests.answers import Answer, End
from balsamreach.requests.claims import Claims
from balsamreach.requests.faults import RequestFault
from balsamreach.requests.registry import Answers

_MOST_ATTEMPTS = 3


@attrs.frozen(kw_only=True)
class RunParts:
    """What every request runs on."""

    budgets: Budgets
    claims: Claims
    answers: Answers
    placer: Placer
    attempts: Attempts
    clock: Clock


@attrs.define
class Run:
    """A request from its reservation to its bill.

    Parameters
    ----------
    parts : RunParts
        What it runs on.
    call : Call
        The request.
    answer : Answer
        Where the answer goes.
    """

    parts: RunParts
    call: Call
    answer: Answer

    async def run(self) -> None:
        """Run the request; the answer is ended when this returns."""
        reservation = await self.parts.budgets.reserve(
            self.call.team.name,
            self.call.most_tokens,
        )
        if isinstance(reservation, BudgetFault):
            self._refuse(_turn_budget(reservation))
            return
        try:
            await self._run_reserved(reservation)
        finally:
            self.parts.budgets.release(reservation)
            if self.answer.end is None:
                self._refuse(faults.CANCELLED)

    async def _run_reserved(self, reservation: Reservation) -> None:
        attempt_id = uuid.uuid4().hex
        refusal = await self._claim(attempt_id)
        if refusal is not None:
            self._refuse(refusal)
            return
        tried: set[str] = set()
        fault = faults.NO_TARGET
        for _ in range(_MOST_ATTEMPTS):
            target = self.parts.placer.place(self.call, tried)
            if isinstance(target, DispatchFault):
                # What the last attempt met says more than that no other
                # target is left to try.
                fault = fault if tried else target
                break
            tried.add(target.name)
            outcome = await self._try(
                Attempt(attempt_id, self.call, target),
                reservation,
            )
            if outcome is None:
                return
            fault = outcome
            if not self._may_retry(fault):
                break
            attempt_id = uuid.uuid4().hex
        self._refuse(fault)

    async def _claim(self, attempt_id: str) -> DispatchFault | None:
        # A key that this router minted is known to nobody else, so no other
        # router can run the request and no durable claim is needed.
        if self.call.idempotent or self.call.req.minted:
            return None
        claim = await self.parts.claims.claim(self.call.req, attempt_id)
        if isinstance(claim, RequestFault):
            return turn_request(claim)
        return None

    async def _try(
        self,
        attempt: Attempt,
        reservation: Reservation,
    ) -> DispatchFault | None:
        reply = make_reply(self.call, self.answer, attempt.attempt_id)
        try:
            fault = await self.parts.attempts.send(attempt, reply)
        except asyncio.CancelledError:
            self._bill(reservation, reply)
            raise
        if fault is not None and not self.answer.status:
            return fault
        self._bill(reservation, reply)
        if isinstance(reply, PlainReply):
            reply.deliver()
        self.parts.answers.finish(
            self.answer,
            End(whole=fault is None, fault=fault),
        )
        return None

    def _bill(self, reservation: Reservation, reply: Reply) -> None:
        self.parts.budgets.bill(reservation, make_bill(self.call, reply))

    def _may_retry(self, fault: DispatchFault) -> bool:
        if self.answer.status:
            return False
        return fault.ran == faults.NOT_RUN or self.call.idempotent

    def _refuse(self, fault: DispatchFault) -> None:
        # A refused request leaves nothing behind, so that its key can be
        # sent again; one that may have run stays, so that it is not.
        self.parts.answers.finish(self.answer, End(whole=False, fault=fault))
        if fault.ran == faults.NOT_RUN:
            self.parts.answers.drop(self.answer)


def _turn_budget(fault: BudgetFault) -> DispatchFault:
    if fault == EXHAUSTED:
        return faults.BUDGET_EXHAUSTED.because(fault.reason)
    return faults.BUDGET_UNREACHABLE.because(fault.reason)


_REQUEST_FAULTS = {
    request_faults.OUTCOME_UNKNOWN: faults.OUTCOME_UNKNOWN,
    request_faults.ANSWER_NOT_KEPT: faults.OUTCOME_UNKNOWN,
    request_faults.IN_PROGRESS: faults.IN_PROGRESS,
    request_faults.KEY_REUSED: faults.KEY_REUSED,
    request_faults.NO_CLAIM: faults.NO_CLAIM,
}


def turn_request(fault: RequestFault) -> DispatchFault:
    """Turn a fault of the requests layer into what callers are told."""
    return _REQUEST_FAULTS[fault].because(fault.reason)
