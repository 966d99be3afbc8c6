"""Tests that a relay router withstands answers without end.

Each test starts a router process with the limits of the smallest hosts.
"""

import asyncio
import itertools
import unittest

from parameterized import parameterized

from tests import endless_targets as samples
from tests.crowds.relay_case import CALLERS, RelayCrowdCase, make_head
from tests.deployment import exchange, parse_answer
from tests.endless_targets import EndlessTarget
from tests.listed_fleet import CHAT, DESK, LLM, ORDER

_CONNECTIONS = 80
_ENDLESS_TARGETS = 4
_BLOCK_BYTES = 1 << 18
_LARGEST_BYTES = 8 << 20
#: Seconds within which all requests must have ended.
_HANG_S = 60
#: More than the router sends, also with all retries.
_MAX_REQUESTS = 1000

_FORMS = (
    samples.BODIES
    | samples.ERRORS
    | samples.NO_ANSWERS
    | samples.EVENTS
    | samples.UNSEEN
)
_CASES = (
    ('plain_to_close', ORDER, 'body_to_close'),
    ('plain_chunks', ORDER, 'chunks'),
    ('plain_one_chunk', ORDER, 'one_chunk'),
    ('plain_huge_length', ORDER, 'huge_length'),
    ('plain_error', ORDER, 'error_404'),
    ('plain_head_line', ORDER, 'head_line'),
    ('plain_chunk_extension', ORDER, 'chunk_extension'),
    ('repeated_to_close', DESK, 'body_to_close'),
    ('stream_event', CHAT, 'event'),
    ('stream_event_in_chunks', CHAT, 'event_in_chunks'),
    ('resumed_event', LLM, 'second_event'),
)


class EndlessAnswersTest(RelayCrowdCase):
    """Many requests at once whose targets answer without end."""

    async def add_targets(self, service, endless):
        """Add targets that answer each request so."""
        script = itertools.repeat((endless, False), _MAX_REQUESTS)
        target = EndlessTarget(list(script), block_bytes=_BLOCK_BYTES)
        self.addCleanup(target.stop)
        for _ in range(_ENDLESS_TARGETS):
            self.fleet.list_target(service, await target.start())

    @parameterized.expand(_CASES)
    async def test_memory(self, _, route, form):
        """Guards against a router that answers take beyond its host."""
        is_plain = route in {ORDER, DESK}
        service, sound = (DESK, LLM) if is_plain else (LLM, DESK)
        self.fleet.add_target(sound, 'v1')
        await self.add_targets(service, _FORMS[form])
        await self.start()
        await self.check(self.send(route), f'/{sound}/1')

    async def test_largest_answer(self):
        """Guards against refusing a single answer that is allowed."""
        body = b'x' * _LARGEST_BYTES
        head, end, _own = samples.ANSWER.partition(b'Content-Length: ')
        answer = b'%b%b%d\r\n\r\n%b' % (head, end, len(body), body)
        target = EndlessTarget([], answer=answer)
        self.addCleanup(target.stop)
        self.fleet.list_target(DESK, await target.start())
        await self.start()
        received = parse_answer(await self.exchange(ORDER))
        self.assertEqual(received.body, body)

    async def send(self, route):
        """Send requests to the targets, and wait until all have ended."""
        async with asyncio.timeout(_HANG_S):
            await asyncio.gather(
                *(self.exchange(route) for _ in range(_CONNECTIONS))
            )

    async def exchange(self, route):
        """Send one request, and return what comes back."""
        head = make_head(
            'Content-Length: 0', 'Connection: close', path=f'/{route}/1'
        )
        sent = head.replace(b'crowd', samples.REQUEST.encode())
        return await exchange(f'{self.router.ip}:{CALLERS}', sent)


if __name__ == '__main__':
    unittest.main()
