"""Tests of a store and of probed targets that answer without end."""

import asyncio
import itertools
import unittest

from parameterized import parameterized

from balsamreach.clock import SystemClock
from balsamreach.config.reader import read_settings
from balsamreach.gateway.target_client import HttpTargetClient
from balsamreach.services.faults import PlatformFault
from balsamreach.services.http import Call, PlatformClient
from balsamreach.targets.faults import TargetFault
from tests import endless_targets as samples
from tests.deployment import until
from tests.endless_targets import Endless, EndlessTarget, max_taken

_SPEEDS = {'fast': False, 'slow': True}
_FORMS = samples.ANY | samples.BODIES | samples.ERRORS | samples.UNSEEN
#: Seconds without a byte after which a call to the store fails. A read may
#: take 16 times as long.
_TIMEOUT_S = 0.6
#: Seconds within which each call must end.
_MAX_WAIT_S = 20
#: Maximum size in bytes of an answer of the store, as the client states it.
_MAX_ANSWER_BYTES = 32 << 20
#: The same for an answer of a target that is polled.
_MAX_REPORT_BYTES = 8 << 20
_FAST_BYTES = 1 << 18
_MAX_TAKEN_BYTES = max_taken(_MAX_ANSWER_BYTES)


def _cases(forms: dict[str, Endless]):
    cases = itertools.product(forms.items(), _SPEEDS.items())
    for (form, endless), (speed, slow) in cases:
        yield f'{form}_{speed}', endless, slow


class EndlessServerCase(unittest.IsolatedAsyncioTestCase):
    """A server that answers without end."""

    async def start(self, endless, *, slow):
        """Start the server, and return its address."""
        self.target = EndlessTarget([(endless, slow)])
        self.addCleanup(self.target.stop)
        return await self.target.start()

    async def assert_dropped(self):
        """Check that the connection is closed, and few bytes were taken."""
        self.assertTrue(await until(lambda: not self.target.open_answers))
        self.assertLess(self.target.written, _MAX_TAKEN_BYTES)


class StoreTest(EndlessServerCase):
    """Calls to the store."""

    @parameterized.expand(_cases(_FORMS))
    async def test_read_fails(self, _, endless, slow):
        """Guards against a read that takes all memory, or never ends."""
        await self.check(Call('GET', '/'), endless, slow=slow)

    @parameterized.expand(_cases(samples.BODIES))
    async def test_write_fails(self, _, endless, slow):
        """Guards against a write that takes all memory, or never ends."""
        call = Call('POST', '/', b'{}', writes=True)
        await self.check(call, endless, slow=slow)

    async def check(self, call, endless, *, slow):
        """Send a call, and check that it fails."""
        address = await self.start(endless, slow=slow)
        client = PlatformClient(f'http://{address}', request_timeout=_TIMEOUT_S)
        self.addCleanup(client.close)
        async with asyncio.timeout(_MAX_WAIT_S):
            outcome = await client.send(call)
        self.assertIsInstance(outcome, PlatformFault)
        await self.assert_dropped()


class ProbeTest(EndlessServerCase):
    """Polls of targets."""

    @parameterized.expand(_cases(_FORMS))
    async def test_poll_fails(self, _, endless, slow):
        """Guards against a poll that takes all memory, or never ends."""
        address = await self.start(endless, slow=slow)
        cfg = read_settings(
            None, ('host.zone=zone-a', 'targets.poll_timeout=1s')
        )
        client = HttpTargetClient(cfg, SystemClock())
        self.addCleanup(client.close)
        async with asyncio.timeout(_MAX_WAIT_S):
            outcome = await client.load(address)
        self.assertIsInstance(outcome, TargetFault)
        await self.assert_dropped()


class FastProbeTest(unittest.IsolatedAsyncioTestCase):
    """Polls of a target that writes as fast as its reader takes it."""

    @parameterized.expand(
        (form, samples.BODIES[form])
        for form in ('body_to_close', 'one_chunk', 'huge_length')
    )
    async def test_poll_fails(self, _, endless):
        """Guards against a report that takes all memory by its timeout."""
        target = EndlessTarget([(endless, False)], block_bytes=_FAST_BYTES)
        self.addCleanup(target.stop)
        client = HttpTargetClient(
            read_settings(None, ('host.zone=zone-a',)), SystemClock()
        )
        self.addCleanup(client.close)
        outcome = await client.load(await target.start())
        self.assertIsInstance(outcome, TargetFault)
        self.assertTrue(await until(lambda: not target.open_answers))
        self.assertLess(target.written, max_taken(_MAX_REPORT_BYTES))


if __name__ == '__main__':
    unittest.main()
