"""Fake TCP proxy that repeats answers of a target, and breaks their heads."""

import asyncio
import random
import re

import attrs
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from balsamreach.clock import Clock
from tests.soak_responses import is_complete

_CHUNK_BYTES = 65536
_LINE_END = b'\r\n'
#: A line that makes a head malformed.
_MALFORMED_LINE = b'X-Broken : 1\r\n'
_REQUEST_ID = re.compile(rb'\r\nattempt-id: (\S+)\r\n', re.IGNORECASE)


@attrs.define
class Run:
    """A request at a target.

    Parameters
    ----------
    request_id : str
        Its id.
    target : str
        Address of the target.
    began, ended : float
        Monotonic seconds; it ends with its answer or its connection.
    """

    request_id: str
    target: str
    began: float
    ended: float = float('inf')


@attrs.define
class _Exchange:
    """The request in progress on a connection, and its answer so far."""

    run: Run | None = None
    answer: bytes = b''


class RepeatingProxy(TCPServer):
    """Passes requests to a target, and sends some answers a second time.

    The second answer is sent where that to the next request is expected. The
    heads of some other answers get a malformed line.

    Parameters
    ----------
    target : str
        ``ip:port`` of the target.
    share : float
        Share of the answers that are sent twice.
    rng : random.Random
        Chooses these answers.
    clock : Clock
        Source of the times of runs.
    repeated : int
        Answers that were sent twice so far.
    runs : list of Run
        Requests that came to the target.
    broken_share : float
        Share of the answers whose heads are malformed.
    heads_rng : random.Random
        Chooses these answers.
    broken : set of str
        Ids of the requests that got them.
    """

    def __init__(
        self, target: str, share: float, rng: random.Random, clock: Clock
    ) -> None:
        super().__init__()
        self.target = target
        self.share = share
        self.rng = rng
        self.clock = clock
        self.repeated = 0
        self.runs: list[Run] = []
        self.broken_share = 0.0
        self.heads_rng = random.Random(target)
        self.broken: set[str] = set()

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve a connection until one of its ends closes."""
        host, _, port = self.target.rpartition(':')
        try:
            upstream = await TCPClient().connect(host, int(port))
        except OSError:
            stream.close()
            return
        exchange = _Exchange()
        await asyncio.gather(
            self._pass_requests(stream, upstream, exchange),
            self._pass_answers(stream, upstream, exchange),
        )
        self._end(exchange)

    async def _pass_requests(
        self, stream: IOStream, upstream: IOStream, exchange: _Exchange
    ) -> None:
        try:
            while True:
                chunk = await stream.read_bytes(_CHUNK_BYTES, partial=True)
                begun = _REQUEST_ID.search(chunk)
                if begun is not None:
                    await self._begin(begun[1].decode(), stream, exchange)
                await upstream.write(chunk)
        except StreamClosedError:
            self._end(exchange)
            upstream.close()

    async def _begin(
        self, request_id: str, stream: IOStream, exchange: _Exchange
    ) -> None:
        last_answer = exchange.answer
        exchange.answer = b''
        exchange.run = Run(request_id, self.target, self.clock.now())
        self.runs.append(exchange.run)
        if last_answer and self.rng.random() < self.share:
            self.repeated += 1
            await stream.write(last_answer)

    async def _pass_answers(
        self, stream: IOStream, upstream: IOStream, exchange: _Exchange
    ) -> None:
        try:
            while True:
                chunk = await upstream.read_bytes(_CHUNK_BYTES, partial=True)
                if not exchange.answer and exchange.run is not None:
                    chunk = self._break_head(chunk, exchange.run)
                exchange.answer += chunk
                if is_complete(exchange.answer):
                    self._end(exchange)
                await stream.write(chunk)
        except StreamClosedError:
            stream.close()

    def _break_head(self, chunk: bytes, run: Run) -> bytes:
        if self.heads_rng.random() >= self.broken_share:
            return chunk
        self.broken.add(run.request_id)
        return chunk.replace(
            _LINE_END, b'%b%b' % (_LINE_END, _MALFORMED_LINE), 1
        )

    def _end(self, exchange: _Exchange) -> None:
        run = exchange.run
        if run is not None:
            run.ended = min(run.ended, self.clock.now())
