"""Fetches an answer from the router that makes or keeps it."""

import asyncio
from itertools import chain

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch import faults
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.peers.base import PeerNet
from balsamreach.requests.answers import Answer, Sink
from balsamreach.requests.registry import JOINED, Answers
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.answers import AnswerAsk, AnswerPart
from balsamreach.wire.membership import Member

#: Bytes of an answer that one message carries.
_PART = 256 * 1024
#: Seconds that an answer is waited for before "nothing new" is told.
_POLL = 0.5


@attrs.frozen
class Followed:
    """How an answer ended at the router that made it.

    Parameters
    ----------
    fault : DispatchFault or None
        None if it is whole.
    """

    fault: DispatchFault | None


@attrs.define(eq=False)
class Follower:
    """Copies answers from other routers, and serves ours to them.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    answers : Answers
        Answers of this router.
    clock : Clock
        Time of deadlines.
    metrics : Metrics
        Counts duplicates that joined elsewhere.
    """

    net: PeerNet
    answers: Answers
    clock: Clock
    metrics: Metrics

    def __attrs_post_init__(self) -> None:
        """Serve the answers of this router to others."""
        self.net.on(AnswerAsk, self._take_ask)

    async def follow(
        self,
        holder: str,
        call: Call,
        answer: Answer,
    ) -> Followed | None:
        """Copy another router's answer to a request into ours.

        Parameters
        ----------
        holder : str
            Incarnation of the router that has the answer.
        call : Call
            The request.
        answer : Answer
            Where it goes.

        Returns
        -------
        Followed or None
            None if the other router is gone or has no such answer; what
            came of it until then stands in the answer.
        """
        answer.copied = True
        try:
            return await self._copy(holder, call, answer)
        finally:
            answer.copied = False

    async def _copy(
        self,
        holder: str,
        call: Call,
        answer: Answer,
    ) -> Followed | None:
        while self.clock.now() < call.deadline:
            part = await self._fetch(holder, call, answer)
            if part is None:
                return None
            _take(part, answer)
            if part.ended:
                self.metrics.count(JOINED, where='peer')
                return Followed(None if part.whole else _read_fault(part))
        return Followed(faults.DEADLINE.because('the answer took too long'))

    async def _fetch(
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

    async def _take_ask(self, _member: Member, ask: AnswerAsk) -> AnswerPart:
        answer = self.answers.known(ask.team, ask.key)
        if answer is None or answer.req.fingerprint != ask.fingerprint:
            return AnswerPart(known=False)
        # Two routers that were each told that the other one runs a request
        # would otherwise wait for each other until the deadline.
        if answer.copied:
            return AnswerPart(known=False)
        if answer.end is None and ask.offset >= answer.body.size:
            await self._wait_for_news(answer)
        if not answer.joinable:
            return AnswerPart(known=False)
        return _make_part(answer, ask.offset)

    async def _wait_for_news(self, answer: Answer) -> None:
        news = _News()
        answer.attach(news, from_now=True)
        ended = asyncio.ensure_future(answer.wait())
        came = asyncio.ensure_future(news.came.wait())
        await asyncio.wait(
            (ended, came),
            timeout=_POLL,
            return_when=asyncio.FIRST_COMPLETED,
        )
        ended.cancel()
        came.cancel()
        answer.detach(news)


class _News(Sink):
    """Wakes whoever waits for more of an answer."""

    def __init__(self) -> None:
        self.came = asyncio.Event()

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Wake."""
        self.came.set()

    def write(self, chunk: bytes) -> None:
        """Wake."""
        self.came.set()

    def cut(self) -> None:
        """Wake, to tell that the answer cannot be shared any more."""
        self.came.set()


def _make_part(answer: Answer, offset: int) -> AnswerPart:
    body = answer.body.read(offset, _PART)
    end = answer.end
    # The end is told with the last part only.
    if end is None or offset + len(body) < answer.body.size:
        return _part(answer, body)
    fault = end.fault
    if not isinstance(fault, DispatchFault):
        return attrs.evolve(_part(answer, body), ended=True, whole=end.whole)
    return attrs.evolve(
        _part(answer, body),
        ended=True,
        fault=fault.code,
        reason=fault.reason,
        ran=fault.ran,
    )


def _part(answer: Answer, body: bytes) -> AnswerPart:
    headers = tuple(chain.from_iterable(answer.headers.items()))
    return AnswerPart(
        known=True,
        status=answer.status,
        headers=headers,
        body=body,
    )


def _take(part: AnswerPart, answer: Answer) -> None:
    if part.status and not answer.status:
        names = part.headers[::2]
        answer.start(
            part.status, dict(zip(names, part.headers[1::2], strict=True))
        )
    if part.body:
        answer.write(part.body)


def _read_fault(part: AnswerPart) -> DispatchFault:
    return DispatchFault(part.fault, part.reason, part.ran or faults.MAYBE_RUN)
