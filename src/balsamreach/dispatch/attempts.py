"""One try of a request at one target."""

import asyncio
import functools

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch import faults
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.replies import PlainReply, Reply
from balsamreach.dispatch.stream_replies import StreamReply
from balsamreach.dispatch.upstream import (
    EXPIRED,
    HALTED,
    Attempt,
    Upstream,
    UpstreamFault,
)
from balsamreach.dispatch.verdicts import judge, rate
from balsamreach.requests.answers import Output
from balsamreach.routing.feedback import Feedback
from balsamreach.routing.slot import Slot
from balsamreach.table.rows import ENGINE
from balsamreach.targets.announcements import Announcements


@attrs.define
class Attempts:
    """Sends attempts and judges how they ended.

    Parameters
    ----------
    announcements : Announcements or None
        Told what targets say of themselves in the heads of answers.
    """

    upstream: Upstream
    clock: Clock
    feedback: Feedback
    announcements: Announcements | None = None

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
        if attempt.target.retry_at > self.clock.now():
            return faults.OVERLOADED.because('the target began to back off')
        if shows_queueing(attempt.call):
            reply.on_first.append(slot.first_byte_came)
        self.feedback.sent(slot)
        outcome = await self.exchange(attempt, reply)
        slot.verdict = rate(attempt, reply, outcome)
        return judge(attempt, reply, outcome)

    async def exchange(
        self,
        attempt: Attempt,
        reply: Reply,
    ) -> UpstreamFault | None:
        """Send an attempt within its deadline; the reply is closed then."""
        left = attempt.call.deadline - self.clock.now()
        if self.announcements is not None:
            reply.on_head = functools.partial(
                self.announcements.take,
                attempt.target,
            )
        attempt.target.in_flight += 1
        # Requests that end between two polls would leave no trace, and a
        # target of another zone that only gets such would never be asked
        # whether it leaves.
        attempt.target.used = True
        try:
            async with asyncio.timeout(left) as scope:
                reply.on_halt = functools.partial(_expire, scope)
                return await self.upstream.send(attempt, reply)
        except TimeoutError:
            return EXPIRED if reply.halted is None else HALTED
        finally:
            attempt.target.in_flight -= 1
            reply.close()


def make_reply(call: Call, output: Output, attempt_id: str) -> Reply:
    """Return the reply that fits the request."""
    if call.stream:
        return StreamReply(
            output,
            attempt_id,
            wants_usage=call.wants_usage,
            most_tokens=call.most_completion,
        )
    return PlainReply(output, attempt_id, checked=call.kind == ENGINE)


def _expire(scope: asyncio.Timeout) -> None:
    scope.reschedule(asyncio.get_running_loop().time())


def shows_queueing(call: Call) -> bool:
    """Return whether a first byte shows how long its target made it wait."""
    # Of an engine's answer in one piece, the first byte comes with the last
    # token. A long answer would look like a queue at the target.
    return call.stream or call.kind != ENGINE
