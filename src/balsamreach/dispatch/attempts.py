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
    Attempt,
    Upstream,
    UpstreamFault,
)
from balsamreach.requests.answers import Answer


@attrs.define
class Attempts:
    """Sends attempts and judges how they ended."""

    upstream: Upstream
    clock: Clock

    async def send(
        self,
        attempt: Attempt,
        reply: Reply,
    ) -> DispatchFault | None:
        """Send an attempt and take in its answer.

        Parameters
        ----------
        attempt : Attempt
            What to send where.
        reply : Reply
            Takes in the answer.

        Returns
        -------
        DispatchFault or None
            None if the answer is whole.
        """
        left = attempt.call.deadline - self.clock.now()
        attempt.target.in_flight += 1
        try:
            async with asyncio.timeout(left):
                outcome = await self.upstream.send(attempt, reply)
        except TimeoutError:
            outcome = BROKEN.because('the deadline passed')
        finally:
            attempt.target.in_flight -= 1
        return _judge(attempt, reply, outcome)


def make_reply(call: Call, answer: Answer, attempt_id: str) -> Reply:
    """Return the reply that fits the request."""
    if call.stream:
        return StreamReply(answer, attempt_id, wants_usage=call.wants_usage)
    return PlainReply(answer, attempt_id)


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
