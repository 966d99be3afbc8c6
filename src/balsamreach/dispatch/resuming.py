"""Resumes a broken stream at the engine that still has the generation."""

import asyncio

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch import faults
from balsamreach.dispatch.attempts import Attempts
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.dispatch.replies import PlainReply, Reply
from balsamreach.dispatch.stream_replies import ResumedReply, StreamReply
from balsamreach.dispatch.upstream import Attempt
from balsamreach.dispatch.verdicts import judge
from balsamreach.requests.answers import Output
from balsamreach.telemetry.metrics import Metrics

RESUMED = 'balsamreach_streams_resumed_total'
CANCELLED = 'balsamreach_generations_cancelled_total'
_MOST_RESUMES = 3
_PAUSE = 0.05
_CANCEL_TIMEOUT = 5


@attrs.frozen
class Resumed:
    """How a resumed stream ended.

    Parameters
    ----------
    reply : ResumedReply
        All that came of the stream.
    fault : DispatchFault or None
        None if it is whole.
    """

    reply: ResumedReply
    fault: DispatchFault | None


@attrs.define(eq=False)
class Resumer:
    """Resumes and cancels generations.

    Parameters
    ----------
    attempts : Attempts
        Sends what resumes them.
    clock : Clock
        Time between two tries and of a cancel's deadline.
    metrics : Metrics
        Counts resumed streams.
    """

    attempts: Attempts
    clock: Clock
    metrics: Metrics
    _cancels: set[asyncio.Task] = attrs.field(factory=set)

    async def resume(
        self,
        attempt: Attempt,
        broken: StreamReply,
        generation: str = '',
    ) -> Resumed | None:
        """Take up a stream after its last whole event.

        Parameters
        ----------
        attempt : Attempt
            What the generation was begun by, or stands in for it.
        broken : StreamReply
            What came of the stream so far.
        generation : str
            The engine's name for it, where the reply does not know it.

        Returns
        -------
        Resumed or None
            None if the generation is not known or the engine has it no
            longer; then nothing was added to the answer.
        """
        generation = generation or broken.generation
        if not generation or broken.halted is not None:
            return None
        reply = broken
        resumed = None
        for _ in range(_MOST_RESUMES):
            reply = ResumedReply(reply, generation)
            fault = await self._follow(attempt, reply)
            if reply.lost or not reply.status:
                break
            resumed = Resumed(reply, fault)
            if fault != faults.ANSWER_BROKEN:
                break
            await self.clock.sleep(_PAUSE)
        outcome = 'lost' if resumed is None else _label(resumed.fault)
        self.metrics.count(RESUMED, outcome=outcome)
        return resumed

    def cancel(self, attempt: Attempt, reply: Reply) -> None:
        """Tell the engine that nobody waits for a generation any more.

        The closed connection alone would let it go on for the time that it
        keeps broken streams, on a slot that others wait for.
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
            deadline=self.clock.now() + _CANCEL_TIMEOUT,
        )
        self.metrics.count(CANCELLED)
        sending = asyncio.create_task(self._cancel(attempt, call))
        self._cancels.add(sending)
        sending.add_done_callback(self._cancels.discard)

    async def _cancel(self, attempt: Attempt, call: Call) -> None:
        sent = attrs.evolve(attempt, call=call)
        reply = PlainReply(_Nowhere(), attempt.attempt_id)
        await self.attempts.exchange(sent, reply)

    async def _follow(
        self,
        attempt: Attempt,
        reply: ResumedReply,
    ) -> DispatchFault | None:
        path = f'/generations/{reply.generation}?from={reply.received}'
        call = attrs.evolve(
            attempt.call,
            method='GET',
            path=path,
            body=b'',
        )
        sent = attrs.evolve(attempt, call=call)
        return judge(sent, reply, await self.attempts.exchange(sent, reply))


class _Nowhere(Output):
    """Takes the answer to a cancel, which tells nothing of use."""

    status = 0

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Drop the head."""

    def write(self, chunk: bytes) -> None:
        """Drop the body."""


def _label(fault: DispatchFault | None) -> str:
    return 'whole' if fault is None else fault.code
