"""Tests of how news of routers spreads and is mended."""

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
    """Lists become equal over a net that loses messages."""

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

    def told(self, name):
        return set(self.gossips[name].membership.told())

    async def flush(self):
        for _ in range(_ROUTERS):
            for gossip in self.gossips.values():
                gossip.flush()
            await self.net.settle()

    async def meet_all(self):
        for name in self.gossips:
            await self.gossips[name].compare('r0')
            await self.net.settle()
        await self.flush()

    async def test_lists_become_equal_and_quiet(self):
        await self.meet_all()
        for name in self.gossips:
            self.assertEqual(self.alive(name), sorted(self.gossips))
        self.net.sent.clear()
        await self.flush()
        await self.gossips['r5'].compare('r3')
        await self.net.settle()
        self.assertEqual([type(sent) for sent in self.net.sent], [MembersAsk])

    async def test_news_spreads_and_comparing_mends_lost_news(self):
        """Symptom: one router keeps sending to a dead one.

        Sequence: the news of a death to it is lost. Cause: news is sent
        once; only comparing lists finds what got lost.
        """
        await self.meet_all()
        self.net.kill('r7')
        gossip = self.gossips['r1']
        gossip.membership.bury('r7')
        gossip.tell(gossip.membership.find('r7'))
        self.net.cut(['r4'], [name for name in self.gossips if name != 'r4'])
        await self.flush()
        self.assertNotIn('r7', self.alive('r3'))
        self.assertIn('r7', self.alive('r4'))
        self.net.heal()
        await self.gossips['r4'].compare('r2')
        self.assertNotIn('r7', self.alive('r4'))

    async def test_comparing_mends_both_sides(self):
        gossips = (self.gossips['r0'], self.gossips['r1'])
        extra = attrs.evolve(gossips[0].membership.me, incarnation='x')
        gossips[0].membership.merge(attrs.evolve(extra, address='1.1.1.1:1'))
        gossips[1].membership.merge(
            attrs.evolve(extra, incarnation='y', address='1.1.1.1:2'),
        )
        self.assertTrue(await gossips[0].compare('r1'))
        await self.net.settle()
        self.assertEqual(self.told('r0'), self.told('r1'))
        self.assertEqual(self.alive('r0'), ['r0', 'r1', 'x', 'y'])

    async def test_heal_after_a_partition_revives_the_living(self):
        """Symptom: after a partition each side ignores the other.

        Sequence: two halves are cut apart, each marks the other dead, the
        cut heals. Cause: marks of death that nobody takes back.
        """
        await self.meet_all()
        names = sorted(self.gossips)
        self.bury_others(names[:4], names[4:])
        self.bury_others(names[4:], names[:4])
        await self.gossips['r0'].compare('r4')
        await self.net.settle(newest_first=True)
        await self.flush()
        for _ in range(3):
            await self.compare_at_random(random.Random(1))
        for name in names:
            self.assertEqual(self.alive(name), names)

    def bury_others(self, half, others):
        for name in half:
            for other in others:
                self.gossips[name].membership.bury(other)

    async def compare_at_random(self, rng):
        for name, gossip in self.gossips.items():
            others = sorted(set(self.gossips) - {name})
            await gossip.compare(rng.choice(others))
            await self.net.settle()
        await self.flush()

    async def test_lost_ask_is_told(self):
        self.net.lost[MembersAsk] = 1
        self.assertFalse(await self.gossips['r0'].compare('r1'))

    async def test_news_does_not_return_to_its_source(self):
        await self.meet_all()
        self.net.sent.clear()
        member = attrs.evolve(self.net.nets['r0'].me, revision=3)
        self.gossips['r1'].learn((member,), 'r0')
        self.gossips['r1'].flush()
        self.assertEqual(set(self.net.sent), {Members((member,))})
        self.assertEqual(len(self.net.sent), _ROUTERS - 2)
