"""Tries a request at one target after the other until it is answered."""

import asyncio
import functools
import logging
import uuid

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import RequestsSettings
from balsamreach.dispatch import faults
from balsamreach.dispatch.attempts import Attempts, make_reply, shows_queueing
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.hedging import Race
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

FOREIGN = 'balsamreach_answers_foreign_total'
RERUN = 'balsamreach_streams_rerun_total'
_MOST_ATTEMPTS = 3
#: Seconds an engine holds a stream that nobody can come back for.
_KEEP_MINTED = 2
_KEEP_HEADER = 'X-Keep-Seconds'

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class TryParts:
    """What every request is tried with."""

    cfg: RequestsSettings
    placer: Placer
    attempts: Attempts
    resumer: Resumer
    clock: Clock
    metrics: Metrics


def make_try_parts(
    cfg: RequestsSettings,
    routing: Routing,
    upstream: Upstream,
    announcements: Announcements | None = None,
) -> TryParts:
    """Return what one router's requests are tried with."""
    attempts = Attempts(
        upstream,
        routing.clock,
        routing.feedback,
        announcements,
    )
    return TryParts(
        cfg=cfg,
        placer=Placer(routing),
        attempts=attempts,
        resumer=Resumer(attempts, routing.clock, routing.metrics),
        clock=routing.clock,
        metrics=routing.metrics,
    )


@attrs.define(eq=False)
class Tries:
    """The attempts of one request.

    Parameters
    ----------
    parts : TryParts
        What they are made with.
    call : Call
        The request.
    answer : Answer
        Where the answer goes.
    reply : Reply or None
        The newest attempt's, for the bill.
    target : str
        Name of the target it went to.
    may_have_run : bool
        Whether any attempt may have reached a target that ran it.
    """

    parts: TryParts
    call: Call
    answer: Answer
    reply: Reply | None = None
    target: str = ''
    may_have_run: bool = False
    _tried: set[str] = attrs.field(factory=set)
    _race: Race | None = None

    async def run(self, slot: Slot) -> DispatchFault | None:
        """Try at a first target, then at others as far as that is allowed.

        Parameters
        ----------
        slot : Slot
            The hold on the first target; given back here.

        Returns
        -------
        DispatchFault or None
            None if the answer is whole; else what the last attempt met.
        """
        fault = await self._first(slot)
        while fault is not None and self._may_retry(fault, slot):
            other = await self.parts.placer.place_again(
                self.call,
                self._tried,
            )
            if isinstance(other, DispatchFault):
                # What the last attempt met says more than that no other
                # target is left to try, but not when to come back.
                if fault == faults.OVERLOADED:
                    fault = _put_off(fault, other)
                break
            slot = other
            fault = await self._try(slot)
        return fault

    async def _first(self, slot: Slot) -> DispatchFault | None:
        delay = self.parts.placer.hedge_delay(self.call)
        if not delay or not shows_queueing(self.call):
            return await self._try(slot)
        self._race = Race(
            placer=self.parts.placer,
            clock=self.parts.clock,
            metrics=self.parts.metrics,
            call=self.call,
            attempt=self._try,
        )
        try:
            return await self._race.run(slot, delay, self._tried)
        finally:
            self._race = None

    async def _try(self, slot: Slot) -> DispatchFault | None:
        self.target = slot.target.name
        self._tried.add(self.target)
        attempt = Attempt(uuid.uuid4().hex, self._kept(), slot.target)
        output = self._output()
        reply = make_reply(self.call, output, attempt.attempt_id)
        if isinstance(output, Replay):
            output.on_diverged = functools.partial(reply.halt, _DIVERGED)
        self.reply = reply
        if self._race is not None:
            # A second attempt becomes the newest; what is billed and told
            # to other routers must be the one that answers.
            self._race.enter(
                reply,
                functools.partial(self._answered_by, reply, self.target),
            )
        try:
            fault = await self._send(attempt, reply, slot)
        except asyncio.CancelledError:
            self.parts.resumer.cancel(attempt, reply)
            raise
        finally:
            self.parts.placer.leave(slot)
            self._note(attempt, reply)
        if fault is None and self._race is not None:
            self._race.claim(
                reply,
                functools.partial(self._answered_by, reply, slot.target.name),
            )
        if reply.halted is not None:
            self.parts.resumer.cancel(attempt, reply)
        return fault

    def _answered_by(self, reply: Reply, target: str) -> None:
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
        if self._race is not None and self._race.lost(reply):
            return fault
        resumed = await self.parts.resumer.resume(attempt, reply)
        if resumed is None:
            return fault
        self.reply = resumed.reply
        if resumed.fault is None:
            slot.verdict = Verdict.GOOD
        return resumed.fault

    def _kept(self) -> Call:
        if not self.call.stream or self.call.kind != ENGINE:
            return self.call
        # A stream whose connection breaks can be resumed only while its
        # engine holds it. A caller that went away for good is told to the
        # engine by a cancel; should that get lost, the time runs out.
        keep = self.parts.cfg.stream_keep
        if self.call.req.minted:
            keep = min(keep, _KEEP_MINTED)
        headers = self.call.headers | {_KEEP_HEADER: str(keep)}
        return attrs.evolve(self.call, headers=headers)

    def _output(self) -> Output:
        if not self.answer.status:
            return self.answer
        self.parts.metrics.count(RERUN)
        log_event(
            _logger,
            logging.INFO,
            'stream_rerun',
            request_id=self.call.req.key,
            team=self.call.req.team,
        )
        return Replay(self.answer)

    def _note(self, attempt: Attempt, reply: Reply) -> None:
        trusted = attempt.target.row.trusted_refusals
        if reply.sent and not (reply.declined and trusted):
            self.may_have_run = True
        if reply.foreign:
            self.parts.metrics.count(FOREIGN)
            log_event(
                _logger,
                logging.WARNING,
                'answer_foreign',
                request_id=self.call.req.key,
                team=self.call.req.team,
                reason='the target echoed another attempt',
            )

    def _may_retry(self, fault: DispatchFault, slot: Slot) -> bool:
        if len(self._tried) >= _MOST_ATTEMPTS:
            return False
        if not self.call.idempotent:
            # Only where nothing was sent or no connection was made is the
            # single run of a non-idempotent request certainly unused.
            return slot.verdict in {Verdict.UNUSED, Verdict.REFUSED}
        if self.answer.status and not can_replay(self.answer):
            return False
        retried = fault in {faults.ANSWER_BROKEN, faults.TARGET_FAILED}
        return retried or fault == faults.OVERLOADED


def _put_off(fault: DispatchFault, other: DispatchFault) -> DispatchFault:
    if other != faults.TARGETS_BACK_OFF:
        return fault
    wait = max(fault.retry_after, other.retry_after)
    return attrs.evolve(fault, retry_after=wait)


_DIVERGED = faults.ANSWER_BROKEN.because(
    'the stream broke, and a second run says something else',
)
