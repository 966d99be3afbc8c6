"""Tests of zones that get no new work."""

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
    """Orders come by several ways, doubled and out of order."""

    def setUp(self):
        self.clock = FakeClock()
        self.known = Evacuations(self.clock)

    def put(self, *args, **kwargs):
        return self.known.put(_order(*args, **kwargs), 'test')

    def test_an_order_holds_for_its_zone_alone(self):
        self.put(5)
        self.assertTrue(self.known.covers('zone-a'))
        self.assertFalse(self.known.covers('zone-b'))

    @parameterized.expand((('older', 6, True), ('newer', 8, False)))
    def test_an_older_word(self, _, version, covered):
        """Symptom: an evacuated zone gets work again at one router.

        Sequence: the zone is evacuated in change 7; a peer that was cut off
        tells of the change before.
        Cause: the last word that came was taken for the newest.
        """
        self.put(7)
        self.put(version, in_force=False)
        self.assertEqual(self.known.covers('zone-a'), covered)

    def test_a_zone_that_is_restored_stays_so(self):
        self.put(5)
        self.put(9, in_force=False)
        self.assertFalse(self.put(5))
        self.assertFalse(self.known.covers('zone-a'))

    def test_a_whole_list_ends_what_it_lacks(self):
        """Symptom: a zone gets no work though its evacuation is over.

        Sequence: it is lifted while a router is cut off from all; the store's
        history is gone when it is back, so that it reads the whole list.
        Cause: only a removed row was taken for the end.
        """
        self.put(5)
        self.put(6, zone='zone-b')
        over = self.known.lift_besides({'zone-b'}, 20, 'test')
        self.assertEqual([order.zone for order in over], ['zone-a'])
        self.assertFalse(self.known.covers('zone-a'))
        self.assertTrue(self.known.covers('zone-b'))

    def test_a_whole_list_that_is_older_than_an_order(self):
        self.put(25)
        self.assertEqual(self.known.lift_besides(set(), 20, 'test'), ())
        self.assertTrue(self.known.covers('zone-a'))

    def test_when_it_was_lifted(self):
        self.put(5)
        self.clock.advance(4)
        self.put(9, in_force=False)
        self.assertEqual(self.known.lifted_at('zone-a'), self.clock.now())
        self.assertEqual(self.known.lifted_at('zone-b'), _NEVER)

    def test_the_end_alone_of_one_that_was_never_heard_of(self):
        self.put(9, in_force=False)
        self.assertEqual(self.known.lifted_at('zone-a'), _NEVER)

    @parameterized.expand([(seed,) for seed in _SEEDS])
    def test_all_routers_end_with_the_same(self, seed):
        """Whatever the order and however often, the newest word holds."""
        rng = random.Random(seed)
        versions = itertools.count(1)
        orders = [
            _order(next(versions), in_force=bool(rng.getrandbits(1)), zone=zone)
            for zone in rng.choices(_ZONES, k=12)
        ]
        ends = set()
        for _ in range(5):
            known = Evacuations(FakeClock())
            for order in rng.sample(orders * 2, 2 * len(orders)):
                known.put(order, 'test')
            ends.add(known.digest())
        self.assertEqual(len(ends), 1)
        newest = {one.zone: one.in_force for one in orders}
        for zone, in_force in newest.items():
            self.assertEqual(known.covers(zone), in_force)

    def test_digests_tell_states_apart(self):
        self.assertEqual(self.known.digest(), 0)
        self.put(5)
        one = self.known.digest()
        self.put(6, zone='zone-b')
        self.assertNotEqual(self.known.digest(), one)
