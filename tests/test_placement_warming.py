"""Tests of what cold targets get, over fleets of routers that are cut apart."""

import random
import unittest
from collections import deque

import attrs
from parameterized import parameterized

from balsamreach.catalogue.entries import Service
from balsamreach.placement.evacuations import Evacuation, Evacuations
from balsamreach.placement.places import Place
from balsamreach.placement.warming import SHARERS, Warming
from balsamreach.wire.membership import Member
from tests.relay_samples import entry
from tests.support import FakeClock

_ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
_RATE = 14
#: Most requests a second that a cold target bears, by the users' pages.
_MOST = _RATE * 1.5 + 5
_COLD = Service(name='engines', cold_rate=_RATE, cold_time=3)
_TICK = 0.02


def _member(number, **fields):
    return Member(
        incarnation=f'router-{number}-{fields.get("started", 0)}',
        host=f'host-{number}',
        address=f'10.0.0.{number}:7000',
        zone=_ZONES[number % len(_ZONES)],
        **fields,
    )


@attrs.define(eq=False)
class Router:
    """One router's view of cold targets."""

    member: Member
    clock: FakeClock
    known: list
    places: list
    warming: Warming = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Begin to know the fleet."""
        self.warming = Warming(
            lambda: self.member.address,
            lambda: self.known,
            Evacuations(self.clock),
            self.clock,
        )

    def usable(self):
        """Return the targets that it may send to."""
        return [
            place for place in self.places if self.warming.allows(place, _COLD)
        ]


class Fleet:
    """Routers before cold targets, and what each target got."""

    def __init__(self, routers, targets, seed=1):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.members = [_member(number) for number in range(routers)]
        self.targets = targets
        self.routers = [self.start(member) for member in self.members]
        self.arrived = [deque() for _ in range(targets)]
        self.most = 0
        self.total = 0
        self.clock.advance(10)

    def start(self, member, known=None):
        places = [
            Place(
                entry(
                    f'target-{number}',
                    'engines',
                    zone=_ZONES[number % len(_ZONES)],
                    cold_for=1000,
                ),
            )
            for number in range(self.targets)
        ]
        return Router(member, self.clock, known or self.members, places)

    def play(self, seconds, per_second):
        """Let requests come to random routers, each to a usable target."""
        for _ in range(round(seconds / _TICK)):
            self.clock.advance(_TICK)
            for _ in range(round(per_second * _TICK)):
                self.request(self.rng.choice(self.routers))

    def request(self, router):
        usable = router.usable()
        if not usable:
            return
        place = self.rng.choice(usable)
        router.warming.sent(place)
        self.note(router.places.index(place))

    def note(self, number):
        now = self.clock.now()
        arrived = self.arrived[number]
        arrived.append(now)
        while arrived[0] <= now - 1:
            arrived.popleft()
        self.most = max(self.most, len(arrived))
        self.total += 1


class WarmingTest(unittest.TestCase):
    """All routers together stay under what a cold target bears."""

    @parameterized.expand(
        [
            (routers, targets, seed)
            for routers, targets in (
                (1, 1),
                (6, 2),
                (63, 4),
                (63, 11),
                (195, 3),
            )
            for seed in range(3)
        ],
    )
    def test_a_clump_before_cold_targets(self, routers, targets, seed):
        """Symptom: targets crash as they come up.

        Sequence: some come up empty; before any router hears what the others
        send there, hundreds of requests come.
        Cause: each router took them for idle.
        """
        fleet = Fleet(routers, targets, seed)
        fleet.play(4, per_second=1000)
        self.assertLessEqual(fleet.most, _MOST)

    def test_they_are_used_meanwhile(self):
        """Symptom: a zone that returns stands idle while others are full."""
        fleet = Fleet(63, 44)
        fleet.play(4, per_second=1000)
        # Half of what they bear, over all of them.
        self.assertGreater(fleet.total / 4, 44 * _RATE / 2)

    @parameterized.expand(
        [(sides, seed) for sides in (2, 4) for seed in range(4)]
    )
    def test_routers_that_are_cut_apart(self, sides, seed):
        """Symptom: a target crashes during a cut.

        Sequence: routers are cut from each other, call each other dead, and
        all reach the target.
        Cause: each side shared the bearable rate among itself alone.
        """
        fleet = Fleet(63, 4, seed)
        for number, router in enumerate(fleet.routers):
            router.known = [
                attrs.evolve(member, dead=place % sides != number % sides)
                for place, member in enumerate(fleet.members)
            ]
        fleet.play(4, per_second=1000)
        self.assertLessEqual(fleet.most, _MOST)

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_two_views_of_the_fleet(self, seed):
        """Half of the routers have never heard of the other half."""
        fleet = Fleet(64, 4, seed)
        halves = (fleet.members[:32], fleet.members[32:])
        for number, router in enumerate(fleet.routers):
            router.known = halves[number // 32]
        fleet.play(4, per_second=1000)
        self.assertLessEqual(fleet.most, _MOST)

    def test_all_start_at_once_and_know_nobody(self):
        """Symptom: a zone crashes again as it comes back from a loss of power.

        Sequence: its routers and targets come up together; requests come
        before the routers know each other.
        Cause: each took itself for the only one.
        """
        fleet = Fleet(63, 4)
        fleet.routers = [
            fleet.start(attrs.evolve(member, started=5), known=[member])
            for member in fleet.members
        ]
        fleet.play(1, per_second=1000)
        for router in fleet.routers:
            router.known = fleet.members
        fleet.play(5, per_second=1000)
        self.assertLessEqual(fleet.most, _MOST)
        self.assertGreater(fleet.total, 0)

    def test_routers_that_were_replaced_on_their_addresses(self):
        """Symptom: cold targets stand idle after all routers started again."""
        fleet = Fleet(63, 4)
        dead = [attrs.evolve(one, dead=True) for one in fleet.members]
        again = [_member(number, started=5) for number in range(63)]
        fleet.members = [*dead, *again]
        fleet.routers = [fleet.start(member) for member in again]
        fleet.clock.advance(4)
        fleet.play(4, per_second=1000)
        self.assertGreater(fleet.total / 4, 4 * _RATE / 2)

    def test_a_target_of_a_zone_without_routers(self):
        fleet = Fleet(6, 4)
        fleet.members = [one for one in fleet.members if one.zone != 'zone-a']
        fleet.routers = [fleet.start(member) for member in fleet.members]
        fleet.clock.advance(4)
        cold = [router.places[0] for router in fleet.routers]
        may = [
            router.warming.allows(place, _COLD)
            for router, place in zip(fleet.routers, cold, strict=True)
        ]
        self.assertEqual(sum(may), min(SHARERS, len(fleet.members)))


class ColdTest(unittest.TestCase):
    """What counts as cold, and for how long."""

    def setUp(self):
        self.clock = FakeClock()
        self.evacuations = Evacuations(self.clock)
        self.warming = Warming(str, tuple, self.evacuations, self.clock)
        self.clock.advance(10)

    def allows(self, place, service=_COLD):
        return self.warming.allows(place, service)

    def test_warm(self):
        self.assertTrue(self.allows(Place(entry('one', 'engines'))))

    def test_a_service_that_bears_all(self):
        place = Place(entry('one', 'engines', cold_for=3))
        self.assertTrue(self.allows(place, Service(name='desk')))
        self.assertTrue(self.allows(place, None))

    def test_until_its_time_is_over(self):
        place = Place(entry('one', 'engines', cold_for=3))
        self.assertFalse(self.allows(place))
        self.clock.advance(2.9)
        self.assertFalse(self.allows(place))
        self.clock.advance(0.2)
        self.assertTrue(self.allows(place))

    def test_cold_again_by_a_later_entry(self):
        place = Place(entry('one', 'engines', version=5))
        self.assertTrue(self.allows(place))
        place.entry = attrs.evolve(place.entry, version=6, cold_for=3)
        self.assertFalse(self.allows(place))

    def test_the_same_entry_makes_it_cold_once(self):
        """Symptom: a target gets next to nothing for good.

        Sequence: its last entry says that it is cold, and none follows.
        Cause: the time was counted anew at each look.
        """
        place = Place(entry('one', 'engines', cold_for=3))
        for _ in range(4):
            self.allows(place)
            self.clock.advance(1)
        self.assertTrue(self.allows(place))

    def test_a_zone_that_is_restored(self):
        """Symptom: all targets of a zone crash as its evacuation is lifted.

        Sequence: they turned cold meanwhile; their entries say so a second
        after the zone is back.
        Cause: they were taken for warm until then.
        """
        place = Place(entry('one', 'engines'))
        self.put(5, in_force=True)
        self.put(6, in_force=False)
        self.assertFalse(self.allows(place))
        self.clock.advance(3.1)
        self.assertTrue(self.allows(place))

    def put(self, version, *, in_force):
        order = Evacuation(zone='zone-a', version=version, in_force=in_force)
        self.evacuations.put(order, 'test')
