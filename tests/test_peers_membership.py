"""Tests of the list of routers: merging, deaths and comparing."""

import itertools
import random
import unittest

import attrs

from balsamreach.peers.membership import (
    PRUNE_DEAD_AFTER,
    Membership,
    bucket_of,
    differing_buckets,
    digest,
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
    """The order of reports does not change the resulting list."""

    def test_order_and_duplicates_do_not_matter(self):
        """Gossip arrives out of order and more than once."""
        reports = [_PEER, _NEXT, _DEAD, _LEAVING]
        lists = set()
        for order in itertools.permutations(reports):
            membership = _membership(*order, *order[:2])
            lists.add(frozenset(membership.advertised()))
        self.assertEqual(len(lists), 1)
        self.assertEqual(_names(_membership(*reports)), {'me', 'next'})

    def test_known_report_changes_nothing(self):
        membership = _membership(_PEER)
        self.assertFalse(membership.merge(_PEER))
        self.assertTrue(membership.merge(_LEAVING))
        self.assertFalse(membership.merge(_PEER))

    def test_leaving_is_not_undone(self):
        """A peer's higher revision without the leaving mark doesn't undo it."""
        later = attrs.evolve(_PEER, revision=7)
        membership = _membership(_LEAVING, later)
        self.assertTrue(membership.find('peer').leaving)

    def test_death_of_an_old_incarnation_does_not_affect_the_new_one(self):
        """The death of the old incarnation of a restarted router comes late.

        Guards against a restarted router that gets no connections, as the mark
        would apply to the address instead of the incarnation.
        """
        membership = _membership(_PEER, _NEXT, _DEAD)
        self.assertEqual(_names(membership), {'me', 'next'})
        self.assertEqual(membership.address_owner(_PEER.address), _NEXT)

    def test_contact_overrides_wall_clocks(self):
        """A host is replaced by one whose wall clock lags.

        Guards against declaring the replacement dead: it connects, but by its
        wall clock it started before its predecessor.
        """
        membership = _membership(_NEXT)
        self.assertTrue(membership.record_contact(_PEER))
        self.assertEqual(_names(membership), {'me', 'peer'})
        self.assertEqual(membership.address_owner(_PEER.address), _PEER)


class DeathTest(unittest.TestCase):
    """Dead marks are refuted by live routers, kept for a time, then pruned."""

    def test_paused_router_refutes_its_death(self):
        """Guards against a running router that nobody connects to.

        Peers mark it dead while it is paused beyond the gap timeout. The mark
        stays unless the router answers it with a higher revision.
        """
        membership = _membership()
        self.assertTrue(membership.merge(attrs.evolve(_ME, dead=True)))
        self.assertEqual(membership.me.revision, 1)
        self.assertFalse(membership.me.dead)
        others = _membership(attrs.evolve(_PEER, dead=True))
        self.assertTrue(others.merge(attrs.evolve(_PEER, revision=1)))
        self.assertEqual(_names(others), {'me', 'peer'})

    def test_refuting_keeps_own_leaving_mark(self):
        membership = _membership()
        membership.change_me(leaving=True)
        membership.merge(attrs.evolve(_ME, revision=4, dead=True))
        self.assertTrue(membership.me.leaving)
        self.assertFalse(membership.me.dead)

    def test_dead_router_stays_dead_until_pruned(self):
        membership = _membership(_PEER)
        self.assertTrue(membership.mark_dead('peer'))
        self.assertFalse(membership.mark_dead('peer'))
        self.assertFalse(membership.merge(_PEER))
        self.assertIn(_DEAD, membership.advertised())
        membership.clock.seconds += PRUNE_DEAD_AFTER / 2 + 1
        self.assertNotIn(_DEAD, membership.advertised())
        self.assertFalse(membership.merge(_PEER))
        membership.clock.seconds += PRUNE_DEAD_AFTER
        membership.prune()
        self.assertIsNone(membership.find('peer'))

    def test_router_does_not_mark_itself_dead(self):
        self.assertFalse(_membership().mark_dead('me'))


class DigestTest(unittest.TestCase):
    """Hashes of buckets show where two lists differ."""

    def test_only_the_differing_bucket_is_found(self):
        members = [
            attrs.evolve(_PEER, incarnation=f'r{number}')
            for number in range(200)
        ]
        ours = digest(members)
        random.Random(1).shuffle(members)
        self.assertEqual(digest(members), ours)
        members[7] = attrs.evolve(members[7], dead=True)
        self.assertEqual(
            differing_buckets(ours, digest(members)),
            {bucket_of(members[7])},
        )

    def test_digest_of_another_length_differs_everywhere(self):
        self.assertEqual(len(differing_buckets(digest([]), b'')), 32)
