"""Engine process whose tokens are the timestamps of their sending.

The machine's monotonic clock is the same in all processes, so a reader can
compute the latency of each token.
"""

import asyncio
import json
import random
import sys
import time

import attrs

_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'X-Attempt-Id: %b\r\nTransfer-Encoding: chunked\r\n\r\n'
)
_EVENT = (
    'data: {"id":"chatcmpl-first-40000-17","object":"chat.completion.chunk",'
    '"created":1790000000,"model":"model-a","choices":[{"index":0,"delta":'
    '{"content":"%020d"},"finish_reason":null,"logprobs":null}],'
    '"usage":null}\n\n'
)
_USAGE = (
    'data: {"id":"x","choices":[],"usage":{"prompt_tokens":1,'
    '"completion_tokens":%d,"total_tokens":%d}}\n\ndata: [DONE]\n\n'
)
_LOAD = json.dumps(
    {
        'running': 0,
        'queued': 0,
        'slots': 2000,
        'cached_blocks': 0,
        'incarnation': 'first',
        'leaving': False,
        'models': ['model-a'],
        'age_s': 0,
    },
).encode()
_LOAD_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'
_NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
_ATTEMPT = b'x-attempt-id:'
_LENGTH = b'content-length:'


@attrs.define(eq=False)
class Stream:
    """Answer that is being streamed."""

    transport: asyncio.Transport
    tokens_left: int
    interval_s: float
    next_at: float = 0

    def start(self) -> None:
        """Start at a random phase, so that streams don't send all at once."""
        loop = asyncio.get_running_loop()
        self.next_at = loop.time() + self.interval_s * random.random()
        loop.call_at(self.next_at, self.send_token)

    def send_token(self) -> None:
        """Send one token and schedule the next."""
        if self.transport.is_closing():
            return
        if not self.tokens_left:
            self._finish()
            return
        self.tokens_left -= 1
        self._send((_EVENT % time.monotonic_ns()).encode())
        self.next_at += self.interval_s
        asyncio.get_running_loop().call_at(self.next_at, self.send_token)

    def _finish(self) -> None:
        self._send((_USAGE % (1, 2)).encode())
        self.transport.write(b'0\r\n\r\n')

    def _send(self, event: bytes) -> None:
        self.transport.write(b'%x\r\n%b\r\n' % (len(event), event))


class Connection(asyncio.Protocol):
    """HTTP connection that starts a stream for each chat request."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._received = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Collect bytes of a request; serve it once it is complete."""
        self._received += received
        head, found, body = self._received.partition(b'\r\n\r\n')
        if found and len(body) >= int(_field(head, _LENGTH) or 0):
            self._received = b''
            self._serve(head, body)

    def _serve(self, head: bytes, body: bytes) -> None:
        if head.startswith(b'GET /load'):
            self._transport.write(_LOAD_RESPONSE % (len(_LOAD), _LOAD))
            return
        if not head.startswith(b'POST /v1/chat/completions'):
            self._transport.write(_NOT_FOUND)
            return
        tokens = json.loads(body)['max_tokens']
        self._transport.write(_HEAD % _field(head, _ATTEMPT))
        Stream(self._transport, tokens, self._interval_s).start()


def _field(head: bytes, name: bytes) -> bytes:
    for line in head.split(b'\r\n'):
        if line.lower().startswith(name):
            return line[len(name) :].strip()
    return b''


async def main() -> None:
    """Serve until terminated; the argument is the token interval in s."""
    interval_s = float(sys.argv[1])
    server = await asyncio.get_running_loop().create_server(
        lambda: Connection(interval_s),
        '127.0.0.1',
        0,
        backlog=1024,
    )
    port = server.sockets[0].getsockname()[1]
    line = json.dumps({'address': f'127.0.0.1:{port}'})
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
