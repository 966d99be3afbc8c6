"""Tests of the list of targets at a router."""

import random
import unittest

from parameterized import parameterized

from balsamreach.placement.places import Places
from balsamreach.placement.prompts import CacheMemory
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

    @parameterized.expand((('older', 4), ('same', 5), ('newer', 6)))
    def test_leaving_by_its_own_word(self, _, version):
        """A target that said in an answer that it leaves got new work.

        The list has no change, so the word bears the version of the entry.
        """
        self.assertTrue(self.put('one', leaving=True, version=version))
        self.assertTrue(self.places.find('one').entry.leaving)
        self.assertFalse(self.put('one', leaving=True, version=version))

    def test_leaving_outlives_the_entry(self):
        """A leaving target got new work after an outage of the store.

        Its entry lapses, and is written again as of one that stays.
        """
        self.put('one', leaving=True, version=5)
        self.places.remove('one', 6)
        self.put('one', version=7)
        self.assertTrue(self.places.find('one').entry.leaving)
        self.put('one', version=8, born=1)
        self.assertFalse(self.places.find('one').entry.leaving)

    def test_leaving_of_the_start_before(self):
        self.put('one', version=6, born=1)
        self.assertFalse(self.put('one', leaving=True, version=7))
        self.assertFalse(self.places.find('one').entry.leaving)

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

    def test_a_later_start_under_the_same_id(self):
        """Symptom: a target that has started again is taken for the old one.

        Sequence: it fails, says that it leaves, and starts again; a peer
        that was cut off tells of the start before.
        Cause: counts, failures and leaving were kept by its id alone.
        """
        before = self.places.find('one')
        before.running = 7
        before.cache = CacheMemory(1000)
        self.put('one', leaving=True, version=6)
        self.assertTrue(self.put('one', born=2000, version=9))
        self.assertFalse(self.put('one', born=1000, leaving=True, version=12))
        after = self.places.find('one')
        self.assertFalse(after.entry.leaving)
        self.assertEqual(after.running, 0)
        self.assertIsNone(after.cache)
        self.assertTrue(before.entry.leaving)
        self.assertEqual(len(self.places.of('desk')), 1)

    def test_a_request_at_the_start_before_does_not_end_the_later_one(self):
        """Symptom: a target that has just started again is not used.

        Sequence: a request goes to the start before; the list brings the new
        start; the request is told that another target has the address.
        Cause: the answer took away whatever the list had under that id.
        """
        before = self.places.find('one')
        self.put('one', born=2000, version=9)
        self.places.drop(before)
        self.assertIsNotNone(self.places.find('one'))
        self.places.drop(self.places.find('one'))
        self.assertIsNone(self.places.find('one'))

    def test_words_of_a_start_are_found_by_its_own_name(self):
        self.put('one', born=2000, version=9)
        self.assertIsNone(self.places.find_start('one'))
        self.assertIs(
            self.places.find_start('one@2000'),
            self.places.find('one'),
        )

    def test_another_service_under_the_same_id(self):
        self.places.put(entry('one', 'other', version=9))
        self.assertEqual(self.places.of('desk'), ())
        self.assertEqual(len(self.places.of('other')), 1)

    def test_missing_from_a_list_that_may_have_lost_entries(self):
        self.put('two', version=6)
        self.put('later', version=10)
        self.places.miss(self.places.besides({'two'}, 9), gone_at=103)
        self.assertEqual(self.places.expire(102), ())
        self.assertEqual(len(self.places.of('desk')), 3)
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
