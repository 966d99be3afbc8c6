"""Tests of prompts that share a part which crashes targets."""

import asyncio
import random
import unittest

from parameterized import parameterized

from tests.crashing_targets import CrashingTargets, PromptCallers
from tests.listed_fleet import ListedFleet

_SEED = 1
_ROUTERS = 3
_TARGETS = 6
_QUIET_S = 1.0
_CRASHING_S = 6.0
#: Sound requests come for longer, so that there are some after the last crash.
_ALL_S = _QUIET_S + _CRASHING_S + 3.0
#: The promise: requests with the part that may still be sent later than this
#: many seconds after its fifth crash.
_KNOWN_AFTER = 5
_GRACE_S = 3.0
_MAX_LATE = 3
#: Share of the sound requests that begin at their first attempt, relative to
#: the time before, from two such times after the crashes that show the cause.
_MIN_SERVED = 0.5


class CrashingPartTest(unittest.IsolatedAsyncioTestCase):
    """Requests of which no two are alike crash targets by a common part."""

    async def asyncSetUp(self):
        self.fleet = ListedFleet(_SEED, ('relay.retry_share=100%',))
        self.targets = CrashingTargets(self.fleet)
        self.addAsyncCleanup(self.fleet.stop)
        self.addAsyncCleanup(self.targets.stop)
        await self.fleet.start(_ROUTERS, desk=1)
        self.callers = PromptCallers(self.fleet, random.Random(_SEED))

    async def run_callers(self, rate):
        """Send sound requests all the time, and later crashing ones too."""
        for _ in range(_TARGETS):
            self.targets.add()
        await self.fleet.list_known()
        sound = asyncio.ensure_future(self.callers.send_sound(_ALL_S, 40))
        await asyncio.sleep(_QUIET_S)
        await self.callers.send_crashing(_CRASHING_S, rate)
        await sound

    @parameterized.expand(
        [
            ('by_reset', True, True, 6),
            ('undelimited_in_order', False, False, 6),
            ('in_order', False, True, 6),
            ('rare', True, False, 2),
        ]
    )
    async def test_target_after_target(self, _name, by_reset, delimited, rate):
        """Guards against blaming whole requests for a part that they share."""
        self.targets.by_reset = by_reset
        self.targets.delimited = delimited
        await self.run_callers(rate)
        late = self.targets.late_arrivals(_KNOWN_AFTER, _GRACE_S)
        self.assertLessEqual(late, _MAX_LATE)
        self.assert_sound_served()

    async def test_routers_that_have_restarted(self):
        """Guards against a part that is unknown to routers which start anew."""
        restarts = asyncio.ensure_future(self.restart_routers())
        await self.run_callers(6)
        await restarts
        late = self.targets.late_arrivals(_KNOWN_AFTER, _GRACE_S)
        self.assertLessEqual(late, _MAX_LATE)

    async def restart_routers(self):
        """Kill one router after the other while the part is sent."""
        await asyncio.sleep(_QUIET_S + _CRASHING_S / 2)
        for _ in range(_ROUTERS):
            await self.fleet.kill_router()

    def assert_sound_served(self):
        """Check that sound requests begin as before once the part is known."""
        began = self.callers.sound[0].at
        quiet = self.callers.served_share(began, began + _QUIET_S)
        known_at = self.targets.crashed_at[:_KNOWN_AFTER][-1]
        served = self.callers.served_share(known_at + 1, began + _ALL_S)
        self.assertGreaterEqual(served, _MIN_SERVED * quiet)
