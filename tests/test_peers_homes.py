"""Tests of rendezvous hashing and of FakeNet, which uses it."""

import asyncio
import unittest

from balsamreach.peers.faults import NO_ANSWER, NOT_CONNECTED
from balsamreach.wire.marks import InFlightAsk
from balsamreach.wire.membership import Heartbeat
from balsamreach.wire.replies import Done
from tests.fake_net import FakeNet

_KEYS = tuple(f'key-{number}' for number in range(1000))


class HomeTest(unittest.TestCase):
    """Routers agree on homes, and few keys move when members change."""

    def test_members_agree_and_load_is_balanced(self):
        net = FakeNet()
        nets = [net.join(f'r{number}') for number in range(8)]
        net.join('away', zone='zone-b')
        homes = [nets[0].home(key).incarnation for key in _KEYS]
        for other in nets[1:]:
            self.assertEqual(
                [other.home(key).incarnation for key in _KEYS],
                homes,
            )
        self.assertNotIn('away', homes)
        for peer in nets:
            self.assertGreater(homes.count(peer.me.incarnation), 60)

    def test_only_the_keys_of_a_lost_member_move(self):
        net = FakeNet()
        first = net.join('r0')
        for number in range(1, 8):
            net.join(f'r{number}')
        before = {key: first.home(key).incarnation for key in _KEYS}
        net.kill('r3')
        moved = [
            key
            for key, home in before.items()
            if first.home(key).incarnation != home
        ]
        self.assertTrue(all(before[key] == 'r3' for key in moved))


class FakeNetTest(unittest.IsolatedAsyncioTestCase):
    """FakeNet applies each configured fault once."""

    def setUp(self):
        self.net = FakeNet()
        self.one = self.net.join('one')
        self.two = self.net.join('two', zone='zone-b')
        self.received = []
        self.two.on(Heartbeat, self.receive)
        self.two.on(InFlightAsk, self.receive)

    async def receive(self, member, message):
        self.received.append(message)
        return Done()

    async def test_tell_lost_duplicated_and_cut(self):
        self.net.lost[Heartbeat] = 1
        self.net.doubled[Heartbeat] = 1
        for version in range(3):
            self.one.tell('two', Heartbeat(version))
        self.net.cut(['one'], ['two'])
        self.assertFalse(self.one.tell('two', Heartbeat(9)))
        self.net.heal()
        await self.net.settle()
        versions = [message.table_version for message in self.received]
        self.assertEqual(versions, [1, 1, 2])

    async def test_lost_answer_and_cut(self):
        ask = InFlightAsk('engine-0')
        self.net.answers_lost[InFlightAsk] = 1
        self.assertEqual(await self.one.ask('two', ask), NO_ANSWER)
        self.assertEqual(await self.one.ask('two', ask), Done())
        self.assertEqual(len(self.received), 2)
        self.net.cut(['two'], ['one'])
        self.assertEqual(await self.one.ask('two', ask), NOT_CONNECTED)

    async def test_held_until_released(self):
        self.net.held.add(InFlightAsk)
        asked = asyncio.create_task(
            self.one.ask('two', InFlightAsk('engine-0')),
        )
        await asyncio.sleep(0)
        self.assertEqual(self.received, [])
        self.net.release()
        self.assertEqual(await asked, Done())
