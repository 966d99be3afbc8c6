"""Sends a request to one target after another until it is answered."""

import asyncio
import functools
import logging
import uuid

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import RequestsSettings
from balsamreach.dispatch import faults
from balsamreach.dispatch.attempt_sender import (
    AttemptSender,
    first_byte_shows_queueing,
    make_reply,
)
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.hedging import HedgedAttempts
from balsamreach.dispatch.placing import Placer
from balsamreach.dispatch.replay import Replay, can_replay
from balsamreach.dispatch.replies import Reply
from balsamreach.dispatch.resuming import Resumer
from balsamreach.dispatch.stream_replies import StreamReply
from balsamreach.dispatch.upstream import Attempt, Upstream
from balsamreach.requests.answers import Answer, Output
from balsamreach.routing.routing import Routing
from balsamreach.routing.slot import Slot, Verdict
from balsamreach.table.rows import ENGINE
from balsamreach.targets.announcements import Announcements
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

FOREIGN_ANSWERS = 'balsamreach_answers_foreign_total'
RERUNS = 'balsamreach_streams_rerun_total'
_ATTEMPT_LIMIT = 3
#: Seconds for which an engine keeps a stream under a minted key, which no
#: caller can come back for.
_MINTED_KEEP_S = 2
_KEEP_HEADER = 'X-Keep-Seconds'

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class AttemptParts:
    """Components shared by the attempts of all requests."""

    cfg: RequestsSettings
    placer: Placer
    attempts: AttemptSender
    resumer: Resumer
    clock: Clock
    metrics: Metrics


def make_attempt_parts(
    cfg: RequestsSettings,
    routing: Routing,
    upstream: Upstream,
    announcements: Announcements | None = None,
) -> AttemptParts:
    """Build the components that one router's attempts share."""
    attempts = AttemptSender(
        upstream,
        routing.clock,
        routing.feedback,
        announcements,
    )
    return AttemptParts(
        cfg=cfg,
        placer=Placer(routing),
        attempts=attempts,
        resumer=Resumer(attempts, routing.clock, routing.metrics),
        clock=routing.clock,
        metrics=routing.metrics,
    )


@attrs.define(eq=False)
class RequestAttempts:
    """The attempts of one request.

    Parameters
    ----------
    parts : AttemptParts
        Shared components.
    call : Call
        The request.
    answer : Answer
        Receives the answer.
    reply : Reply or None
        Reply of the latest attempt, or of the winning one if hedged; the bill
        is computed from it.
    target : str
        Name of the target that `reply` comes from.
    may_have_run : bool
        Whether any attempt may have reached a target that ran the request.
    """

    parts: AttemptParts
    call: Call
    answer: Answer
    reply: Reply | None = None
    target: str = ''
    may_have_run: bool = False
    _tried: set[str] = attrs.field(factory=set)
    _hedged: HedgedAttempts | None = None

    async def run(self, slot: Slot) -> DispatchFault | None:
        """Try the first target, then others as far as retries are allowed.

        Parameters
        ----------
        slot : Slot
            Slot at the first target; released here.

        Returns
        -------
        DispatchFault or None
            None if the answer is complete, else the fault of the last attempt.
        """
        fault = await self._attempt_first(slot)
        while fault is not None and self._may_retry(fault, slot):
            other = await self.parts.placer.place_retry(
                self.call,
                self._tried,
            )
            if isinstance(other, DispatchFault):
                # The fault of the last attempt says more than that no other
                # target is left, except about when to retry.
                if fault == faults.OVERLOADED:
                    fault = _extend_retry_after(fault, other)
                break
            slot = other
            fault = await self._attempt(slot)
        return fault

    async def _attempt_first(self, slot: Slot) -> DispatchFault | None:
        delay = self.parts.placer.hedge_delay(self.call)
        if not delay or not first_byte_shows_queueing(self.call):
            return await self._attempt(slot)
        self._hedged = HedgedAttempts(
            placer=self.parts.placer,
            clock=self.parts.clock,
            metrics=self.parts.metrics,
            call=self.call,
            make_attempt=self._attempt,
        )
        try:
            return await self._hedged.run(slot, delay, self._tried)
        finally:
            self._hedged = None

    async def _attempt(self, slot: Slot) -> DispatchFault | None:
        self.target = slot.target.name
        self._tried.add(self.target)
        attempt = Attempt(
            uuid.uuid4().hex, self._with_keep_header(), slot.target
        )
        output = self._make_output()
        reply = make_reply(self.call, output, attempt.attempt_id)
        if isinstance(output, Replay):
            output.on_diverged = functools.partial(reply.halt, _DIVERGED)
        self.reply = reply
        if self._hedged is not None:
            # A hedge replaces `reply` with its own. Billing and other routers
            # must get the reply that wins.
            self._hedged.register(
                reply,
                functools.partial(self._set_reply, reply, self.target),
            )
        try:
            fault = await self._send(attempt, reply, slot)
        except asyncio.CancelledError:
            self.parts.resumer.cancel(attempt, reply)
            raise
        finally:
            self.parts.placer.release(slot)
            self._record(attempt, reply)
        if fault is None and self._hedged is not None:
            self._hedged.declare_winner(
                reply,
                functools.partial(self._set_reply, reply, slot.target.name),
            )
        if reply.halted is not None:
            self.parts.resumer.cancel(attempt, reply)
        return fault

    def _set_reply(self, reply: Reply, target: str) -> None:
        self.reply = reply
        self.target = target

    async def _send(
        self,
        attempt: Attempt,
        reply: Reply,
        slot: Slot,
    ) -> DispatchFault | None:
        fault = await self.parts.attempts.send(attempt, reply, slot)
        if fault != faults.ANSWER_BROKEN or not isinstance(reply, StreamReply):
            return fault
        if self._hedged is not None and self._hedged.is_loser(reply):
            return fault
        resumed = await self.parts.resumer.resume(attempt, reply)
        if resumed is None:
            return fault
        self.reply = resumed.reply
        if resumed.fault is None:
            slot.verdict = Verdict.GOOD
        return resumed.fault

    def _with_keep_header(self) -> Call:
        if not self.call.stream or self.call.kind != ENGINE:
            return self.call
        # A stream whose connection breaks can be resumed only while its engine
        # keeps it. When the caller has gone for good, the engine is sent a
        # cancel; if that is lost, this time limit applies.
        keep_s = self.parts.cfg.stream_keep
        if self.call.req.minted:
            keep_s = min(keep_s, _MINTED_KEEP_S)
        headers = self.call.headers | {_KEEP_HEADER: str(keep_s)}
        return attrs.evolve(self.call, headers=headers)

    def _make_output(self) -> Output:
        if not self.answer.status:
            return self.answer
        self.parts.metrics.count(RERUNS)
        log_event(
            _logger,
            logging.INFO,
            'stream_rerun',
            request_id=self.call.req.key,
            team=self.call.req.team,
        )
        return Replay(self.answer)

    def _record(self, attempt: Attempt, reply: Reply) -> None:
        trusted = attempt.target.row.trusted_refusals
        if reply.sent and not (reply.declined and trusted):
            self.may_have_run = True
        if reply.problem:
            self.parts.metrics.count(FOREIGN_ANSWERS)
            log_event(
                _logger,
                logging.WARNING,
                'answer_foreign',
                request_id=self.call.req.key,
                team=self.call.req.team,
                reason=reply.problem,
            )

    def _may_retry(self, fault: DispatchFault, slot: Slot) -> bool:
        if len(self._tried) >= _ATTEMPT_LIMIT:
            return False
        if not self.call.idempotent:
            # A non-idempotent request may run once. Only if nothing was sent
            # or no connection was made is it certain that it has not.
            return slot.verdict in {Verdict.UNUSED, Verdict.REFUSED}
        if self.answer.status and not can_replay(self.answer):
            return False
        retried = fault in {faults.ANSWER_BROKEN, faults.TARGET_FAILED}
        return retried or fault == faults.OVERLOADED


def _extend_retry_after(
    fault: DispatchFault, other: DispatchFault
) -> DispatchFault:
    if other != faults.TARGETS_BACK_OFF:
        return fault
    wait = max(fault.retry_after, other.retry_after)
    return attrs.evolve(fault, retry_after=wait)


_DIVERGED = faults.ANSWER_BROKEN.because(
    'the stream broke and a second run gave different output',
)
