"""Fake target on TCP that writes bytes without end, and what it writes."""

import asyncio
import socket

import attrs

from tests.relay_samples import REQUEST, event

#: Bytes that the stand-in writes at once, as fast as its reader takes them.
_BLOCK_BYTES = 16 * 1024
#: Send buffer of the stand-in, so that few bytes wait in its socket.
_SEND_BUFFER_BYTES = 64 * 1024
#: More than any request of a test has.
_MAX_REQUEST_BYTES = 64 * 1024
#: Pause of a slow stand-in. No silence timeout is as short.
_PAUSE_S = 0.05
#: What the sockets of both ends hold at most beyond what the reader took: the
#: receive buffer grows with the speed of the reader.
SOCKET_BYTES = 8 << 20


def max_taken(limit: int) -> int:
    """Return how many bytes a reader may take that keeps so many at most."""
    # A chunk of 8 bytes is sent as 13.
    return limit * 13 // 8 + SOCKET_BYTES


@attrs.frozen
class Endless:
    """Bytes without end.

    Parameters
    ----------
    begin : bytes
        The first bytes.
    more : bytes
        Bytes that are repeated until the connection closes; ``%d`` in them
        stands for the number of the repetition, from 1.
    """

    begin: bytes
    more: bytes

    def part(self, number: int) -> bytes:
        """Return one repetition."""
        return self.more.replace(b'%d', b'%d' % number)

    def parts(self, number: int, least: int) -> tuple[bytes, int]:
        """Return repetitions from a number on, and the number of the next."""
        block = b''
        while len(block) < least:
            block += self.part(number)
            number += 1
        return block, number


_IDS = b'Attempt-Id: %b\r\nResponse-Stamp: s\r\n' % REQUEST.encode()
_HEAD = b'HTTP/1.1 200 OK\r\n%b' % _IDS
_TO_CLOSE = b'%b\r\n' % _HEAD
_CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % _HEAD
_CHUNK = b'8\r\nxxxxxxxx\r\n'
_BYTES = b'xxxxxxxx'
_LINE = b'X-More: x\r\n'
#: The events of a whole answer.
OWN = b'%b%b' % (event(1), event(2))
#: A whole answer.
ANSWER = b'%bContent-Length: %d\r\n\r\n%b' % (_HEAD, len(OWN), OWN)
#: A whole answer, behind which bytes follow.
BEHIND = Endless(ANSWER, _BYTES)
#: Bytes that are no answer at all, which shows without a wait.
NO_ANSWERS = {
    'head_lines': Endless(_HEAD, _LINE),
    'head_line': Endless(b'%bX-More: ' % _HEAD, _BYTES),
    'interim_heads': Endless(b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    'garbage': Endless(b'', b'\x00\xffno answer'),
}
#: Heads and bodies that are an answer to no kind of request.
ANY = NO_ANSWERS | {
    'garbage_lines': Endless(b'', b'no answer\r\n'),
    'chunk_length': Endless(_CHUNKED, b'00000000'),
}
#: Bodies of a success.
BODIES = {
    'body_to_close': Endless(_TO_CLOSE, _BYTES),
    'chunks': Endless(_CHUNKED, _CHUNK),
    'one_chunk': Endless(b'%b7fffffff\r\n' % _CHUNKED, _BYTES),
    'huge_length': Endless(
        b'%bContent-Length: 999999999999\r\n\r\n' % _HEAD, _BYTES
    ),
    'trailers': Endless(b'%b%b0\r\n' % (_CHUNKED, _CHUNK), _LINE),
}
#: Bodies of answers that are no success.
ERRORS = {
    'error_500': Endless(
        b'HTTP/1.1 500 Error\r\n%bTransfer-Encoding: chunked\r\n\r\n' % _IDS,
        _CHUNK,
    ),
    'error_404': Endless(b'HTTP/1.1 404 Missing\r\n%b\r\n' % _IDS, _BYTES),
}
#: A refusal of a target's own.
REJECTION = Endless(
    b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n%b\r\n' % _IDS, _BYTES
)
#: Streams that stop giving new events.
EVENTS = {
    'event': Endless(b'%bid: 1\ndata: ' % _TO_CLOSE, _BYTES),
    'event_in_chunks': Endless(b'%bb\r\nid: 1\ndata:\r\n' % _CHUNKED, _CHUNK),
    'second_event': Endless(b'%b%bdata: ' % (_TO_CLOSE, event(1)), _BYTES),
    'event_trailers': Endless(
        b'%b%x\r\n%b\r\n0\r\n' % (_CHUNKED, len(event(1)), event(1)), _LINE
    ),
}
#: A stream that repeats an event, of which nothing is kept.
REPEATED = Endless(_TO_CLOSE, event(1))
#: Streams that go on without end.
STREAMS = {
    'ids': Endless(_TO_CLOSE, b'id: %d\ndata: x\n\n'),
    'no_ids': Endless(_TO_CLOSE, b'data: x\n\n'),
}
#: Bytes within a line that curl reports only once the line is whole.
UNSEEN = {
    'status_line': Endless(b'HTTP/1.1 200 ', _BYTES),
    'chunk_extension': Endless(b'%b8;' % _CHUNKED, _BYTES),
}


@attrs.define(eq=False)
class EndlessTarget:
    """Answers its first requests without end, and the others with an answer.

    Parameters
    ----------
    script : list of (Endless or None, bool)
        What the first requests get, in their order: the bytes without end,
        None for the answer, and whether these come slowly, a few bytes each
        50 ms, instead of as fast as the reader takes them.
    answer : bytes
        Answer to all other requests.
    block_bytes : int
        Bytes that are written at once, for repetitions that have no numbers;
        0 for a slower stand-in that counts them.
    requests : int
        Requests received.
    written : int
        Bytes without end that the sockets took.
    open_answers : int
        Answers without end whose connections are open.
    """

    script: list[tuple[Endless | None, bool]]
    answer: bytes = ANSWER
    block_bytes: int = 0
    requests: int = 0
    written: int = 0
    open_answers: int = 0
    servers: list[asyncio.Server] = attrs.field(factory=list)

    async def start(self) -> str:
        """Start to listen at one more address, and return it."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    def stop(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.read(_MAX_REQUEST_BYTES)
        if not head:
            writer.close()
            return
        self.requests += 1
        endless, slow = self.script.pop(0) if self.script else (None, False)
        if endless is None:
            writer.write(self.answer)
            writer.close()
            return
        self.open_answers += 1
        try:
            await self._write_on(writer, endless, slow=slow)
        except ConnectionError:
            self.open_answers -= 1
        finally:
            writer.transport.abort()

    async def _write_on(
        self, writer: asyncio.StreamWriter, endless: Endless, *, slow: bool
    ) -> None:
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        writer.transport.set_write_buffer_limits(0)
        await self._write(writer, endless.begin)
        number = 1
        block = endless.more * (self.block_bytes // len(endless.more))
        while True:
            if not self.block_bytes:
                least = 1 if slow else _BLOCK_BYTES
                block, number = endless.parts(number, least)
            await self._write(writer, block)
            await asyncio.sleep(_PAUSE_S if slow else 0)

    async def _write(self, writer: asyncio.StreamWriter, block: bytes) -> None:
        writer.write(block)
        await writer.drain()
        self.written += len(block)
