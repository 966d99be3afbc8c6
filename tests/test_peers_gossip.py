"""Tests of spreading and repairing membership updates."""

import random
import unittest

import attrs

from balsamreach.peers.gossip import Gossip
from balsamreach.peers.membership import Membership
from balsamreach.wire.membership import Members, MembersAsk
from tests.fake_net import FakeNet
from tests.support import ManualClock

_ROUTERS = 8


class GossipTest(unittest.IsolatedAsyncioTestCase):
    """Membership lists become equal although messages are lost."""

    def setUp(self):
        self.net = FakeNet()
        self.clock = ManualClock()
        self.gossips = {}
        for number in range(_ROUTERS):
            peer = self.net.join(f'r{number}')
            membership = Membership(peer.me, self.clock)
            gossip = Gossip(membership, peer)
            gossip.start()
            self.gossips[peer.me.incarnation] = gossip

    def alive(self, name):
        members = self.gossips[name].membership.alive()
        return sorted(member.incarnation for member in members)

    def advertised(self, name):
        return set(self.gossips[name].membership.advertised())

    async def flush(self):
        for _ in range(_ROUTERS):
            for gossip in self.gossips.values():
                gossip.flush()
            await self.net.settle()

    async def sync_all(self):
        for name in self.gossips:
            await self.gossips[name].sync_with('r0')
            await self.net.settle()
        await self.flush()

    async def test_equal_lists_send_no_updates(self):
        await self.sync_all()
        for name in self.gossips:
            self.assertEqual(self.alive(name), sorted(self.gossips))
        self.net.sent.clear()
        await self.flush()
        await self.gossips['r5'].sync_with('r3')
        await self.net.settle()
        self.assertEqual([type(sent) for sent in self.net.sent], [MembersAsk])

    async def test_updates_spread_and_comparing_repairs_lost_ones(self):
        """Guards against a router that keeps sending to a dead one.

        The update about the death does not reach it. Updates are sent once, so
        only comparing lists finds the loss.
        """
        await self.sync_all()
        self.net.kill('r7')
        gossip = self.gossips['r1']
        gossip.membership.mark_dead('r7')
        gossip.queue_update(gossip.membership.find('r7'))
        self.net.cut(['r4'], [name for name in self.gossips if name != 'r4'])
        await self.flush()
        self.assertNotIn('r7', self.alive('r3'))
        self.assertIn('r7', self.alive('r4'))
        self.net.heal()
        await self.gossips['r4'].sync_with('r2')
        self.assertNotIn('r7', self.alive('r4'))

    async def test_comparing_updates_both_sides(self):
        gossips = (self.gossips['r0'], self.gossips['r1'])
        extra = attrs.evolve(gossips[0].membership.me, incarnation='x')
        gossips[0].membership.merge(attrs.evolve(extra, address='1.1.1.1:1'))
        gossips[1].membership.merge(
            attrs.evolve(extra, incarnation='y', address='1.1.1.1:2'),
        )
        self.assertTrue(await gossips[0].sync_with('r1'))
        await self.net.settle()
        self.assertEqual(self.advertised('r0'), self.advertised('r1'))
        self.assertEqual(self.alive('r0'), ['r0', 'r1', 'x', 'y'])

    async def test_routers_are_alive_again_after_a_partition(self):
        """Guards against halves that ignore each other after a partition.

        Each half marks the other dead, and the marks would stay if the live
        routers didn't refute them.
        """
        await self.sync_all()
        names = sorted(self.gossips)
        self.mark_dead(names[:4], names[4:])
        self.mark_dead(names[4:], names[:4])
        await self.gossips['r0'].sync_with('r4')
        await self.net.settle(newest_first=True)
        await self.flush()
        for _ in range(3):
            await self.compare_at_random(random.Random(1))
        for name in names:
            self.assertEqual(self.alive(name), names)

    def mark_dead(self, half, others):
        for name in half:
            for other in others:
                self.gossips[name].membership.mark_dead(other)

    async def compare_at_random(self, rng):
        for name, gossip in self.gossips.items():
            others = sorted(set(self.gossips) - {name})
            await gossip.sync_with(rng.choice(others))
            await self.net.settle()
        await self.flush()

    async def test_lost_request_is_reported(self):
        self.net.lost[MembersAsk] = 1
        self.assertFalse(await self.gossips['r0'].sync_with('r1'))

    async def test_update_is_not_sent_to_its_source(self):
        await self.sync_all()
        self.net.sent.clear()
        member = attrs.evolve(self.net.nets['r0'].me, revision=3)
        self.gossips['r1'].merge_reports((member,), 'r0')
        self.gossips['r1'].flush()
        self.assertEqual(set(self.net.sent), {Members((member,))})
        self.assertEqual(len(self.net.sent), _ROUTERS - 2)
