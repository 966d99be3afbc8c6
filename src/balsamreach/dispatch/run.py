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
from balsamreach.routing.slot import Slot, Verdict

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
    used_tokens: int = 0

    async def run(self) -> None:
        """Run the request; the answer is ended when this returns."""
        refusal = self.parts.placer.enter(self.call)
        if refusal is not None:
            self._refuse(refusal)
            return
        try:
            await self._run_admitted()
        finally:
            self.parts.placer.close(self.call, self.used_tokens)

    async def _run_admitted(self) -> None:
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
        # The slot comes after the reservation: a draw from the platform can
        # take seconds, and a slot held meanwhile would leave its target idle.
        slot = await self.parts.placer.place(self.call)
        if isinstance(slot, DispatchFault):
            self._refuse(slot)
            return
        fault = await self._try_first(slot, reservation)
        tried = {slot.target.name}
        while self._may_retry(fault, slot) and len(tried) < _MOST_ATTEMPTS:
            other = await self.parts.placer.place_again(self.call, tried)
            if isinstance(other, DispatchFault):
                # What the last attempt met says more than that no other
                # target is left to try.
                break
            slot = other
            tried.add(slot.target.name)
            fault = await self._try(slot, uuid.uuid4().hex, reservation)
        if fault is not None:
            self._refuse(fault)

    async def _try_first(
        self,
        slot: Slot,
        reservation: Reservation,
    ) -> DispatchFault | None:
        attempt_id = uuid.uuid4().hex
        try:
            refusal = await self._claim(attempt_id)
        except asyncio.CancelledError:
            self.parts.placer.leave(slot)
            raise
        if refusal is not None:
            self.parts.placer.leave(slot)
            return refusal
        return await self._try(slot, attempt_id, reservation)

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
        slot: Slot,
        attempt_id: str,
        reservation: Reservation,
    ) -> DispatchFault | None:
        attempt = Attempt(attempt_id, self.call, slot.target)
        reply = make_reply(self.call, self.answer, attempt_id)
        try:
            fault = await self.parts.attempts.send(attempt, reply, slot)
        except asyncio.CancelledError:
            self._bill(reservation, reply)
            raise
        finally:
            self.parts.placer.leave(slot)
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
        bill = make_bill(self.call, reply)
        self.used_tokens = bill.tokens
        self.parts.budgets.bill(reservation, bill)

    def _may_retry(
        self,
        fault: DispatchFault | None,
        slot: Slot,
    ) -> bool:
        if fault is None or self.answer.status:
            return False
        if not self.call.idempotent:
            # Only where nothing was sent or no connection was made is the
            # single run of a non-idempotent request certainly unused.
            return slot.verdict in {Verdict.UNUSED, Verdict.REFUSED}
        return fault.ran == faults.NOT_RUN or fault == faults.ANSWER_BROKEN

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
