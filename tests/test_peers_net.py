"""Tests of the net over real connections, and of what goes wrong there."""

import asyncio
import unittest

import attrs
from parameterized import parameterized

from balsamreach.peers import counters
from balsamreach.peers.base import FETCH_GAPS
from balsamreach.peers.faults import NOT_CONNECTED, PEER_REFUSED
from balsamreach.peers.upkeep import IDLE_AFTER
from balsamreach.services.base import HostEntry
from balsamreach.wire.marks import InFlight, InFlightAsk
from balsamreach.wire.membership import Heartbeat
from balsamreach.wire.runs import RunAsk
from tests.peers_rig import Rig, crash, linked, names
from tests.tcp_fakes import SwallowingProxy

_SILENT = 'peer_link_silent'


class NetTest(unittest.IsolatedAsyncioTestCase):
    """A few routers over real sockets, their clock moved by hand."""

    async def asyncSetUp(self):
        self.rig = Rig()
        self.taken = []
        self.addAsyncCleanup(self.rig.stop)

    async def answer_seven(self, _member, message):
        return InFlight(message.target, 7)

    async def answer_late(self, member, message):
        await self.rig.clock.sleep(1.25 * IDLE_AFTER)
        return await self.answer_seven(member, message)

    async def take(self, member, message):
        self.taken.append((member.incarnation, message.table_version))

    async def ask_seven(self, net, incarnation):
        answer = await net.ask(incarnation, InFlightAsk('engine-0'))
        self.assertEqual(answer, InFlight('engine-0', 7))

    async def until_names(self, net, *wanted):
        await self.rig.until(lambda: names(net) == set(wanted))

    async def until_linked(self, net, *wanted):
        await self.rig.until(lambda: linked(net) == set(wanted))

    async def start(self, *wanted, overrides=()):
        """Start routers that know the first one as their seed."""
        nets = []
        for name in wanted:
            seeds = [f'peers.seeds={net.me.address}' for net in nets[:1]]
            nets.append(await self.rig.start(name, *seeds, *overrides))
        await self.rig.until(
            lambda: all(names(net) == set(wanted) for net in nets),
        )
        return nets

    async def start_behind_proxy(self, name, *seeds):
        """Start a router whose address leads through a faulty network."""
        overrides = [f'peers.seeds={seed}' for seed in seeds]
        net = await self.rig.start(name, *overrides)
        host, _, port = net.me.address.rpartition(':')
        proxy = SwallowingProxy(host, int(port))
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        net.me = net.keeper.membership.change_me(address=proxy.address)
        return net, proxy

    async def start_pair(self):
        one, near = await self.start_behind_proxy('one')
        two, far = await self.start_behind_proxy('two', near.address)
        await self.until_names(one, 'one', 'two')
        return one, near, two, far


class JoinTest(NetTest):
    """Routers find each other and exchange messages."""

    async def test_routers_find_each_other_and_talk(self):
        one, _, three = await self.start('one', 'two', 'three')
        await self.until_linked(three, 'one', 'two')
        one.on(InFlightAsk, self.answer_seven)
        await self.ask_seven(three, 'one')
        refused = await three.ask('one', RunAsk('team', 'key', 'hash'))
        self.assertEqual(refused, PEER_REFUSED)
        self.assertIn('RunAsk', refused.reason)
        self.assertEqual(
            await three.ask('nobody', InFlightAsk('engine-0')),
            NOT_CONNECTED,
        )
        self.assertEqual(one.home('key'), three.home('key'))

    async def test_heartbeats_carry_the_table_version(self):
        one, two = await self.start('one', 'two')
        one.on(Heartbeat, self.take)
        two.greeter.table_version = lambda: 41
        await self.rig.until(lambda: ('two', 41) in self.taken)

    async def test_crossing_dials_end_with_one_link(self):
        """Symptom: links between two routers flap without end.

        Sequence: both dial each other at the same moment, and each closes
        what it holds for surplus. Cause: they choose differently.
        """
        one, two = self.rig.make('one'), self.rig.make('two')
        await one.start()
        await two.start()
        one.discovery.seeds = (two.me.address,)
        two.discovery.seeds = (one.me.address,)
        await self.rig.steps(5)
        for net in (one, two):
            links = net.keeper.links.every()
            self.assertEqual([link.dialled for link in links], [net is one])
            self.assertEqual(net.metrics.counted(counters.DEATHS), 0)

    async def test_link_for_one_ask_spreads_no_news_and_is_given_up(self):
        """Symptom: control takes several times its bytes.

        Sequence: asks open links to all routers of a zone, and each piece
        of news goes over all of them, for ever. Cause: taking each link for
        a lasting one.
        """
        self.rig.pace = 1
        slow = ['peers.heartbeat=2s', 'peers.gap_timeout=8s']
        wanted = [f'r{number}' for number in range(6)]
        nets = await self.start(
            *wanted,
            overrides=['peers.max_peers=2', *slow],
        )
        one = nets[0]
        await self.rig.steps(10)
        near = linked(one) | {'r0'}
        other = next(net for net in nets if net.me.incarnation not in near)
        other.on(InFlightAsk, self.answer_seven)
        name = other.me.incarnation
        await self.ask_seven(one, name)
        await self.rig.step()
        self.assertIsNotNone(one.keeper.links.best(name))
        self.assertNotIn(name, linked(one))
        await self.rig.until(lambda: one.keeper.links.best(name) is None)
        self.assertIn(name, names(one))

    @parameterized.expand((('asker', False), ('answerer', True)))
    async def test_link_lasts_until_its_answer(self, _dialled, turned):
        """Guards against parting as unused while an answer is on its way."""
        wanted = [f'r{number}' for number in range(6)]
        nets = await self.start(*wanted, overrides=['peers.max_peers=2'])
        one = nets[0]
        await self.rig.steps(10)
        near = linked(one) | {'r0'}
        other = next(net for net in nets if net.me.incarnation not in near)
        asker, answerer = (one, other) if turned else (other, one)
        answerer.on(InFlightAsk, self.answer_late)
        asking = asyncio.create_task(
            asker.ask(
                answerer.me.incarnation,
                InFlightAsk('late'),
                FETCH_GAPS,
            ),
        )
        await self.rig.until(asking.done)
        self.assertEqual(await asking, InFlight('late', 7))

    async def test_leaving_router_is_told_and_is_no_death(self):
        one, two, three = await self.start('one', 'two', 'three')
        await two.leave()
        await self.rig.until(
            lambda: any(member.leaving for member in one.members()),
        )
        self.assertEqual(names(one), {'one', 'two', 'three'})
        await two.stop()
        for net in (one, three):
            await self.until_names(net, 'one', 'three')
            self.assertEqual(net.metrics.counted(counters.DEATHS), 0)


class FailureTest(NetTest):
    """What goes wrong between routers, and what they make of it."""

    async def test_silent_connection_is_replaced(self):
        """Symptom: messages to a router vanish although it serves.

        Sequence: something between the two loses track of the connection
        and swallows bytes both ways without closing it; new connections
        work. Cause: no end ever hears that the connection is gone.
        """
        two, proxy = await self.start_behind_proxy('two')
        two.on(InFlightAsk, self.answer_seven)
        one = await self.rig.start('one', f'peers.seeds={proxy.address}')
        await self.until_linked(one, 'two')
        first = proxy.accepted
        proxy.swallow()
        before = self.rig.clock.now()
        await self.rig.until(
            lambda: one.metrics.counted(counters.ENDED, reason=_SILENT),
        )
        passed = self.rig.clock.now() - before
        self.assertLessEqual(passed, 2 * one.cfg.peers.gap_timeout)
        await self.until_linked(one, 'two')
        self.assertGreater(proxy.accepted, first)
        await self.ask_seven(one, 'two')
        self.assertEqual(one.metrics.counted(counters.DEATHS), 0)

    async def test_killed_router_is_dead_after_one_more_try(self):
        """A process is killed; its connections break at once.

        Symptom: requests go to a router that is gone. Sequence: kill, the
        links break. Cause: nobody said good-bye.
        """
        one, two, three = await self.start('one', 'two', 'three')
        await crash(two)
        for net in (one, three):
            await self.until_names(net, 'one', 'three')
        deaths = one.metrics.counted(counters.DEATHS)
        self.assertGreaterEqual(
            deaths + three.metrics.counted(counters.DEATHS),
            1,
        )

    async def test_restart_on_the_same_address(self):
        """A router is killed and starts again on its address.

        Symptom: the new start is taken for dead, or the old for alive.
        Sequence: kill, start, late word of the old one. Cause: a mark that
        names the address.
        """
        one, two = await self.start('one', 'two')
        await crash(two)
        port = two.me.address.rpartition(':')[2]
        again = await self.rig.start(
            'two-again',
            f'peers.port={port}',
            f'peers.seeds={one.me.address}',
        )
        self.assertEqual(again.me.address, two.me.address)
        await self.until_names(one, 'one', 'two-again')
        await self.until_linked(again, 'one')
        one.keeper.gossip.learn((attrs.evolve(two.me, dead=True),), 'x')
        await self.rig.steps(3)
        self.assertEqual(names(one), {'one', 'two-again'})

    async def test_partition_and_heal(self):
        """Symptom: after a partition the fleet stays in two.

        Sequence: bytes are swallowed and new connections refused both ways
        for a minute, so each side calls the other dead; then all works
        again. Cause: nobody looks for the dead any more.
        """
        one, near, two, far = await self.start_pair()
        # Neither seeds nor the host list name the other any more.
        two.discovery.seeds = ()
        for proxy in (near, far):
            proxy.swallow()
            proxy.refusing = True
        await self.rig.until(lambda: not linked(one) | linked(two))
        await self.rig.steps(60)
        self.assertEqual(names(one), {'one'})
        for healed in (near, far):
            healed.refusing = False
        await self.rig.until(lambda: names(one) == names(two))
        self.assertEqual(names(one), {'one', 'two'})
        await self.until_linked(one, 'two')

    async def test_router_cut_off_as_a_link_is_parted_from(self):
        """Symptom: a router that can't be reached counts as alive for ever.

        Sequence: the network is cut at the moment at which one router parts
        from the link to another that is the one to dial. Cause: a link that
        was parted from is no loss, and the one end waits to be dialled.
        """
        one, near, two, far = await self.start_pair()
        await self.until_linked(two, 'one')
        for proxy in (near, far):
            proxy.swallow()
            proxy.refusing = True
        for link in two.keeper.links.every():
            link.part()
        await self.until_names(two, 'two')
        await self.until_names(one, 'one')

    async def test_link_that_has_just_closed_is_not_parted_from(self):
        """Symptom: a silent peer is never found dead.

        Sequence: a link is closed for silence, and the upkeep looks at it
        before it is dropped. Cause: no best link stands beside it, so it
        passes for surplus, and its end for wanted.
        """
        two, proxy = await self.start_behind_proxy('two')
        one = await self.rig.start('one', f'peers.seeds={proxy.address}')
        await self.until_linked(one, 'two')
        link = one.keeper.links.every()[0]
        link.stream.close()
        self.assertTrue(link.dialled)
        self.assertEqual(one.keeper.links.surplus(), ())
        await self.until_linked(two, 'one')

    async def test_host_list_shows_the_dead_and_omits_the_living(self):
        """The platform's list lags behind.

        Symptom: a new router is alone, or a dead one gets messages.
        Sequence: the list still shows a host that is gone and lacks one
        that came. Cause: taking the list for the truth.
        """
        one, two = await self.start('one', 'two')
        gone = await self.rig.start('gone')
        await crash(gone)
        self.rig.hosts.entries = tuple(
            HostEntry(net.me.address, 'router', 'zone-a') for net in (gone, one)
        )
        late = await self.rig.start('late')
        for net in (one, two, late):
            await self.until_names(net, 'one', 'two', 'late')

    async def test_platform_away_leaves_the_seeds(self):
        self.rig.hosts.away = True
        await self.start('one', 'two')

    async def test_woken_router_is_alive_again(self):
        """A process stood still for long and goes on.

        Symptom: it runs, but nobody connects to it. Sequence: it pauses,
        peers call it dead and spread that, it wakes. Cause: the mark stands
        until the router itself refutes it.
        """
        one, two = await self.start('one', 'two')
        one.keeper.membership.bury('two')
        one.keeper.gossip.tell(one.keeper.membership.find('two'))
        self.assertEqual(names(one), {'one'})
        await self.until_names(one, 'one', 'two')
        self.assertGreater(two.keeper.membership.me.revision, two.me.revision)
