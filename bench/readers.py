"""Process that reads many timestamped streams concurrently.

Its command arguments are address, number of streams, tokens per stream and
API key. It prints one line of JSON at the start and one with the latencies at
the end.
"""

import asyncio
import functools
import json
import re
import sys
import time
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

_TIMESTAMP = re.compile(rb'"content":"(\d{20})"')
_ACCEPTED = b'HTTP/1.1 200'
_EVENT_END = b'}\n\n'
_DONE = b'data: [DONE]'
#: Divisor of a stream's tokens; that many are left out at either end.
_EDGE_DIVISOR = 5
_LONGEST_US = 60_000_000
_NS_PER_US = 1000


@attrs.define
class Tally:
    """Counts and latencies of all streams of the process."""

    latencies: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, _LONGEST_US, 3),
    )
    chunks: int = 0
    whole: int = 0
    short: int = 0
    refused: int = 0

    def record(self, timestamps: list[bytes]) -> None:
        """Record the latencies of tokens, from their timestamps in ns."""
        now = time.monotonic_ns()
        for timestamp in timestamps:
            latency_us = (now - int(timestamp)) // _NS_PER_US
            self.latencies.record_value(max(1, latency_us))
            self.chunks += 1

    def as_json(self) -> dict[str, Any]:
        """Return counts, and latency quantiles in milliseconds."""
        quantile = self.latencies.get_value_at_percentile
        return {
            'chunks': self.chunks,
            'whole': self.whole,
            'short': self.short,
            'refused': self.refused,
            'p50_ms': quantile(50) / 1000,
            'p99_ms': quantile(99) / 1000,
        }


class Reader(asyncio.Protocol):
    """Sends one request and reads its answer."""

    def __init__(self, request: bytes, tokens: int, tally: Tally) -> None:
        self._request = request
        self._tokens = tokens
        self._tokens_left = tokens
        self._edge_tokens = tokens // _EDGE_DIVISOR
        self._tally = tally
        self._partial_event = b''
        self._started = False
        self._accepted = True
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self._transport = transport
        transport.write(self._request)

    def data_received(self, received: bytes) -> None:
        """Record tokens; close the connection after the end marker."""
        if not self._started:
            self._started = True
            self._accepted = received.startswith(_ACCEPTED)
            if not self._accepted:
                self._tally.refused += 1
                self._transport.close()
        # The timestamp of an event that arrives in two parts would be missed,
        # so an incomplete event is kept for the next call.
        received = self._partial_event + received
        end = received.rfind(_EVENT_END) + 1
        self._partial_event = received[end:]
        timestamps = _TIMESTAMP.findall(received, 0, end)
        self._tokens_left -= len(timestamps)
        # Unlike those of real callers, all streams start and end together,
        # so tokens near either end would only measure that burst.
        if (
            self._edge_tokens
            < self._tokens_left
            < self._tokens - self._edge_tokens
        ):
            self._tally.record(timestamps)
        if _DONE in received:
            self._finish(whole=self._tokens_left == 0)
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count an answer without end marker as short."""
        self._finish(whole=False)

    def _finish(self, *, whole: bool) -> None:
        if self.ended.done():
            return
        self._tally.whole += whole
        self._tally.short += self._accepted and not whole
        self.ended.set_result(None)


def make_request(secret: str, tokens: int) -> bytes:
    """Return the bytes of one streaming chat request."""
    body = json.dumps(
        {
            'model': 'model-a',
            'stream': True,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': 'quote'}],
        },
    )
    return (
        'POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n'
        f'Authorization: Bearer {secret}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


async def read_all(
    address: str,
    streams: int,
    tokens: int,
    secret: str,
) -> Tally:
    """Read a number of streams concurrently to their ends."""
    tally = Tally()
    request = make_request(secret, tokens)
    ip, port = address.split(':')
    loop = asyncio.get_running_loop()
    make_reader = functools.partial(Reader, request, tokens, tally)
    readers = []
    for _ in range(streams):
        connected = await loop.create_connection(make_reader, ip, int(port))
        readers.append(connected[1])
    await asyncio.wait([reader.ended for reader in readers])
    return tally


async def main() -> None:
    """Read the streams and print the latencies."""
    address, streams, tokens, secret = sys.argv[1:]
    _print({'address': address})
    tally = await read_all(address, int(streams), int(tokens), secret)
    _print(tally.as_json())


def _print(line: dict[str, Any]) -> None:
    text = json.dumps(line)
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    asyncio.run(main())
