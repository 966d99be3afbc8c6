"""Runs one request: admission, reservation, claim, attempts, billing."""

import asyncio
import functools
import logging
import uuid

import attrs

from balsamreach.budget.budgets import Budgets
from balsamreach.budget.ledger import Reservation
from balsamreach.dispatch import faults
from balsamreach.dispatch.billing import make_bill
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.placing import Placer
from balsamreach.dispatch.remote_runs import RemoteRun, RemoteRunParts
from balsamreach.dispatch.replies import PlainReply, Reply
from balsamreach.dispatch.request_attempts import AttemptParts, RequestAttempts
from balsamreach.dispatch.reserving import reserve
from balsamreach.requests import faults as request_faults
from balsamreach.requests.answers import Answer, AnswerEnd
from balsamreach.requests.claims import Claim, Claims, HeldClaim
from balsamreach.requests.faults import RequestFault
from balsamreach.requests.registry import AnswerRegistry
from balsamreach.routing.slot import Slot
from balsamreach.table.rows import ENGINE
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

UNKNOWN_OUTCOMES = 'balsamreach_requests_unknown_total'

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class RunParts:
    """Components shared by all requests of a router."""

    budgets: Budgets
    claims: Claims
    answers: AnswerRegistry
    attempt_parts: AttemptParts
    remote_runs: RemoteRunParts

    @property
    def placer(self) -> Placer:
        """Checks team limits and allocates target slots."""
        return self.attempt_parts.placer

    @property
    def metrics(self) -> Metrics:
        """Metrics registry."""
        return self.attempt_parts.metrics


@attrs.define(eq=False)
class RequestRun:
    """A request from its admission to its bill.

    Parameters
    ----------
    parts : RunParts
        Shared components.
    call : Call
        The request.
    answer : Answer
        Receives the answer.
    used_tokens : int
        Tokens billed to the team.
    """

    parts: RunParts
    call: Call
    answer: Answer
    used_tokens: int = 0
    _was_refused: bool = False
    _remote: RemoteRun = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the view of runs at other routers."""
        self._remote = RemoteRun(
            self.parts.remote_runs,
            self.call,
            self.answer,
        )

    async def run(self) -> None:
        """Run the request; the answer has ended when this returns."""
        fault: DispatchFault | None = faults.CANCELLED
        try:
            fault = await self._process()
            self._was_refused = (
                fault is not None and fault.ran == faults.NOT_RUN
            )
            fault = await self._remote.confirm_not_run(fault)
        finally:
            # Even if the task is cancelled, the answer must end: callers would
            # otherwise wait forever.
            self._finish(fault)

    async def _process(self) -> DispatchFault | None:
        key_fault = await self._remote.look_up()
        if key_fault is not None:
            return key_fault
        copied = await self._remote.copy_answer()
        if copied is not None:
            return copied.fault
        return await self._admit()

    async def _admit(self) -> DispatchFault | None:
        refusal = self.parts.placer.admit(self.call)
        if refusal is not None:
            return refusal
        try:
            return await self._reserve()
        finally:
            self.parts.placer.finish(self.call, self.used_tokens)

    async def _reserve(self) -> DispatchFault | None:
        # A generation that another router started can be resumed even if no
        # target accepts new requests.
        if not self._remote.may_resume:
            refusal = self.parts.placer.check_available(self.call)
            if refusal is not None:
                return refusal
        reservation = await reserve(self.parts.budgets, self.call)
        if isinstance(reservation, DispatchFault):
            return reservation
        try:
            return await self._resume_or_place(reservation)
        finally:
            self.parts.budgets.release(reservation)

    async def _resume_or_place(
        self, reservation: Reservation
    ) -> DispatchFault | None:
        resumed = await self._remote.resume()
        if resumed is not None and resumed.fault is None:
            self._bill(resumed.reply, reservation)
            await self.parts.budgets.wait_for_copies()
            return None
        if not self._remote.can_run_here():
            return faults.ANSWER_BROKEN.because(
                'the answer broke off at another router'
            )
        return await self._place_and_run(reservation)

    async def _place_and_run(
        self, reservation: Reservation
    ) -> DispatchFault | None:
        # The slot is taken after the reservation: drawing tokens from the
        # platform can take seconds, and a slot held meanwhile would leave its
        # target idle.
        slot = await self.parts.placer.acquire_slot(self.call)
        if isinstance(slot, DispatchFault):
            return slot
        claim = await self._claim(slot)
        if claim is None or isinstance(claim, Claim):
            return await self._send(slot, claim, reservation)
        self.parts.placer.release(slot)
        if isinstance(claim, RequestFault):
            return translate_request_fault(claim)
        copied = await self._remote.copy_answer(claim.holder)
        if copied is not None:
            return copied.fault
        return faults.OUTCOME_UNKNOWN.because('it was dispatched before')

    async def _claim(
        self,
        slot: Slot,
    ) -> Claim | HeldClaim | RequestFault | None:
        # No other router knows a key that this router minted, so none can run
        # the request and no durable claim is needed.
        if self.call.idempotent or self.call.req.minted:
            return None
        try:
            claim = await self.parts.claims.claim(
                self.call.req,
                uuid.uuid4().hex,
            )
        except asyncio.CancelledError:
            self.parts.placer.release(slot)
            raise
        if isinstance(claim, Claim):
            self._remote.mark_claimed()
        return claim

    async def _send(
        self,
        slot: Slot,
        claim: Claim | None,
        reservation: Reservation,
    ) -> DispatchFault | None:
        attempts = RequestAttempts(
            self.parts.attempt_parts, self.call, self.answer
        )
        if not self.call.req.minted:
            self.answer.on_start = functools.partial(
                self._remote.publish_generation,
                attempts,
            )
        try:
            fault = await attempts.run(slot)
        except asyncio.CancelledError:
            if attempts.may_have_run:
                self._bill(attempts.reply, reservation)
            raise
        buffered = self._is_buffered_answer(attempts.reply, fault)
        if buffered or fault is None or self.answer.status:
            self._bill(attempts.reply, reservation)
        if buffered or fault is None:
            # The bill is secured before the end of the answer is delivered.
            # Otherwise a caller could have the complete answer unbilled if
            # this router died right after.
            await self.parts.budgets.wait_for_copies()
            fault = None
        if buffered:
            attempts.reply.deliver()
        if attempts.may_have_run:
            return _as_maybe_run(self.call, fault)
        if claim is not None:
            self.parts.claims.schedule_release(claim)
        return fault

    def _is_buffered_answer(
        self,
        reply: Reply | None,
        fault: DispatchFault | None,
    ) -> bool:
        """Return whether a buffered answer is ready to be delivered."""
        if not isinstance(reply, PlainReply):
            return False
        # If no other target gave a better answer, a plain service's error
        # response is passed on to the caller.
        failed = fault == faults.TARGET_FAILED and self.call.kind != ENGINE
        return fault is None or failed

    def _bill(self, reply: Reply | None, reservation: Reservation) -> None:
        # A request that failed here and was sent again under its key may
        # already have been billed the first time.
        if reply is None or self.answer.billed:
            return
        bill = make_bill(self.call, reply)
        self.used_tokens = bill.tokens
        self.answer.billed = True
        self.parts.budgets.bill(reservation, bill)

    def _finish(self, fault: DispatchFault | None) -> None:
        answers = self.parts.answers
        if fault is None:
            answers.finish(self.answer, AnswerEnd(is_complete=True))
            return
        if self._was_refused:
            # A refused request must leave no trace, so that its key can be
            # used again.
            self._remote.retract()
            answers.finish(
                self.answer, AnswerEnd(is_complete=False, fault=fault)
            )
            answers.drop(self.answer)
            return
        answers.finish(self.answer, AnswerEnd(is_complete=False, fault=fault))
        self.parts.metrics.count(UNKNOWN_OUTCOMES, code=fault.code)
        log_event(
            _logger,
            logging.WARNING,
            'outcome_unknown',
            request_id=self.call.req.key,
            team=self.call.req.team,
            reason=fault.reason or fault.code,
            code=fault.code,
        )


def _as_maybe_run(
    call: Call,
    fault: DispatchFault | None,
) -> DispatchFault | None:
    if fault is None:
        return None
    fault = attrs.evolve(fault, ran=faults.MAYBE_RUN)
    if call.idempotent and fault in _RETRYABLE:
        return attrs.evolve(fault, retry_after=_RETRY_AFTER_S)
    return fault


_RETRY_AFTER_S = 1
_RETRYABLE = frozenset(
    (faults.ANSWER_BROKEN, faults.TARGET_FAILED, faults.OVERLOADED),
)


_REQUEST_FAULTS = {
    request_faults.OUTCOME_UNKNOWN: faults.OUTCOME_UNKNOWN,
    request_faults.ANSWER_NOT_KEPT: faults.OUTCOME_UNKNOWN,
    request_faults.IN_PROGRESS: faults.IN_PROGRESS,
    request_faults.KEY_REUSED: faults.KEY_REUSED,
    request_faults.NO_CLAIM: faults.NO_CLAIM,
}


def translate_request_fault(fault: RequestFault) -> DispatchFault:
    """Translate a fault of the requests layer into one for callers."""
    return _REQUEST_FAULTS[fault].because(fault.reason)
