"""Tests of requests that come late while a router is being stopped."""

import asyncio
import itertools
import unittest
from collections import Counter
from http import HTTPStatus

import attrs
from parameterized import parameterized

from tests.deployment import parse_answer
from tests.listed_fleet import CHAT, DESK, LLM, ORDER, ListedFleet

_GRACE_S = 4
_SETTINGS = (f'relay.grace={_GRACE_S}s',)
_WORK_S = 1.0
_EVENTS = 4
#: Callers, whose bodies end one after the other until the router is gone.
_CALLERS = 20
_PAUSE_S = 0.2
_BODY = b'body'
_MAX_WAIT_S = 20
_REFUSED = HTTPStatus.SERVICE_UNAVAILABLE
#: Stands for a connection that closes without an answer.
_NOTHING = b'HTTP/1.1 0 Nothing\r\n\r\n'
_STREAMS = frozenset((LLM, CHAT))


@attrs.define
class LateCaller:
    """A caller whose body ends after its router has begun to leave.

    Parameters
    ----------
    request_id : str
        Identity of its request.
    route : str
        Route of its request.
    """

    request_id: str
    route: str
    reader: asyncio.StreamReader = attrs.field(init=False)
    writer: asyncio.StreamWriter = attrs.field(init=False)

    async def begin(self, address):
        """Send all but the end of the body."""
        host, port = address.rsplit(':', 1)
        streams = await asyncio.open_connection(host, port)
        self.reader = streams[0]
        self.writer = streams[1]
        lines = [
            f'POST /{self.route}/1 HTTP/1.1',
            'Host: host.example',
            'Authorization: Bearer key-a',
            f'Attempt-Id: {self.request_id}',
            'Deadline-Ms: 12000',
            f'Content-Length: {len(_BODY)}',
            'Connection: close',
        ]
        if self.route in _STREAMS:
            lines.append('Token-Counts: 10,50')
        head = '\r\n'.join((*lines, '', ''))
        self.writer.write(head.encode() + _BODY[:1])
        await self.writer.drain()

    async def end(self):
        """Send the end of the body, and return what comes back."""
        self.writer.write(_BODY[1:])
        received = await self.reader.read()
        self.close()
        return received or _NOTHING

    def close(self):
        """Close the connection."""
        self.writer.transport.abort()


class LateRequestsTest(unittest.IsolatedAsyncioTestCase):
    """A planned stop in calm of one router with two targets a service."""

    async def start(self):
        """Start the router and its targets."""
        self.fleet = ListedFleet(1, _SETTINGS)
        await self.fleet.start(1, llm=2, desk=2)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.list_known()
        for target in self.fleet.targets.values():
            is_stream = target.target_id.startswith(LLM)
            target.events = _EVENTS
            target.work = _WORK_S / _EVENTS if is_stream else _WORK_S
        self.router = self.fleet.routers[0]
        self.address = self.router.callers.address

    async def stop_router(self, route, count=_CALLERS, pause=_PAUSE_S):
        """Stop the router beside late callers; return what each one gets."""
        callers = [
            LateCaller(f'late-{number}', route) for number in range(count)
        ]
        for caller in callers:
            await caller.begin(self.address)
            self.addCleanup(caller.close)
        self.fleet.running.clear()
        left = asyncio.ensure_future(self.router.leave())
        ends = {}
        for caller in callers:
            await asyncio.sleep(pause)
            if left.done():
                break
            ends[caller.request_id] = asyncio.ensure_future(caller.end())
        await asyncio.gather(left, *ends.values())
        return {name: parse_answer(end.result()) for name, end in ends.items()}

    def ran(self):
        """Return the requests that targets have run."""
        arrivals = (one.arrivals for one in self.fleet.targets.values())
        return {
            arrival.request_id
            for arrival in itertools.chain.from_iterable(arrivals)
        }

    @parameterized.expand(((ORDER,), (DESK,), (CHAT,), (LLM,)))
    async def test_known_route(self, route):
        """Guards against late requests that are cut off, and run for nothing.

        The router takes them until the end of its grace period, when it
        closes their connections without an answer.
        """
        await self.start()
        await self.serve_one(route)
        received = await self.stop_router(route)
        self.check(received, is_stream=route in _STREAMS)
        statuses = Counter(one.status for one in received.values())
        self.assertTrue(statuses[HTTPStatus.OK])
        self.assertTrue(statuses[_REFUSED])

    @parameterized.expand(((ORDER,), (LLM,)))
    async def test_unknown_route(self, route):
        """Guards against the same where no request has ended before."""
        await self.start()
        received = await self.stop_router(route)
        self.check(received, is_stream=route in _STREAMS)

    @parameterized.expand(((ORDER,), (DESK,)))
    async def test_work_outlasts_grace(self, route):
        """Guards against a connection that closes without an answer.

        The targets become slow as the router begins to leave.
        """
        await self.start()
        await self.serve_one(route)
        for target in self.fleet.targets.values():
            target.work = _MAX_WAIT_S
        received = await self.stop_router(route, count=4, pause=0.1)
        ran = self.ran()
        self.assertEqual(len(ran & received.keys()), len(received))
        for answer in received.values():
            self.assertEqual(answer.status, HTTPStatus.BAD_GATEWAY)

    async def serve_one(self, route):
        """Have a request served, so that its duration is known."""
        before = LateCaller('before', route)
        await before.begin(self.address)
        answer = parse_answer(await before.end())
        self.assertEqual(answer.status, HTTPStatus.OK)

    def check(self, received, *, is_stream):
        """Check that each request is answered, or refused and not run."""
        ran = self.ran()
        for name, answer in received.items():
            with self.subTest(name=name):
                if name in ran:
                    self.assertEqual(answer.status, HTTPStatus.OK)
                    last = f'id: {_EVENTS}\n' if is_stream else name
                    self.assertIn(last.encode(), answer.body)
                else:
                    self.assertEqual(answer.status, _REFUSED)
                    self.assertTrue(answer.header('Retry-After'))


if __name__ == '__main__':
    unittest.main()
