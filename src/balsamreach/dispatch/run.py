"""One request's way: admit, reserve, claim, try targets, bill."""

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
from balsamreach.dispatch.elsewhere import Elsewhere, Others
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.placing import Placer
from balsamreach.dispatch.replies import PlainReply, Reply
from balsamreach.dispatch.reserving import reserve
from balsamreach.dispatch.tries import Tries, TryParts
from balsamreach.requests import faults as request_faults
from balsamreach.requests.answers import Answer, End
from balsamreach.requests.claims import Claim, Claims, Held
from balsamreach.requests.faults import RequestFault
from balsamreach.requests.registry import Answers
from balsamreach.routing.slot import Slot
from balsamreach.table.rows import ENGINE
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

UNKNOWN_OUTCOMES = 'balsamreach_requests_unknown_total'

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class RunParts:
    """What every request runs on."""

    budgets: Budgets
    claims: Claims
    answers: Answers
    tries: TryParts
    others: Others

    @property
    def placer(self) -> Placer:
        """Counts requests into their teams' limits and places them."""
        return self.tries.placer

    @property
    def metrics(self) -> Metrics:
        """Counters."""
        return self.tries.metrics


@attrs.define(eq=False)
class Run:
    """A request from its admission to its bill.

    Parameters
    ----------
    parts : RunParts
        What it runs on.
    call : Call
        The request.
    answer : Answer
        Where the answer goes.
    used_tokens : int
        What it was billed.
    """

    parts: RunParts
    call: Call
    answer: Answer
    used_tokens: int = 0
    _refused: bool = False
    _elsewhere: Elsewhere = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set up the view of other routers."""
        self._elsewhere = Elsewhere(
            self.parts.others,
            self.call,
            self.answer,
        )

    async def run(self) -> None:
        """Run the request; the answer is ended when this returns."""
        fault: DispatchFault | None = faults.CANCELLED
        try:
            fault = await self._answer()
            self._refused = fault is not None and fault.ran == faults.NOT_RUN
            fault = await self._elsewhere.confirm(fault)
        finally:
            # Whatever ends the task, callers must not wait for good.
            self._end(fault)

    async def _answer(self) -> DispatchFault | None:
        misuse = await self._elsewhere.look_up()
        if misuse is not None:
            return misuse
        followed = await self._elsewhere.follow()
        if followed is not None:
            return followed.fault
        return await self._admit()

    async def _admit(self) -> DispatchFault | None:
        refusal = self.parts.placer.enter(self.call)
        if refusal is not None:
            return refusal
        try:
            return await self._reserve()
        finally:
            self.parts.placer.close(self.call, self.used_tokens)

    async def _reserve(self) -> DispatchFault | None:
        # A generation that another router began can be taken up all the same.
        if not self._elsewhere.may_resume:
            refusal = self.parts.placer.refuse(self.call)
            if refusal is not None:
                return refusal
        reservation = await reserve(self.parts.budgets, self.call)
        if isinstance(reservation, DispatchFault):
            return reservation
        try:
            return await self._take_up(reservation)
        finally:
            self.parts.budgets.release(reservation)

    async def _take_up(self, reservation: Reservation) -> DispatchFault | None:
        resumed = await self._elsewhere.resume()
        if resumed is not None and resumed.fault is None:
            self._bill(resumed.reply, reservation)
            await self.parts.budgets.secure()
            return None
        if not self._elsewhere.may_go_on():
            return faults.ANSWER_BROKEN.because('it broke off elsewhere')
        return await self._place(reservation)

    async def _place(self, reservation: Reservation) -> DispatchFault | None:
        # The slot comes after the reservation: a draw from the platform can
        # take seconds, and a slot held meanwhile would leave its target idle.
        slot = await self.parts.placer.place(self.call)
        if isinstance(slot, DispatchFault):
            return slot
        claim = await self._claim_for(slot)
        if claim is None or isinstance(claim, Claim):
            return await self._try(slot, claim, reservation)
        self.parts.placer.leave(slot)
        if isinstance(claim, RequestFault):
            return turn_request(claim)
        followed = await self._elsewhere.follow(claim.holder)
        if followed is not None:
            return followed.fault
        return faults.OUTCOME_UNKNOWN.because('it was dispatched before')

    async def _claim_for(
        self,
        slot: Slot,
    ) -> Claim | Held | RequestFault | None:
        # A key that this router minted is known to nobody else, so no other
        # router can run the request and no durable claim is needed.
        if self.call.idempotent or self.call.req.minted:
            return None
        try:
            claim = await self.parts.claims.claim(
                self.call.req,
                uuid.uuid4().hex,
            )
        except asyncio.CancelledError:
            self.parts.placer.leave(slot)
            raise
        if isinstance(claim, Claim):
            self._elsewhere.claimed()
        return claim

    async def _try(
        self,
        slot: Slot,
        claim: Claim | None,
        reservation: Reservation,
    ) -> DispatchFault | None:
        tries = Tries(self.parts.tries, self.call, self.answer)
        if not self.call.req.minted:
            self.answer.on_start = functools.partial(
                self._elsewhere.tell,
                tries,
            )
        try:
            fault = await tries.run(slot)
        except asyncio.CancelledError:
            if tries.may_have_run:
                self._bill(tries.reply, reservation)
            raise
        own = self._is_own(tries.reply, fault)
        if own or fault is None or self.answer.status:
            self._bill(tries.reply, reservation)
        if own or fault is None:
            # A caller who has the whole answer must not have it for nothing
            # because this router dies a moment later.
            await self.parts.budgets.secure()
            fault = None
        if own:
            tries.reply.deliver()
        if tries.may_have_run:
            return _may_have_run(self.call, fault)
        if claim is not None:
            self.parts.claims.give_up(claim)
        return fault

    def _is_own(
        self,
        reply: Reply | None,
        fault: DispatchFault | None,
    ) -> bool:
        """Return whether a plain answer waits here to be passed on."""
        if not isinstance(reply, PlainReply):
            return False
        # An error of a plain service is its own answer to the caller, where
        # no other worker gave a better one.
        failed = fault == faults.TARGET_FAILED and self.call.kind != ENGINE
        return fault is None or failed

    def _bill(self, reply: Reply | None, reservation: Reservation) -> None:
        # A request that failed here and was sent again under its key may
        # have been billed the first time already.
        if reply is None or self.answer.billed:
            return
        bill = make_bill(self.call, reply)
        self.used_tokens = bill.tokens
        self.answer.billed = True
        self.parts.budgets.bill(reservation, bill)

    def _end(self, fault: DispatchFault | None) -> None:
        answers = self.parts.answers
        if fault is None:
            answers.finish(self.answer, End(whole=True))
            return
        if self._refused:
            # A refused request leaves nothing behind, so that its key can
            # be sent again.
            self._elsewhere.erase()
            answers.finish(self.answer, End(whole=False, fault=fault))
            answers.drop(self.answer)
            return
        answers.finish(self.answer, End(whole=False, fault=fault))
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


def _may_have_run(
    call: Call,
    fault: DispatchFault | None,
) -> DispatchFault | None:
    if fault is None:
        return None
    fault = attrs.evolve(fault, ran=faults.MAYBE_RUN)
    if call.idempotent and fault in _WORTH_ANOTHER_TRY:
        return attrs.evolve(fault, retry_after=_RETRY_AFTER)
    return fault


_RETRY_AFTER = 1
_WORTH_ANOTHER_TRY = frozenset(
    (faults.ANSWER_BROKEN, faults.TARGET_FAILED, faults.OVERLOADED),
)


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
