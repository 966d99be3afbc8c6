"""Tests of the request rate at cold targets, with partitioned fleets."""

import random
import unittest
from collections import deque

import attrs
from parameterized import parameterized

from balsamreach.catalogue.entries import Service
from balsamreach.placement.cold_targets import MAX_SENDERS, ColdTargetLimiter
from balsamreach.placement.evacuations import Evacuation, Evacuations
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.wire.membership import Member
from tests.relay_samples import entry
from tests.support import FakeClock

_ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
_RATE = 14
#: Maximum requests a second that a cold target can take, as the users state.
_MAX_RATE = _RATE * 1.5 + 5
_COLD = Service(name='engines', cold_rate=_RATE, cold_time=3)
_TICK_S = 0.02


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
    cold_targets: ColdTargetLimiter = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the limiter that is tested."""
        self.cold_targets = ColdTargetLimiter(
            lambda: self.member.address,
            lambda: self.known,
            Evacuations(self.clock),
            self.clock,
        )

    def usable(self):
        """Return the targets that the router may send to."""
        return [
            place
            for place in self.places
            if self.cold_targets.allows(place, _COLD)
        ]


class Fleet:
    """Routers that send to cold targets, and the rate at each target."""

    def __init__(self, routers, targets, seed=1):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.members = [_member(number) for number in range(routers)]
        self.targets = targets
        self.routers = [self.start(member) for member in self.members]
        self.arrived = [deque() for _ in range(targets)]
        self.peak = 0
        self.total = 0
        self.clock.advance(10)

    def start(self, member, known=None):
        places = [
            RelayTarget(
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

    def run(self, seconds, per_second):
        """Send requests through random routers, each to a usable target."""
        for _ in range(round(seconds / _TICK_S)):
            self.clock.advance(_TICK_S)
            for _ in range(round(per_second * _TICK_S)):
                self.request(self.rng.choice(self.routers))

    def request(self, router):
        usable = router.usable()
        if not usable:
            return
        place = self.rng.choice(usable)
        router.cold_targets.record_sent(place)
        self.record_arrival(router.places.index(place))

    def record_arrival(self, number):
        now = self.clock.now()
        arrived = self.arrived[number]
        arrived.append(now)
        while arrived[0] <= now - 1:
            arrived.popleft()
        self.peak = max(self.peak, len(arrived))
        self.total += 1


class WarmingTest(unittest.TestCase):
    """All routers together stay below the rate that a cold target can take."""

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
    def test_burst(self, routers, targets, seed):
        """A burst doesn't crash targets that have just started.

        Some targets start empty; hundreds of requests arrive before any
        router knows what the others send there. Each router would take the
        targets for idle.
        """
        fleet = Fleet(routers, targets, seed)
        fleet.run(4, per_second=1000)
        self.assertLessEqual(fleet.peak, _MAX_RATE)

    def test_cold_targets_are_used(self):
        """A zone that returns doesn't stay idle while others are full."""
        fleet = Fleet(63, 44)
        fleet.run(4, per_second=1000)
        # Half of the rate that all of them together can take.
        self.assertGreater(fleet.total / 4, 44 * _RATE / 2)

    @parameterized.expand(
        [(sides, seed) for sides in (2, 4) for seed in range(4)]
    )
    def test_partitioned_routers(self, sides, seed):
        """A target doesn't crash while its routers are partitioned.

        Routers on different sides consider each other dead, and all reach
        the target. If each side divided the rate among its own routers only,
        the sum would exceed what the target can take.
        """
        fleet = Fleet(63, 4, seed)
        for number, router in enumerate(fleet.routers):
            router.known = [
                attrs.evolve(member, dead=place % sides != number % sides)
                for place, member in enumerate(fleet.members)
            ]
        fleet.run(4, per_second=1000)
        self.assertLessEqual(fleet.peak, _MAX_RATE)

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_two_views_of_the_fleet(self, seed):
        """Each half of the routers doesn't know the other half."""
        fleet = Fleet(64, 4, seed)
        halves = (fleet.members[:32], fleet.members[32:])
        for number, router in enumerate(fleet.routers):
            router.known = halves[number // 32]
        fleet.run(4, per_second=1000)
        self.assertLessEqual(fleet.peak, _MAX_RATE)

    def test_all_routers_start_at_once(self):
        """A zone doesn't crash again as it returns from a loss of power.

        Its routers and targets start together, and requests arrive before the
        routers know each other. Each router would take itself for the only
        one.
        """
        fleet = Fleet(63, 4)
        fleet.routers = [
            fleet.start(attrs.evolve(member, started=5), known=[member])
            for member in fleet.members
        ]
        fleet.run(1, per_second=1000)
        for router in fleet.routers:
            router.known = fleet.members
        fleet.run(5, per_second=1000)
        self.assertLessEqual(fleet.peak, _MAX_RATE)
        self.assertGreater(fleet.total, 0)

    def test_restarted_routers(self):
        """Cold targets don't stay idle after all routers have restarted."""
        fleet = Fleet(63, 4)
        dead = [attrs.evolve(one, dead=True) for one in fleet.members]
        restarted = [_member(number, started=5) for number in range(63)]
        fleet.members = [*dead, *restarted]
        fleet.routers = [fleet.start(member) for member in restarted]
        fleet.clock.advance(4)
        fleet.run(4, per_second=1000)
        self.assertGreater(fleet.total / 4, 4 * _RATE / 2)

    def test_zone_without_routers(self):
        fleet = Fleet(6, 4)
        fleet.members = [one for one in fleet.members if one.zone != 'zone-a']
        fleet.routers = [fleet.start(member) for member in fleet.members]
        fleet.clock.advance(4)
        cold = [router.places[0] for router in fleet.routers]
        allowed = [
            router.cold_targets.allows(place, _COLD)
            for router, place in zip(fleet.routers, cold, strict=True)
        ]
        self.assertEqual(sum(allowed), min(MAX_SENDERS, len(fleet.members)))


class ColdTest(unittest.TestCase):
    """Which targets count as cold, and for how long."""

    def setUp(self):
        self.clock = FakeClock()
        self.evacuations = Evacuations(self.clock)
        self.cold_targets = ColdTargetLimiter(
            str, tuple, self.evacuations, self.clock
        )
        self.clock.advance(10)

    def allows(self, place, service=_COLD):
        return self.cold_targets.allows(place, service)

    def test_warm(self):
        self.assertTrue(self.allows(RelayTarget(entry('one', 'engines'))))

    def test_service_without_cold_rate(self):
        place = RelayTarget(entry('one', 'engines', cold_for=3))
        self.assertTrue(self.allows(place, Service(name='desk')))
        self.assertTrue(self.allows(place, None))

    def test_cold_for_its_time(self):
        place = RelayTarget(entry('one', 'engines', cold_for=3))
        self.assertFalse(self.allows(place))
        self.clock.advance(2.9)
        self.assertFalse(self.allows(place))
        self.clock.advance(0.2)
        self.assertTrue(self.allows(place))

    def test_cold_again_by_later_entry(self):
        place = RelayTarget(entry('one', 'engines', version=5))
        self.assertTrue(self.allows(place))
        place.entry = attrs.evolve(place.entry, version=6, cold_for=3)
        self.assertFalse(self.allows(place))

    def test_same_entry_makes_cold_once(self):
        """A target whose last entry says that it is cold warms up.

        No further entry follows. If its cold time began again at each check,
        the target would get hardly any requests for good.
        """
        place = RelayTarget(entry('one', 'engines', cold_for=3))
        for _ in range(4):
            self.allows(place)
            self.clock.advance(1)
        self.assertTrue(self.allows(place))

    def test_restored_zone(self):
        """Targets of a restored zone count as cold at once.

        They turned cold during the evacuation, but their entries say so only
        a second after the zone is back. Taken for warm until then, all of
        them would crash.
        """
        place = RelayTarget(entry('one', 'engines'))
        self.put(5, in_force=True)
        self.put(6, in_force=False)
        self.assertFalse(self.allows(place))
        self.clock.advance(3.1)
        self.assertTrue(self.allows(place))

    def put(self, version, *, in_force):
        order = Evacuation(zone='zone-a', version=version, in_force=in_force)
        self.evacuations.put(order, 'test')
