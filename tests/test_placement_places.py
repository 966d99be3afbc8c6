"""Tests of the list of targets at a router."""

import random
import unittest

from parameterized import parameterized

from balsamreach.placement.places import Places
from tests.relay_samples import entry


class PlacesTest(unittest.TestCase):
    """Words on targets come by several ways and overtake each other."""

    def setUp(self):
        self.places = Places(random.Random(1))
        self.put('one', version=5)

    def put(self, name, **fields):
        return self.places.put(entry(name, 'desk', **fields))

    def test_leaving_is_for_good(self):
        """Symptom: a leaving target gets new work.

        Sequence: the store says that it leaves; a peer that was cut off
        tells its older entry.
        Cause: the last word that came was taken for the newest.
        """
        self.put('one', leaving=True, version=7)
        self.put('one', leaving=False, version=6)
        self.put('one', leaving=False, version=8)
        self.assertTrue(self.places.find('one').entry.leaving)

    @parameterized.expand((('older', 8, False), ('newer', 10, True)))
    def test_a_target_that_is_gone(self, _, version, back):
        """Symptom: a crashed target is back in the list for ever.

        Sequence: it vanishes in change 9; a peer tells of it afterwards.
        Cause: nobody remembered that it was gone.
        """
        self.places.remove('one', 9)
        self.put('one', version=version)
        self.assertEqual(self.places.find('one') is not None, back)

    def test_a_late_word_of_its_end_does_not_take_it_away(self):
        """Symptom: all targets are gone after an outage of the store.

        Sequence: entries lapse while the store is down and are back at once;
        a peer tells of the lapse afterwards.
        Cause: the word was taken though a later change brought it back.
        """
        self.put('one', version=12)
        self.places.remove('one', 11)
        self.assertIsNotNone(self.places.find('one'))

    def test_missing_from_a_list_that_may_have_lost_entries(self):
        self.put('two', version=6)
        self.places.miss(self.places.besides({'two'}), gone_at=103)
        self.assertEqual(self.places.expire(102), ())
        self.assertEqual(len(self.places.of('desk')), 2)
        self.assertEqual(self.places.expire(103), ('one',))

    @parameterized.expand((('same', 5, ('one',)), ('later', 6, ())))
    def test_word_of_a_target_that_has_vanished(self, _, version, gone):
        """Symptom: a target that is gone stays in the list for ever.

        Sequence: its entry vanishes soon after an outage, so that it is kept
        for a moment; a peer that has not seen that tells all it knows.
        Cause: any word of it was taken for its coming back.
        """
        self.places.miss({'one'}, gone_at=103)
        self.put('one', version=version)
        self.assertEqual(self.places.expire(200), gone)
