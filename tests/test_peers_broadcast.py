"""Tests of broadcasts through hubs and over neighbours."""

import unittest

from parameterized import parameterized

from balsamreach.wire.suspicions import Suspicion
from tests.fake_net import FakeNet

_NEWS = Suspicion('print', 'team', 'target@1')
_ZONES = 4


class RebroadcastingRouter:
    """Broadcasts a message again when it is received first."""

    def __init__(self, net):
        self.net = net
        self.times_received = 0
        net.on(Suspicion, self.handle)

    async def handle(self, member, message):
        self.times_received += 1
        if self.times_received == 1:
            self.net.broadcast(message, member)


class BroadcastTest(unittest.IsolatedAsyncioTestCase):
    """Every router receives a broadcast, few of them more than twice."""

    def start(self, count, hubs_per_zone=2):
        self.fabric = FakeNet(hubs_per_zone=hubs_per_zone)
        self.routers = {}
        for number in range(count):
            net = self.fabric.join(f'r{number}', f'zone-{number % _ZONES}')
            self.routers[f'r{number}'] = RebroadcastingRouter(net)
        nets = self.fabric.nets
        self.hubs = [
            hub.incarnation
            for zone in range(_ZONES)
            for hub in nets['r0'].hubs.hubs_of(f'zone-{zone}')
        ]

    async def broadcast_from(self, name):
        self.routers[name].times_received = 1
        self.routers[name].net.broadcast(_NEWS)
        await self.fabric.settle()

    def not_reached(self):
        return [
            name for name, one in self.routers.items() if not one.times_received
        ]

    def non_hub(self):
        return next(name for name in self.routers if name not in self.hubs)

    @parameterized.expand([(8, 0), (63, 2), (195, 2)])
    async def test_reaches_all_routers(self, count, hubs_per_zone):
        self.start(count, hubs_per_zone)
        await self.broadcast_from('r0')
        self.assertEqual(self.not_reached(), [])

    async def test_number_of_messages(self):
        """Guards against traffic that grows with the size of the fleet.

        Connections to targets break ten times a second; each router would
        receive each report from all of its neighbours.
        """
        self.start(195)
        await self.broadcast_from(self.non_hub())
        # Two messages per router, plus those between hubs.
        self.assertLess(len(self.fabric.sent), 2 * 195 + 8 * 8)

    async def test_from_a_hub(self):
        self.start(63)
        await self.broadcast_from(self.hubs[0])
        self.assertEqual(self.not_reached(), [])

    @parameterized.expand([(place,) for place in range(2 * _ZONES)])
    async def test_silent_hub(self, place):
        """Guards against a zone that misses a broadcast as one hub hangs.

        If that hub were the only way into or out of the zone, a request that
        crashes targets would still run there.
        """
        self.start(63)
        silent = self.hubs[place]
        others = [name for name in self.routers if name != silent]
        self.fabric.cut([silent], others)
        await self.broadcast_from(self.non_hub())
        self.assertEqual(self.not_reached(), [silent])
