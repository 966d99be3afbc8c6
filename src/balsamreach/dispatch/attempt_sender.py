"""Sends one attempt of a request to one target."""

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
from balsamreach.dispatch.verdicts import classify_fault, routing_verdict
from balsamreach.requests.answers import Output
from balsamreach.routing.feedback import Feedback
from balsamreach.routing.slot import Slot
from balsamreach.table.rows import ENGINE
from balsamreach.targets.announcements import Announcements


@attrs.define
class AttemptSender:
    """Sends attempts and classifies how they ended.

    Parameters
    ----------
    upstream : Upstream
        Transport to the targets.
    clock : Clock
        Clock of the deadlines.
    feedback : Feedback
        Records when slots are used.
    announcements : Announcements or None
        Receives what targets announce in response headers.
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
        """Send an attempt and receive its answer.

        Parameters
        ----------
        attempt : Attempt
            The attempt.
        reply : Reply
            Receives the answer.
        slot : Slot
            Slot at the target; its verdict is set here.

        Returns
        -------
        DispatchFault or None
            None if the answer is complete.
        """
        if attempt.target.leaving:
            # A slot can be held for seconds while a claim is recorded. A
            # target marked as leaving meanwhile may already count as idle, and
            # a request sent now would be cut off when its host is powered off.
            return faults.OVERLOADED.because('the target began to leave')
        if attempt.target.retry_at > self.clock.now():
            return faults.OVERLOADED.because('the target began to back off')
        if first_byte_shows_queueing(attempt.call):
            reply.on_first_byte.append(slot.record_first_byte)
        self.feedback.record_sent(slot)
        outcome = await self.exchange(attempt, reply)
        slot.verdict = routing_verdict(attempt, reply, outcome)
        return classify_fault(attempt, reply, outcome)

    async def exchange(
        self,
        attempt: Attempt,
        reply: Reply,
    ) -> UpstreamFault | None:
        """Send an attempt within its deadline and close the reply."""
        time_left = attempt.call.deadline - self.clock.now()
        if self.announcements is not None:
            reply.on_head = functools.partial(
                self.announcements.apply,
                attempt.target,
            )
        attempt.target.in_flight += 1
        # Requests that start and end between two polls would otherwise leave
        # no trace, and a target of another zone that only gets such requests
        # would never be polled for whether it is leaving.
        attempt.target.used_since_poll = True
        try:
            async with asyncio.timeout(time_left) as timeout:
                reply.on_halt = functools.partial(_expire, timeout)
                return await self.upstream.send(attempt, reply)
        except TimeoutError:
            return EXPIRED if reply.halted is None else HALTED
        finally:
            attempt.target.in_flight -= 1
            reply.close()


def make_reply(call: Call, output: Output, attempt_id: str) -> Reply:
    """Return a reply object of the type that the request needs."""
    if call.stream:
        return StreamReply(
            output,
            attempt_id,
            wants_usage=call.wants_usage,
            max_tokens=call.max_completion_tokens,
        )
    return PlainReply(output, attempt_id, check_json=call.kind == ENGINE)


def _expire(timeout: asyncio.Timeout) -> None:
    timeout.reschedule(asyncio.get_running_loop().time())


def first_byte_shows_queueing(call: Call) -> bool:
    """Return whether the time to the first byte shows queueing."""
    # The first byte of an engine's non-streamed answer comes with the last
    # token, so a long answer would look like a queue at the target.
    return call.stream or call.kind != ENGINE
