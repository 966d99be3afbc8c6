"""Tests of the checks whether a service's targets can be reached."""

import asyncio
import random
import unittest
from functools import partial

import attrs
from parameterized import parameterized

from balsamreach.dispatch.upstream import ConnectFailure
from balsamreach.gateway.target_connector import TcpConnector
from balsamreach.placement.access_checks import AccessChecker, TargetConnector
from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.placement.target_failures import FailureTracker
from balsamreach.telemetry.metrics import Metrics
from tests.relay_samples import DESK, ENGINES, entry
from tests.support import FakeClock

_ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')


@attrs.define(eq=False)
class _Connector(TargetConnector):
    """Reaches the listed addresses."""

    reachable: set[str] = attrs.field(factory=set)
    tried: list[str] = attrs.field(factory=list)
    fault: type[Exception] | None = None

    async def connect(self, address, max_seconds):
        """Record the address, and return whether it is reachable."""
        self.tried.append(address)
        if self.fault is not None:
            raise self.fault
        return address in self.reachable


class AccessTest(unittest.IsolatedAsyncioTestCase):
    """Failures are told from lost links of this host."""

    def setUp(self):
        self.clock = FakeClock()
        rng = random.Random(1)
        self.places = RelayTargets(rng)
        self.failures = FailureTracker(
            'me', self.places, self.clock, rng, Metrics()
        )
        self.failures.is_shared = lambda: True
        self.reports = []
        self.failures.on_report = self.reports.append
        self.connector = _Connector()
        self.checker = AccessChecker(
            self.failures,
            'zone-d',
            self.connector,
            self.clock,
            rng,
            lambda: 0.2,
        )
        self.checker.enable()
        self.addAsyncCleanup(self.checker.stop)
        for service in (ENGINES, DESK):
            for number in range(8):
                name = f'{service}-{number}'
                zone = _ZONES[number % 4]
                self.places.put(entry(name, service, zone=zone))

    def fail(self, name, failure=ConnectFailure.REFUSED):
        """Record that a target can't be connected to."""
        place = self.places.find(name)
        self.failures.record_not_connected(place, failure)
        place.breaker.record_failure(self.clock.now(), self.places.rng)

    def reach(self, *names):
        """Let connections to targets succeed."""
        for name in names:
            place = self.places.find(name)
            self.connector.reachable.add(place.entry.address)

    def is_unreachable(self, service=DESK):
        return self.failures.access.is_unreachable(service)

    async def settle(self):
        """Let the checks go on as far as they can."""
        for _ in range(30):
            await asyncio.sleep(0)

    @parameterized.expand(
        (
            ('refused', ConnectFailure.REFUSED),
            ('timed_out', ConnectFailure.TIMED_OUT),
        )
    )
    async def test_lost_links(self, _, failure):
        """Guards against blaming targets for lost links of this host.

        Others would stop sending requests to targets that they reach.
        """
        self.fail('desk-0', failure)
        await self.settle()
        self.assertTrue(self.is_unreachable())
        self.assertEqual(self.reports, [])

    async def test_crashed_target(self):
        """Guards against taking the crash of one target for lost links."""
        self.reach(*(f'desk-{number}' for number in range(1, 8)))
        self.fail('desk-0')
        self.assertEqual(self.reports, [])
        await self.settle()
        self.assertFalse(self.is_unreachable())
        self.assertEqual([one.target for one in self.reports], ['desk-0'])

    async def test_break_after_a_check(self):
        """Guards against requests that count as crashes by lost links.

        The links are lost just after a check, and break two connections.
        """
        self.reach(*(f'desk-{number}' for number in range(8)))
        self.fail('desk-0')
        await self.settle()
        self.connector.reachable.clear()
        suspected = []
        access = self.failures.access
        for name in ('desk-1', 'desk-2'):
            place = self.places.find(name)
            access.record_break(place, partial(suspected.append, name))
        await self.settle()
        self.clock.advance(0.6)
        await self.settle()
        self.assertTrue(self.is_unreachable())
        self.assertEqual(suspected, [])

    async def test_crash_of_a_target_at_work(self):
        """Guards against losing what tells of a request that crashes."""
        self.reach(*(f'desk-{number}' for number in range(1, 8)))
        suspected = []
        place = self.places.find('desk-0')
        for _ in range(2):
            self.failures.access.record_break(
                place, partial(suspected.append, 'desk-0')
            )
            await self.settle()
        self.clock.advance(0.6)
        await self.settle()
        self.assertEqual(suspected, ['desk-0', 'desk-0'])

    async def test_check_covers_zones(self):
        """Guards against taking a cut between zones for the loss of all.

        The targets of the own zone are still reached.
        """
        self.reach('desk-3', 'desk-7')
        self.fail('desk-0')
        await self.settle()
        self.assertFalse(self.is_unreachable())

    async def test_other_services_are_checked(self):
        """Guards against finding out anew for each service."""
        self.failures.access.record_heard(ENGINES)
        self.fail('desk-0')
        await self.settle()
        self.assertTrue(self.is_unreachable(ENGINES))

    async def test_saturated_link(self):
        """Guards against taking this host's full link for a lost one."""
        self.failures.link_delayed = lambda: True
        self.fail('desk-0', ConnectFailure.TIMED_OUT)
        await self.settle()
        self.assertFalse(self.is_unreachable())

    async def test_crashed_target_of_own_zone(self):
        """Guards against lost links that never end for this router.

        The only target of its own zone has crashed meanwhile.
        """
        own = entry('own', 'other', zone='zone-d')
        self.places.put(own)
        self.places.put(entry('far', 'other', zone='zone-a'))
        self.fail('own')
        await self.settle()
        self.assertTrue(self.is_unreachable('other'))
        self.reach('far')
        for _ in range(20):
            self.clock.advance(0.2)
            await self.settle()
        self.assertFalse(self.is_unreachable('other'))

    async def test_restored_links(self):
        """Guards against breakers that outlive the lost links."""
        self.fail('desk-0')
        self.fail('desk-1')
        await self.settle()
        self.reach(*(f'desk-{number}' for number in range(8)))
        self.clock.advance(1)
        await self.settle()
        self.assertFalse(self.is_unreachable())
        for name in ('desk-0', 'desk-1'):
            self.assertFalse(self.places.find(name).breaker.is_open)

    @parameterized.expand((('heard', 0.3, False), ('silent', 0.5, True)))
    async def test_silence(self, _, seconds, is_doubted):
        """Guards against open connections that hang until their deadline."""
        place = self.places.find('desk-0')
        self.failures.begin(place, is_plain=True)
        self.clock.advance(seconds)
        self.failures.check_silent()
        await self.settle()
        self.assertEqual(self.is_unreachable(), is_doubted)

    async def test_check_that_fails(self):
        """Guards against a service that is never checked again."""
        self.connector.fault = ValueError
        self.fail('desk-0')
        with self.assertRaises(ValueError):
            await asyncio.gather(*self.checker.tasks)
        self.connector.fault = None
        self.fail('desk-1')
        await self.settle()
        self.assertTrue(self.is_unreachable())

    async def test_search_for_the_end_that_fails(self):
        """Guards against a service that stays unreachable for good."""
        self.fail('desk-0')
        await self.settle()
        self.assertTrue(self.is_unreachable())
        self.connector.fault = ValueError
        self.clock.advance(1)
        with self.assertRaises(ValueError):
            await asyncio.gather(*self.checker.tasks)
        self.assertFalse(self.is_unreachable())

    async def test_address_without_a_valid_port(self):
        """Guards against an entry of the list that ends the check."""
        reached = await TcpConnector().connect('127.0.0.1:70000', 0.2)
        self.assertFalse(reached)

    async def test_pause_of_a_sound_target(self):
        """Guards against taking the pause of a sound target for lost links."""
        self.reach(*(f'desk-{number}' for number in range(8)))
        place = self.places.find('desk-0')
        self.failures.begin(place, is_plain=True)
        for _ in range(15):
            self.clock.advance(0.1)
            self.failures.check_silent()
            await self.settle()
        self.assertFalse(self.is_unreachable())
        self.assertEqual(len(self.connector.tried), 1)
