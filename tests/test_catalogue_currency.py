"""Tests of confirming that a configuration is the newest one."""

import asyncio
import unittest

import attrs
from parameterized import parameterized

from balsamreach.catalogue.freshness import ConfigurationSource, FreshnessCheck
from balsamreach.catalogue.view import CatalogueView
from tests.relay_samples import CATALOGUE
from tests.support import FakeClock


@attrs.define(eq=False)
class _Source(ConfigurationSource):
    """A source that answers if `answers` is set."""

    clock: FakeClock
    away: bool = False
    answered_at: float = float('-inf')
    answers: bool = True
    query_count: int = 0

    def is_unavailable(self):
        return self.away

    def confirmed_at(self):
        return self.answered_at

    async def check(self):
        self.query_count += 1
        await asyncio.sleep(0)
        if self.answers:
            self.answered_at = self.clock.now()


class CurrencyTest(unittest.IsolatedAsyncioTestCase):
    """Confirming the configuration before denying what it lacks."""

    def setUp(self):
        self.clock = FakeClock()
        self.source = _Source(self.clock)
        self.view = CatalogueView()
        self.view.update_if_newer(CATALOGUE, 'store')
        self.freshness_check = FreshnessCheck(
            self.view, self.clock, self.source
        )

    @parameterized.expand(
        [
            ('answered a moment ago', {'answered_at': 999.5}, True, 0),
            ('answered long ago', {'answered_at': 990}, True, 1),
            ('never answered', {}, True, 1),
            ('silent', {'answers': False}, False, 1),
            (
                'known to be away',
                {'away': True, 'answered_at': 999.5},
                False,
                0,
            ),
        ]
    )
    async def test_confirm_by_state_of_the_source(
        self, _, state, confirmed, query_count
    ):
        for name, value in state.items():
            setattr(self.source, name, value)
        self.assertEqual(await self.freshness_check.confirm(), confirmed)
        self.assertEqual(self.source.query_count, query_count)

    async def test_not_confirmed_if_a_peer_has_a_newer_version(self):
        self.source.answered_at = self.clock.now()
        self.view.record_version(CATALOGUE.version + 1)
        self.assertFalse(await self.freshness_check.confirm())

    async def test_concurrent_confirmations_share_a_query(self):
        """Guards against a call to the store for each unknown key."""
        asks = (self.freshness_check.confirm() for _ in range(50))
        self.assertEqual(set(await asyncio.gather(*asks)), {True})
        self.assertEqual(self.source.query_count, 1)
