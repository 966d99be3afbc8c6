"""Tests of a store, probed targets and routers with heads that are none."""

import asyncio
import unittest
from unittest import mock

from parameterized import parameterized

from balsamreach.client.faults import UNREACHABLE
from balsamreach.client.operators import OperatorsClient
from balsamreach.clock import SystemClock
from balsamreach.config.reader import read_settings
from balsamreach.gateway.target_client import HttpTargetClient
from balsamreach.services.faults import UNKNOWN
from balsamreach.services.http import Call, PlatformClient
from balsamreach.targets.client import Order
from balsamreach.targets.faults import NO_ANSWER
from tests import broken_heads
from tests.cut_targets import OWN, CutTarget

_SETTINGS = read_settings(None, ('host.zone=zone-a',))
_BROKEN = list(broken_heads.ALL.items())
_SOUND = list(broken_heads.SOUND.items())
_MAX_WAIT_S = 20


def _refusal(answer: bytes) -> bytes:
    return answer.replace(b' 200 ', b' 503 ')


class BrokenHeadCase(unittest.IsolatedAsyncioTestCase):
    """A server that answers once, and closes the connection."""

    async def start(self, answer):
        """Start the server, and return its address."""
        target = CutTarget([answer])
        self.addCleanup(target.stop)
        return await target.start()


class StoreTest(BrokenHeadCase):
    """Calls to the store."""

    async def send(self, answer, call):
        """Return the outcome of a call that gets an answer."""
        client = PlatformClient(f'http://{await self.start(answer)}')
        self.addCleanup(client.close)
        async with asyncio.timeout(_MAX_WAIT_S):
            return await client.send(call)

    @parameterized.expand(_BROKEN)
    async def test_read(self, _, answer):
        """Guards against rows that the store has not sent."""
        self.assertEqual(await self.send(answer, Call('GET', '/')), UNKNOWN)

    @parameterized.expand(_BROKEN)
    async def test_write(self, _, answer):
        """Guards against a write that counts as refused, and was made."""
        call = Call('PUT', '/', b'{}', writes=True)
        self.assertEqual(await self.send(_refusal(answer), call), UNKNOWN)

    @parameterized.expand(_SOUND)
    async def test_sound(self, _, answer):
        """Guards against refusing what HTTP allows."""
        self.assertEqual(await self.send(answer, Call('GET', '/')), OWN)


class ProbeTest(BrokenHeadCase):
    """Polls of targets and orders to them."""

    async def asyncSetUp(self):
        self.client = HttpTargetClient(_SETTINGS, SystemClock())
        self.client.on_head = mock.Mock()
        self.addCleanup(self.client.close)

    @parameterized.expand(_BROKEN)
    async def test_poll(self, _, answer):
        """Guards against a target in trouble that counts as alive."""
        outcome = await self.client.load(await self.start(answer))
        self.assertEqual(outcome, NO_ANSWER)
        self.client.on_head.assert_not_called()

    @parameterized.expand(_BROKEN)
    async def test_order(self, _, answer):
        """Guards against an order that counts as refused, and was obeyed."""
        address = await self.start(_refusal(answer))
        outcome = await self.client.order(address, Order('leave', 1))
        self.assertEqual(outcome, NO_ANSWER)

    @parameterized.expand(_SOUND)
    async def test_sound(self, _, answer):
        """Guards against a target that counts as broken, and is not."""
        await self.client.load(await self.start(answer))
        self.client.on_head.assert_called_once()


class OperatorsTest(BrokenHeadCase):
    """Requests of the operators' command line."""

    async def send(self, answer, send):
        """Return the outcome of a request that gets an answer."""
        url = f'http://{await self.start(answer)}'
        client = OperatorsClient(url, 'key')
        self.addCleanup(client.close)
        return await asyncio.to_thread(send, client)

    @parameterized.expand(_BROKEN)
    async def test_read(self, _, answer):
        """Guards against rows that no router has sent."""
        answer = answer.replace(OWN, b'{}'.ljust(len(OWN)))
        outcome = await self.send(answer, lambda one: one.read('/table'))
        self.assertEqual(outcome, UNREACHABLE)


if __name__ == '__main__':
    unittest.main()
