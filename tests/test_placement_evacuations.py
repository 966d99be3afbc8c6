"""Tests of evacuated availability zones."""

import itertools
import random
import unittest

from parameterized import parameterized

from balsamreach.placement.evacuations import Evacuation, Evacuations
from tests.support import FakeClock

_NEVER = float('-inf')
_SEEDS = range(40)
_ZONES = ('zone-a', 'zone-b', 'zone-c')


def _order(version, *, in_force=True, zone='zone-a'):
    return Evacuation(zone=zone, version=version, in_force=in_force)


class EvacuationsTest(unittest.TestCase):
    """Orders arrive from several sources, repeated and out of order."""

    def setUp(self):
        self.clock = FakeClock()
        self.known = Evacuations(self.clock)

    def put(self, *args, **kwargs):
        return self.known.put(_order(*args, **kwargs), 'test')

    def test_covers_only_its_zone(self):
        self.put(5)
        self.assertTrue(self.known.covers('zone-a'))
        self.assertFalse(self.known.covers('zone-b'))

    @parameterized.expand((('older', 6, True), ('newer', 8, False)))
    def test_order_of_other_version(self, _, version, covered):
        """An older order doesn't restore a zone.

        The zone is evacuated in version 7; a peer that was cut off then sends
        an older order. Taken for the newest one because it arrived last, it
        would send requests to the evacuated zone again.
        """
        self.put(7)
        self.put(version, in_force=False)
        self.assertEqual(self.known.covers('zone-a'), covered)

    def test_restored_zone_stays_restored(self):
        self.put(5)
        self.put(9, in_force=False)
        self.assertFalse(self.put(5))
        self.assertFalse(self.known.covers('zone-a'))

    def test_complete_list_ends_evacuations_it_lacks(self):
        """A zone that is missing from a complete list is restored.

        The evacuation ends while a router is cut off from everything; when it
        is back, the store's history is gone and it reads the complete list.
        If only a removed row ended an evacuation, the zone would get no
        requests for good.
        """
        self.put(5)
        self.put(6, zone='zone-b')
        ended = self.known.end_missing({'zone-b'}, 20, 'test')
        self.assertEqual([order.zone for order in ended], ['zone-a'])
        self.assertFalse(self.known.covers('zone-a'))
        self.assertTrue(self.known.covers('zone-b'))

    def test_complete_list_older_than_order(self):
        self.put(25)
        self.assertEqual(self.known.end_missing(set(), 20, 'test'), ())
        self.assertTrue(self.known.covers('zone-a'))

    def test_lifted_at(self):
        self.put(5)
        self.clock.advance(4)
        self.put(9, in_force=False)
        self.assertEqual(self.known.lifted_at('zone-a'), self.clock.now())
        self.assertEqual(self.known.lifted_at('zone-b'), _NEVER)

    def test_end_of_unknown_evacuation(self):
        self.put(9, in_force=False)
        self.assertEqual(self.known.lifted_at('zone-a'), _NEVER)

    @parameterized.expand([(seed,) for seed in _SEEDS])
    def test_routers_converge(self, seed):
        """The newest order holds, however often and whenever each arrives."""
        rng = random.Random(seed)
        versions = itertools.count(1)
        orders = [
            _order(next(versions), in_force=bool(rng.getrandbits(1)), zone=zone)
            for zone in rng.choices(_ZONES, k=12)
        ]
        digests = set()
        for _ in range(5):
            known = Evacuations(FakeClock())
            for order in rng.sample(orders * 2, 2 * len(orders)):
                known.put(order, 'test')
            digests.add(known.digest())
        self.assertEqual(len(digests), 1)
        newest = {one.zone: one.in_force for one in orders}
        for zone, in_force in newest.items():
            self.assertEqual(known.covers(zone), in_force)

    def test_digest_differs_between_states(self):
        self.assertEqual(self.known.digest(), 0)
        self.put(5)
        before = self.known.digest()
        self.put(6, zone='zone-b')
        self.assertNotEqual(self.known.digest(), before)
