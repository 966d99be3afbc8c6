"""Tests of the selection of neighbours: few links, few hops, connected."""

import random
import unittest
from collections import deque

import attrs
from parameterized import parameterized

from balsamreach.peers.neighbours import Rings
from balsamreach.wire.membership import Member

_MAX_PEERS = 16
_MAX_LINKS = 20
_MAX_HOPS = 6
_LOST_SHARE = 0.3
_SAMPLED = 20


def _members(count, zones):
    rng = random.Random(count)
    return [
        Member(
            incarnation=f'{rng.getrandbits(128):032x}',
            host=f'host-{number}',
            address=f'10.0.0.1:{number}',
            zone=f'zone-{number % zones}',
        )
        for number in range(count)
    ]


def _links(members):
    links = {member.incarnation: set() for member in members}
    rings = Rings(members, _MAX_PEERS)
    for member in members:
        for other in rings.choose(member):
            links[member.incarnation].add(other.incarnation)
            links[other.incarnation].add(member.incarnation)
    return links


def _max_hops(links, alive):
    """Return the most hops from some members to any, -1 if disconnected."""
    longest = 0
    for start in sorted(alive)[:_SAMPLED]:
        hops = {start: 0}
        queue = deque((start,))
        while queue:
            current = queue.popleft()
            reached = (links[current] & alive).difference(hops)
            for neighbour in reached:
                hops[neighbour] = hops[current] + 1
            queue.extend(reached)
        if len(hops) < len(alive):
            return -1
        longest = max(longest, *hops.values())
    return longest


class ChoiceTest(unittest.TestCase):
    """The graph of all connections reaches every router."""

    @parameterized.expand(
        (
            (2, 1),
            (8, 4),
            (18, 4),
            (64, 4),
            (910, 27),
        ),
    )
    def test_connected_in_few_hops_after_losses(self, count, zones):
        """Guards against routers that never receive an edit.

        A rack, an availability zone or any third of the routers is lost, before
        others have been chosen; the remaining graph must stay connected.
        """
        members = _members(count, zones)
        links = _links(members)
        all_names = set(links)
        rng = random.Random(3)
        losses = {
            'none': all_names,
            'a third': {
                name for name in all_names if rng.random() > _LOST_SHARE
            },
            'a zone': {
                member.incarnation
                for member in members
                if member.zone != 'zone-0'
            },
            'all but a zone': {
                member.incarnation
                for member in members
                if member.zone == 'zone-0'
            },
        }
        for lost, alive in losses.items():
            if len(alive) < 2:
                continue
            with self.subTest(lost=lost):
                hops = _max_hops(links, alive)
                self.assertIn(hops, range(1, _MAX_HOPS + 1))
        self.assertLessEqual(max(map(len, links.values())), _MAX_LINKS)

    def test_order_of_the_list_does_not_matter(self):
        members = _members(64, 4)
        chosen = Rings(members, _MAX_PEERS).choose(members[0])
        shuffled = random.Random(1).sample(members, len(members))
        self.assertEqual(Rings(shuffled, _MAX_PEERS).choose(members[0]), chosen)
        self.assertEqual(len(chosen), _MAX_PEERS // 2)

    def test_both_ends_agree_on_persistent_links(self):
        members = _members(64, 4)
        rings = Rings(members, _MAX_PEERS)
        links = _links(members)
        for one in members:
            for other in members:
                is_persistent = rings.chooses(one, other) or rings.chooses(
                    other, one
                )
                linked = other.incarnation in links[one.incarnation]
                self.assertEqual(is_persistent, linked)

    @parameterized.expand(((8, 4), (64, 4), (200, 7)))
    def test_choosers_match_choices(self, count, zones):
        members = _members(count, zones)
        rings = Rings(members, _MAX_PEERS)
        for one in members[:_SAMPLED]:
            choosing = {
                other.incarnation
                for other in members
                if other != one and rings.chooses(other, one)
            }
            found = [other.incarnation for other in rings.choosers(one)]
            self.assertEqual(set(found), choosing)
            self.assertEqual(len(found), len(choosing))

    def test_leaving_routers_are_not_chosen(self):
        members = _members(64, 4)
        first = Rings(members, _MAX_PEERS).choose(members[0])[0]
        members = [
            attrs.evolve(member, leaving=member == first) for member in members
        ]
        names = {
            member.incarnation
            for member in Rings(members, _MAX_PEERS).choose(members[0])
        }
        self.assertNotIn(first.incarnation, names)
