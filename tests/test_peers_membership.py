"""Tests of the list of routers: merging, deaths, comparing."""

import itertools
import random
import unittest

import attrs

from balsamreach.peers.membership import (
    FORGET_AFTER,
    Membership,
    differing,
    digest,
    part_of,
)
from balsamreach.wire.membership import Member
from tests.support import ManualClock

_ME = Member('me', 'host-me', '10.0.0.1:1', 'zone-a', 1)
_PEER = Member('peer', 'host-peer', '10.0.0.2:1', 'zone-a', 5)
_NEXT = attrs.evolve(_PEER, incarnation='next', started=9)
_DEAD = attrs.evolve(_PEER, dead=True)
_LEAVING = attrs.evolve(_PEER, leaving=True, revision=1)


def _membership(*members):
    membership = Membership(_ME, ManualClock())
    for member in members:
        membership.merge(member)
    return membership


def _names(membership):
    return {member.incarnation for member in membership.alive()}


class MergeTest(unittest.TestCase):
    """Whatever the order of what is heard, the list ends the same."""

    def test_order_and_duplicates_do_not_matter(self):
        """Gossip arrives out of order and more than once."""
        told = [_PEER, _NEXT, _DEAD, _LEAVING]
        lists = set()
        for order in itertools.permutations(told):
            membership = _membership(*order, *order[:2])
            lists.add(frozenset(membership.told()))
        self.assertEqual(len(lists), 1)
        self.assertEqual(_names(_membership(*told)), {'me', 'next'})

    def test_what_is_known_is_no_news(self):
        membership = _membership(_PEER)
        self.assertFalse(membership.merge(_PEER))
        self.assertTrue(membership.merge(_LEAVING))
        self.assertFalse(membership.merge(_PEER))

    def test_leaving_is_one_way(self):
        """A peer's higher revision without the mark doesn't undo it."""
        later = attrs.evolve(_PEER, revision=7)
        membership = _membership(_LEAVING, later)
        self.assertTrue(membership.find('peer').leaving)

    def test_death_of_an_old_start_spares_the_new_one(self):
        """A host restarts, and late word of the old start's death comes.

        Symptom: a restarted router gets no connections. Sequence: the new
        incarnation joins, then the mark of the old one arrives. Cause: a
        mark that names an address, not an incarnation.
        """
        membership = _membership(_PEER, _NEXT, _DEAD)
        self.assertEqual(_names(membership), {'me', 'next'})
        self.assertEqual(membership.holder(_PEER.address), _NEXT)

    def test_router_found_on_an_address_overrules_wall_clocks(self):
        """A host is replaced by one whose wall clock lags.

        Symptom: the replacement is called dead. Sequence: it connects, and
        its start lies before its predecessor's. Cause: wall clocks differ.
        """
        membership = _membership(_NEXT)
        self.assertTrue(membership.met(_PEER))
        self.assertEqual(_names(membership), {'me', 'peer'})
        self.assertEqual(membership.holder(_PEER.address), _PEER)


class DeathTest(unittest.TestCase):
    """Marks of death: refuted by the living, remembered, forgotten."""

    def test_paused_router_refutes_its_death(self):
        """Symptom: a running router that nobody connects to.

        Sequence: the process pauses beyond the gap timeout, peers mark it
        dead, it wakes and hears of it. Cause: the mark stands for good
        unless a higher revision answers it.
        """
        membership = _membership()
        self.assertTrue(membership.merge(attrs.evolve(_ME, dead=True)))
        self.assertEqual(membership.me.revision, 1)
        self.assertFalse(membership.me.dead)
        others = _membership(attrs.evolve(_PEER, dead=True))
        self.assertTrue(others.merge(attrs.evolve(_PEER, revision=1)))
        self.assertEqual(_names(others), {'me', 'peer'})

    def test_own_leaving_is_not_refuted_away(self):
        membership = _membership()
        membership.change_me(leaving=True)
        membership.merge(attrs.evolve(_ME, revision=4, dead=True))
        self.assertTrue(membership.me.leaving)
        self.assertFalse(membership.me.dead)

    def test_dead_router_is_not_brought_back_and_later_forgotten(self):
        membership = _membership(_PEER)
        self.assertTrue(membership.bury('peer'))
        self.assertFalse(membership.bury('peer'))
        self.assertFalse(membership.merge(_PEER))
        self.assertIn(_DEAD, membership.told())
        membership.clock.seconds += FORGET_AFTER / 2 + 1
        self.assertNotIn(_DEAD, membership.told())
        self.assertFalse(membership.merge(_PEER))
        membership.clock.seconds += FORGET_AFTER
        membership.forget()
        self.assertIsNone(membership.find('peer'))

    def test_nobody_buries_itself(self):
        self.assertFalse(_membership().bury('me'))


class DigestTest(unittest.TestCase):
    """Hashes of parts of the list show where two lists differ."""

    def test_only_the_part_that_differs_shows(self):
        members = [
            attrs.evolve(_PEER, incarnation=f'r{number}')
            for number in range(200)
        ]
        ours = digest(members)
        random.Random(1).shuffle(members)
        self.assertEqual(digest(members), ours)
        members[7] = attrs.evolve(members[7], dead=True)
        self.assertEqual(
            differing(ours, digest(members)),
            {part_of(members[7])},
        )

    def test_digest_of_another_length_differs_everywhere(self):
        self.assertEqual(len(differing(digest([]), b'')), 32)
