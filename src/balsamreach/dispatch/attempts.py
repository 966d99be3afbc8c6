"""One try of a request at one target, and what its end means."""

import asyncio

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch import faults
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.replies import PlainReply, Reply, StreamReply
from balsamreach.dispatch.upstream import (
    BROKEN,
    DECLINED,
    FAILED,
    NOT_SENT,
    SILENT,
    Attempt,
    Upstream,
    UpstreamFault,
)
from balsamreach.requests.answers import Answer
from balsamreach.routing.feedback import Feedback
from balsamreach.routing.slot import Slot, Verdict
from balsamreach.table.rows import ENGINE

_VERDICTS = {
    NOT_SENT: Verdict.REFUSED,
    DECLINED: Verdict.DECLINED,
    FAILED: Verdict.FAILED,
    BROKEN: Verdict.BROKEN,
    SILENT: Verdict.SILENT,
}


@attrs.define
class Attempts:
    """Sends attempts and judges how they ended."""

    upstream: Upstream
    clock: Clock
    feedback: Feedback

    async def send(
        self,
        attempt: Attempt,
        reply: Reply,
        slot: Slot,
    ) -> DispatchFault | None:
        """Send an attempt and take in its answer.

        Parameters
        ----------
        attempt : Attempt
            What to send where.
        reply : Reply
            Takes in the answer.
        slot : Slot
            The hold on the target; told how the exchange ended.

        Returns
        -------
        DispatchFault or None
            None if the answer is whole.
        """
        if attempt.target.leaving:
            # A slot can be held for seconds while a claim is recorded. A
            # target marked meanwhile may be counted as idle already, and a
            # request sent now would be cut when its host is switched off.
            return faults.OVERLOADED.because('the target began to leave')
        left = attempt.call.deadline - self.clock.now()
        attempt.target.in_flight += 1
        if _shows_queueing(attempt.call):
            reply.on_first = slot.first_byte_came
        self.feedback.sent(slot)
        try:
            async with asyncio.timeout(left):
                outcome = await self.upstream.send(attempt, reply)
        except TimeoutError:
            slot.verdict = Verdict.ABANDONED
            return faults.ANSWER_BROKEN.because('the deadline passed')
        finally:
            attempt.target.in_flight -= 1
        slot.verdict = _verdict(attempt, reply, outcome)
        return _judge(attempt, reply, outcome)


def make_reply(call: Call, answer: Answer, attempt_id: str) -> Reply:
    """Return the reply that fits the request."""
    if call.stream:
        return StreamReply(answer, attempt_id, wants_usage=call.wants_usage)
    return PlainReply(answer, attempt_id)


def _shows_queueing(call: Call) -> bool:
    # Of an engine's answer in one piece, the first byte comes with the last
    # token. A long answer would look like a queue at the target.
    return call.stream or call.kind != ENGINE


def _verdict(
    attempt: Attempt,
    reply: Reply,
    outcome: UpstreamFault | None,
) -> Verdict:
    if outcome is not None:
        return _VERDICTS[outcome]
    if reply.declined and attempt.target.row.trusted_refusals:
        return Verdict.DECLINED
    if reply.failed or reply.foreign:
        return Verdict.FAILED
    return Verdict.GOOD if reply.whole() else Verdict.BROKEN


def _judge(
    attempt: Attempt,
    reply: Reply,
    outcome: UpstreamFault | None,
) -> DispatchFault | None:
    if outcome == NOT_SENT:
        return faults.OVERLOADED.because('no connection to the target')
    if outcome is not None:
        return faults.ANSWER_BROKEN.because(outcome.reason or outcome.code)
    if reply.declined and attempt.target.row.trusted_refusals:
        return faults.OVERLOADED.because(DECLINED.code)
    return _judge_reply(reply)


def _judge_reply(reply: Reply) -> DispatchFault | None:
    if reply.foreign:
        return faults.ANSWER_BROKEN.because('answer to another attempt')
    if reply.failed:
        return faults.ANSWER_BROKEN.because(f'{FAILED.code} {reply.status}')
    if not reply.whole():
        return faults.ANSWER_BROKEN.because('the stream has no end mark')
    return None
