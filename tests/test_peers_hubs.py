"""Tests of the selection of hubs."""

import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.peers.hubs import Hubs, pick_hubs
from balsamreach.peers.membership import Membership
from balsamreach.wire.membership import Member
from tests.support import FakeClock

_ZONES = 6


def _members(count):
    rng = random.Random(count)
    return tuple(_member(number, rng) for number in range(count))


def _member(number, rng):
    zone = number % _ZONES
    return Member(
        incarnation=f'{rng.getrandbits(128):032x}',
        host=f'host-{number}',
        address=f'10.0.0.1:{number}',
        zone=f'zone-{zone}',
    )


class HubsTest(unittest.TestCase):
    """Routers agree on the hubs of each zone."""

    def hubs(self, members):
        membership = Membership(members[0], FakeClock())
        for member in members[1:]:
            membership.merge(member)
        return Hubs(membership, read_settings(None, ('host.zone=a',)).peers)

    @parameterized.expand(
        [
            (2, 0),
            (17, 0),
            (18, 2),
            (195, 2),
            (910, 2),
        ]
    )
    def test_full_mesh_has_no_hubs(self, count, expected):
        members = _members(count)
        hubs = self.hubs(members)
        zones = {member.zone for member in members}
        self.assertEqual(set(hubs.zones()), zones if expected else set())
        for zone in zones:
            self.assertEqual(len(hubs.hubs_of(zone)), expected)

    def test_highest_bandwidth_is_preferred(self):
        """Guards against a small host that loses its peers as its link is full.

        If hubs were selected by hash alone, it could be a hub of its zone and
        would have to send a large changed configuration to all others.
        """
        members = list(_members(60))
        high_bandwidth = {members[0].incarnation, members[6].incarnation}
        members = [
            attrs.evolve(
                one, link=100 if one.incarnation in high_bandwidth else 10
            )
            for one in members
        ]
        chosen = pick_hubs(members, 'zone-0', 2)
        self.assertEqual({one.incarnation for one in chosen}, high_bandwidth)
        left = [one for one in members if one.incarnation not in high_bandwidth]
        self.assertEqual(len(pick_hubs(left, 'zone-0', 2)), 2)

    def test_order_of_members_does_not_matter(self):
        members = _members(195)
        one = self.hubs(members)
        other = self.hubs(tuple(reversed(members)))
        for zone in one.zones():
            self.assertEqual(one.hubs_of(zone), other.hubs_of(zone))
            self.assertEqual({hub.zone for hub in one.hubs_of(zone)}, {zone})

    def test_leaving_hub_is_replaced(self):
        members = _members(195)
        first, second = pick_hubs(members, 'zone-1', 2)
        leaving = tuple(
            attrs.evolve(member, leaving=True) if member == first else member
            for member in members
        )
        self.assertEqual(pick_hubs(leaving, 'zone-1', 2)[0], second)

    def test_change_of_members_updates_the_hubs(self):
        members = _members(195)
        hubs = self.hubs(members)
        first = hubs.hubs_of('zone-1')[0]
        hubs.membership.mark_dead(first.incarnation)
        self.assertNotIn(first, hubs.hubs_of('zone-1'))
