"""Copies answers from the routers that produce or keep them."""

import asyncio
from itertools import chain

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch import faults
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.peers.base import PeerNet
from balsamreach.requests.answers import Answer, Sink
from balsamreach.requests.registry import JOINED_REQUESTS, AnswerRegistry
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.answers import AnswerAsk, AnswerPart
from balsamreach.wire.membership import Member

#: Maximum bytes of an answer in one message.
_MAX_PART_BYTES = 256 * 1024
#: Seconds to wait for more of an answer before replying without it.
_MAX_WAIT_S = 0.5


@attrs.frozen
class CopyResult:
    """Outcome of copying an answer from another router.

    Parameters
    ----------
    fault : DispatchFault or None
        None if the answer is complete.
    """

    fault: DispatchFault | None


@attrs.define(eq=False)
class AnswerCopier:
    """Copies answers from other routers and serves this router's to them.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    answers : AnswerRegistry
        Answers of this router.
    clock : Clock
        Clock of the deadlines.
    metrics : Metrics
        Counts duplicates that joined an answer of another router.
    """

    net: PeerNet
    answers: AnswerRegistry
    clock: Clock
    metrics: Metrics

    def __attrs_post_init__(self) -> None:
        """Register the handler that serves this router's answers."""
        self.net.on(AnswerAsk, self._on_answer_ask)

    async def copy(
        self,
        holder: str,
        call: Call,
        answer: Answer,
    ) -> CopyResult | None:
        """Copy another router's answer to a request into a local one.

        Parameters
        ----------
        holder : str
            Incarnation of the router that has the answer.
        call : Call
            The request.
        answer : Answer
            Where the copy goes.

        Returns
        -------
        CopyResult or None
            None if the other router is gone or has no such answer; what was
            copied until then stays in the answer.
        """
        answer.is_copying = True
        try:
            return await self._copy_parts(holder, call, answer)
        finally:
            answer.is_copying = False

    async def _copy_parts(
        self,
        holder: str,
        call: Call,
        answer: Answer,
    ) -> CopyResult | None:
        while self.clock.now() < call.deadline:
            part = await self._fetch_part(holder, call, answer)
            if part is None:
                return None
            _append_part(part, answer)
            if part.ended:
                self.metrics.count(JOINED_REQUESTS, where='peer')
                return CopyResult(None if part.whole else _read_fault(part))
        return CopyResult(faults.DEADLINE.because('the answer took too long'))

    async def _fetch_part(
        self,
        holder: str,
        call: Call,
        answer: Answer,
    ) -> AnswerPart | None:
        req = call.req
        ask = AnswerAsk(
            req.team,
            req.key,
            req.fingerprint,
            answer.body.size,
        )
        part = await self.net.ask(holder, ask)
        if isinstance(part, AnswerPart) and part.known:
            return part
        return None

    async def _on_answer_ask(
        self, _member: Member, ask: AnswerAsk
    ) -> AnswerPart:
        answer = self.answers.get(ask.team, ask.key)
        if answer is None or answer.req.fingerprint != ask.fingerprint:
            return AnswerPart(known=False)
        # Two routers that are each told that the other one runs a request
        # would otherwise wait for each other until the deadline.
        if answer.is_copying:
            return AnswerPart(known=False)
        if answer.end is None and ask.offset >= answer.body.size:
            await self._wait_for_change(answer)
        if not answer.joinable:
            return AnswerPart(known=False)
        return _make_part(answer, ask.offset)

    async def _wait_for_change(self, answer: Answer) -> None:
        watcher = _ChangeSink()
        answer.attach(watcher, from_now=True)
        ended = asyncio.ensure_future(answer.wait())
        changed = asyncio.ensure_future(watcher.changed.wait())
        await asyncio.wait(
            (ended, changed),
            timeout=_MAX_WAIT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        ended.cancel()
        changed.cancel()
        answer.detach(watcher)


class _ChangeSink(Sink):
    """Sets an event when more of an answer arrives or it is cut off."""

    def __init__(self) -> None:
        self.changed = asyncio.Event()

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Signal the change."""
        self.changed.set()

    def write(self, chunk: bytes) -> None:
        """Signal the change."""
        self.changed.set()

    def abort(self) -> None:
        """Signal that the answer can no longer be shared."""
        self.changed.set()


def _make_part(answer: Answer, offset: int) -> AnswerPart:
    body = answer.body.read(offset, _MAX_PART_BYTES)
    end = answer.end
    # The end is only reported with the last part.
    if end is None or offset + len(body) < answer.body.size:
        return _unfinished_part(answer, body)
    fault = end.fault
    if not isinstance(fault, DispatchFault):
        return attrs.evolve(
            _unfinished_part(answer, body), ended=True, whole=end.is_complete
        )
    return attrs.evolve(
        _unfinished_part(answer, body),
        ended=True,
        fault=fault.code,
        reason=fault.reason,
        ran=fault.ran,
    )


def _unfinished_part(answer: Answer, body: bytes) -> AnswerPart:
    headers = tuple(chain.from_iterable(answer.headers.items()))
    return AnswerPart(
        known=True,
        status=answer.status,
        headers=headers,
        body=body,
    )


def _append_part(part: AnswerPart, answer: Answer) -> None:
    if part.status and not answer.status:
        names = part.headers[::2]
        answer.start(
            part.status, dict(zip(names, part.headers[1::2], strict=True))
        )
    if part.body:
        answer.write(part.body)


def _read_fault(part: AnswerPart) -> DispatchFault:
    return DispatchFault(part.fault, part.reason, part.ran or faults.MAYBE_RUN)
