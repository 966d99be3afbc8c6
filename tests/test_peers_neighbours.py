"""Tests of the choice of neighbours: bounded, connected, few steps wide."""

import random
import unittest
from collections import deque

import attrs
from parameterized import parameterized

from balsamreach.peers.neighbours import Rings
from balsamreach.wire.membership import Member

_MAX_PEERS = 16
_MOST_LINKS = 20
_MOST_STEPS = 6
_LOST_SHARE = 0.3
_STARTS = 20


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


def _steps_to_all(links, alive):
    """Return the most steps from some members to any, -1 if cut off."""
    most = 0
    for start in sorted(alive)[:_STARTS]:
        steps = {start: 0}
        ahead = deque((start,))
        while ahead:
            here = ahead.popleft()
            reached = (links[here] & alive).difference(steps)
            for there in reached:
                steps[there] = steps[here] + 1
            ahead.extend(reached)
        if len(steps) < len(alive):
            return -1
        most = max(most, *steps.values())
    return most


class ChoiceTest(unittest.TestCase):
    """The graph of all connections carries news to everyone."""

    @parameterized.expand(
        (
            (2, 1),
            (8, 4),
            (18, 4),
            (64, 4),
            (910, 27),
        ),
    )
    def test_connected_in_few_steps_also_after_losses(self, count, zones):
        """Symptom: some routers never hear of an edit.

        Sequence: a rack, an availability zone or any third of the routers
        is lost, before anyone has chosen anew. Cause: a graph of neighbours
        that falls apart.
        """
        members = _members(count, zones)
        links = _links(members)
        everyone = set(links)
        rng = random.Random(3)
        losses = {
            'none': everyone,
            'a third': {
                name for name in everyone if rng.random() > _LOST_SHARE
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
                steps = _steps_to_all(links, alive)
                self.assertIn(steps, range(1, _MOST_STEPS + 1))
        self.assertLessEqual(max(map(len, links.values())), _MOST_LINKS)

    def test_order_of_the_list_does_not_matter(self):
        members = _members(64, 4)
        chosen = Rings(members, _MAX_PEERS).choose(members[0])
        shuffled = random.Random(1).sample(members, len(members))
        self.assertEqual(Rings(shuffled, _MAX_PEERS).choose(members[0]), chosen)
        self.assertEqual(len(chosen), _MAX_PEERS // 2)

    def test_both_ends_know_which_links_last(self):
        members = _members(64, 4)
        rings = Rings(members, _MAX_PEERS)
        links = _links(members)
        for one in members:
            for other in members:
                lasts = rings.chooses(one, other) or rings.chooses(other, one)
                linked = other.incarnation in links[one.incarnation]
                self.assertEqual(lasts, linked)

    @parameterized.expand(((8, 4), (64, 4), (200, 7)))
    def test_each_knows_who_chooses_it(self, count, zones):
        members = _members(count, zones)
        rings = Rings(members, _MAX_PEERS)
        for one in members[:_STARTS]:
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
