"""Tests of news that is to reach all routers, by hubs or by neighbours."""

import unittest

from parameterized import parameterized

from balsamreach.wire.suspicions import Suspicion
from tests.fake_net import FakeNet

_NEWS = Suspicion('print', 'team', 'target@1')
_ZONES = 4


class Router:
    """Passes on what is news to it, once."""

    def __init__(self, net):
        self.net = net
        self.heard = 0
        net.on(Suspicion, self.take)

    async def take(self, member, message):
        self.heard += 1
        if self.heard == 1:
            self.net.broadcast(message, member)


class BroadcastTest(unittest.IsolatedAsyncioTestCase):
    """Each router hears it, few of them more than twice."""

    def start(self, count, hubs_per_zone=2):
        self.fabric = FakeNet(hubs_per_zone=hubs_per_zone)
        self.routers = {}
        for number in range(count):
            net = self.fabric.join(f'r{number}', f'zone-{number % _ZONES}')
            self.routers[f'r{number}'] = Router(net)
        nets = self.fabric.nets
        self.hubs = [
            hub.incarnation
            for zone in range(_ZONES)
            for hub in nets['r0'].hubs.of(f'zone-{zone}')
        ]

    async def tell(self, name):
        self.routers[name].heard = 1
        self.routers[name].net.broadcast(_NEWS)
        await self.fabric.settle()

    def deaf(self):
        return [name for name, one in self.routers.items() if not one.heard]

    def other(self):
        return next(name for name in self.routers if name not in self.hubs)

    @parameterized.expand([(8, 0), (63, 2), (195, 2)])
    async def test_it_reaches_all(self, count, hubs_per_zone):
        self.start(count, hubs_per_zone)
        await self.tell('r0')
        self.assertEqual(self.deaf(), [])

    async def test_what_it_costs(self):
        """Symptom: what routers read of each other grows with the fleet.

        Sequence: connections to targets break, ten times a second.
        Cause: each router heard of each break from all of its neighbours.
        """
        self.start(195)
        await self.tell(self.other())
        # Twice each router, and what hubs tell each other.
        self.assertLess(len(self.fabric.sent), 2 * 195 + 8 * 8)

    async def test_from_a_hub(self):
        self.start(63)
        await self.tell(self.hubs[0])
        self.assertEqual(self.deaf(), [])

    @parameterized.expand([(place,) for place in range(2 * _ZONES)])
    async def test_a_hub_that_is_silent(self, place):
        """Symptom: a request that crashes targets goes on at one zone.

        Sequence: a hub stands still as the news of it is told.
        Cause: it was the only way into its zone, or out of it.
        """
        self.start(63)
        silent = self.hubs[place]
        others = [name for name in self.routers if name != silent]
        self.fabric.cut([silent], others)
        await self.tell(self.other())
        self.assertEqual(self.deaf(), [silent])
