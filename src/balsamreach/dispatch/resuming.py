"""Resumes broken streams at the engine that keeps the generation."""

import asyncio

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch import faults
from balsamreach.dispatch.attempt_sender import AttemptSender
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.replies import PlainReply, Reply
from balsamreach.dispatch.stream_replies import ResumedReply, StreamReply
from balsamreach.dispatch.upstream import Attempt
from balsamreach.dispatch.verdicts import classify_fault
from balsamreach.requests.answers import Output
from balsamreach.telemetry.metrics import Metrics

RESUMED_STREAMS = 'balsamreach_streams_resumed_total'
CANCELLED_GENERATIONS = 'balsamreach_generations_cancelled_total'
_MAX_RESUMES = 3
_PAUSE_S = 0.05
_CANCEL_TIMEOUT_S = 5


@attrs.frozen
class ResumeResult:
    """Outcome of resuming a stream.

    Parameters
    ----------
    reply : ResumedReply
        Everything received of the stream.
    fault : DispatchFault or None
        None if the stream is complete.
    """

    reply: ResumedReply
    fault: DispatchFault | None


@attrs.define(eq=False)
class Resumer:
    """Resumes and cancels generations.

    Parameters
    ----------
    attempts : AttemptSender
        Sends the requests to the engine.
    clock : Clock
        Clock of retries and of the cancel deadline.
    metrics : Metrics
        Counts resumed streams and cancelled generations.
    """

    attempts: AttemptSender
    clock: Clock
    metrics: Metrics
    _cancels: set[asyncio.Task] = attrs.field(factory=set)

    async def resume(
        self,
        attempt: Attempt,
        broken: StreamReply,
        generation: str = '',
    ) -> ResumeResult | None:
        """Resume a stream after its last complete event.

        Parameters
        ----------
        attempt : Attempt
            The attempt that started the generation, or a substitute for it.
        broken : StreamReply
            What was received of the stream so far.
        generation : str
            The engine's identifier of the generation, if the reply lacks it.

        Returns
        -------
        ResumeResult or None
            None if the generation is unknown or the engine no longer has it;
            then nothing was added to the answer.
        """
        generation = generation or broken.generation
        if not generation or broken.halted is not None:
            return None
        reply = broken
        resumed = None
        for _ in range(_MAX_RESUMES):
            reply = ResumedReply(reply, generation)
            fault = await self._resume_once(attempt, reply)
            if reply.is_gone or not reply.status:
                break
            resumed = ResumeResult(reply, fault)
            if fault != faults.ANSWER_BROKEN:
                break
            await self.clock.sleep(_PAUSE_S)
        outcome = 'lost' if resumed is None else _outcome_label(resumed.fault)
        self.metrics.count(RESUMED_STREAMS, outcome=outcome)
        return resumed

    def cancel(self, attempt: Attempt, reply: Reply) -> None:
        """Cancel a generation that nobody waits for.

        If only the connection were closed, the engine would continue for the
        time it keeps broken streams and occupy a slot that others need.
        """
        if not reply.generation:
            return
        path = f'/generations/{reply.generation}'
        call = attrs.evolve(
            attempt.call,
            method='DELETE',
            path=path,
            body=b'',
            stream=False,
            deadline=self.clock.now() + _CANCEL_TIMEOUT_S,
        )
        self.metrics.count(CANCELLED_GENERATIONS)
        sending = asyncio.create_task(self._send_cancel(attempt, call))
        self._cancels.add(sending)
        sending.add_done_callback(self._cancels.discard)

    async def _send_cancel(self, attempt: Attempt, call: Call) -> None:
        outgoing = attrs.evolve(attempt, call=call)
        reply = PlainReply(_NullOutput(), attempt.attempt_id)
        await self.attempts.exchange(outgoing, reply)

    async def _resume_once(
        self,
        attempt: Attempt,
        reply: ResumedReply,
    ) -> DispatchFault | None:
        path = f'/generations/{reply.generation}?from={reply.received_count}'
        call = attrs.evolve(
            attempt.call,
            method='GET',
            path=path,
            body=b'',
        )
        outgoing = attrs.evolve(attempt, call=call)
        return classify_fault(
            outgoing, reply, await self.attempts.exchange(outgoing, reply)
        )


class _NullOutput(Output):
    """Discards the answer to a cancel, which is not needed."""

    status = 0

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Discard the head."""

    def write(self, chunk: bytes) -> None:
        """Discard the body."""


def _outcome_label(fault: DispatchFault | None) -> str:
    return 'whole' if fault is None else fault.code
