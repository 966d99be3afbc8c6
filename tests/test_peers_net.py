"""Tests of TcpPeerNet over real connections, and of network failures."""

import asyncio
import unittest

import attrs
from parameterized import parameterized

from balsamreach.peers import metric_names
from balsamreach.peers.base import LARGE_ANSWER_GAPS
from balsamreach.peers.faults import NOT_CONNECTED, PEER_REFUSED
from balsamreach.peers.maintenance import IDLE_TIMEOUT
from balsamreach.services.base import HostEntry
from balsamreach.wire.marks import InFlight, InFlightAsk
from balsamreach.wire.membership import Heartbeat
from balsamreach.wire.runs import RunAsk
from tests.peers_rig import Rig, crash, linked, names
from tests.tcp_fakes import SwallowingProxy

_SILENT = 'peer_link_silent'


class NetTest(unittest.IsolatedAsyncioTestCase):
    """A few routers with real sockets and a fake clock."""

    async def asyncSetUp(self):
        self.rig = Rig()
        self.heartbeats = []
        self.addAsyncCleanup(self.rig.stop)

    async def answer_seven(self, _member, message):
        return InFlight(message.target, 7)

    async def answer_late(self, member, message):
        await self.rig.clock.sleep(1.25 * IDLE_TIMEOUT)
        return await self.answer_seven(member, message)

    async def record_heartbeat(self, member, message):
        self.heartbeats.append((member.incarnation, message.table_version))

    async def assert_answers_seven(self, net, incarnation):
        answer = await net.ask(incarnation, InFlightAsk('engine-0'))
        self.assertEqual(answer, InFlight('engine-0', 7))

    async def until_names(self, net, *wanted):
        await self.rig.until(lambda: names(net) == set(wanted))

    async def until_linked(self, net, *wanted):
        await self.rig.until(lambda: linked(net) == set(wanted))

    async def start(self, *wanted, overrides=()):
        """Start routers that have the first one as their seed."""
        nets = []
        for name in wanted:
            seeds = [f'peers.seeds={net.me.address}' for net in nets[:1]]
            nets.append(await self.rig.start(name, *seeds, *overrides))
        await self.rig.until(
            lambda: all(names(net) == set(wanted) for net in nets),
        )
        return nets

    async def start_behind_proxy(self, name, *seeds):
        """Start a router whose address is that of a faulty proxy."""
        overrides = [f'peers.seeds={seed}' for seed in seeds]
        net = await self.rig.start(name, *overrides)
        host, _, port = net.me.address.rpartition(':')
        proxy = SwallowingProxy(host, int(port))
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        net.me = net.link_manager.membership.change_me(address=proxy.address)
        return net, proxy

    async def start_pair(self):
        one, near = await self.start_behind_proxy('one')
        two, far = await self.start_behind_proxy('two', near.address)
        await self.until_names(one, 'one', 'two')
        return one, near, two, far


class JoinTest(NetTest):
    """Routers find each other and exchange messages."""

    async def test_routers_find_each_other_and_exchange_messages(self):
        one, _, three = await self.start('one', 'two', 'three')
        await self.until_linked(three, 'one', 'two')
        one.on(InFlightAsk, self.answer_seven)
        await self.assert_answers_seven(three, 'one')
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
        one.on(Heartbeat, self.record_heartbeat)
        two.local_status.table_version = lambda: 41
        await self.rig.until(lambda: ('two', 41) in self.heartbeats)

    async def test_simultaneous_dials_leave_one_link(self):
        """Guards against links between two routers that flap without end.

        Both dial each other at the same moment, and if their choice differed,
        each would close the link that the other keeps.
        """
        one, two = self.rig.make('one'), self.rig.make('two')
        await one.start()
        await two.start()
        one.discovery.seeds = (two.me.address,)
        two.discovery.seeds = (one.me.address,)
        await self.rig.steps(5)
        for net in (one, two):
            links = net.link_manager.links.all_links()
            self.assertEqual([link.dialled for link in links], [net is one])
            self.assertEqual(net.metrics.counted(metric_names.DEATHS), 0)

    async def test_single_request_link_is_not_persistent_and_is_released(self):
        """Guards against control traffic several times its necessary size.

        Requests open links to all routers of a zone; if these links counted as
        persistent, each update would go over all of them, for ever.
        """
        self.rig.step_seconds = 1
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
        await self.assert_answers_seven(one, name)
        await self.rig.step()
        self.assertIsNotNone(one.link_manager.links.preferred(name))
        self.assertNotIn(name, linked(one))
        await self.rig.until(
            lambda: one.link_manager.links.preferred(name) is None
        )
        self.assertIn(name, names(one))

    @parameterized.expand((('asker', False), ('answerer', True)))
    async def test_link_stays_open_until_the_answer(self, _dialled, reverse):
        """Guards against releasing a link while an answer is pending."""
        wanted = [f'r{number}' for number in range(6)]
        nets = await self.start(*wanted, overrides=['peers.max_peers=2'])
        one = nets[0]
        await self.rig.steps(10)
        near = linked(one) | {'r0'}
        other = next(net for net in nets if net.me.incarnation not in near)
        asker, answerer = (one, other) if reverse else (other, one)
        answerer.on(InFlightAsk, self.answer_late)
        asking = asyncio.create_task(
            asker.ask(
                answerer.me.incarnation,
                InFlightAsk('late'),
                LARGE_ANSWER_GAPS,
            ),
        )
        await self.rig.until(asking.done)
        self.assertEqual(await asking, InFlight('late', 7))

    async def test_leaving_is_announced_and_is_not_a_death(self):
        one, two, three = await self.start('one', 'two', 'three')
        await two.leave()
        await self.rig.until(
            lambda: any(member.leaving for member in one.members()),
        )
        self.assertEqual(names(one), {'one', 'two', 'three'})
        await two.stop()
        for net in (one, three):
            await self.until_names(net, 'one', 'three')
            self.assertEqual(net.metrics.counted(metric_names.DEATHS), 0)


class FailureTest(NetTest):
    """Failures between routers and their recovery."""

    async def test_silent_connection_is_replaced(self):
        """Guards against messages that vanish although their receiver runs.

        A middlebox loses track of the connection and drops packets both ways
        without closing it, so neither end gets an error; new connections work.
        """
        two, proxy = await self.start_behind_proxy('two')
        two.on(InFlightAsk, self.answer_seven)
        one = await self.rig.start('one', f'peers.seeds={proxy.address}')
        await self.until_linked(one, 'two')
        first = proxy.accepted
        proxy.swallow()
        before = self.rig.clock.now()
        await self.rig.until(
            lambda: one.metrics.counted(
                metric_names.LINKS_ENDED, reason=_SILENT
            ),
        )
        passed = self.rig.clock.now() - before
        self.assertLessEqual(passed, 2 * one.cfg.peers.gap_timeout)
        await self.until_linked(one, 'two')
        self.assertGreater(proxy.accepted, first)
        await self.assert_answers_seven(one, 'two')
        self.assertEqual(one.metrics.counted(metric_names.DEATHS), 0)

    async def test_killed_router_is_dead_after_one_more_try(self):
        """A process is killed and its connections break at once.

        Guards against requests to a router that is gone without notice.
        """
        one, two, three = await self.start('one', 'two', 'three')
        await crash(two)
        for net in (one, three):
            await self.until_names(net, 'one', 'three')
        deaths = one.metrics.counted(metric_names.DEATHS)
        self.assertGreaterEqual(
            deaths + three.metrics.counted(metric_names.DEATHS),
            1,
        )

    async def test_restart_on_the_same_address(self):
        """A router is killed and starts again on its address.

        Guards against marks that apply to the address: the new incarnation
        would be considered dead by a late report of the old one's death, or the
        old one alive.
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
        one.link_manager.gossip.merge_reports(
            (attrs.evolve(two.me, dead=True),), 'x'
        )
        await self.rig.steps(3)
        self.assertEqual(names(one), {'one', 'two-again'})

    async def test_partition_and_heal(self):
        """Guards against a fleet that stays split after a partition.

        Packets are dropped and new connections refused both ways for a minute,
        so each side declares the other dead; then the network works again.
        Without probes of dead routers neither would connect again.
        """
        one, near, two, far = await self.start_pair()
        # Neither seeds nor the host list contain the other any more.
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

    async def test_router_cut_off_while_its_link_is_released(self):
        """Guards against an unreachable router that counts as alive for ever.

        The network is cut at the moment one router releases the link to another
        that is responsible for dialling. A released link is not a loss, so the
        one end just waits to be dialled.
        """
        one, near, two, far = await self.start_pair()
        await self.until_linked(two, 'one')
        for proxy in (near, far):
            proxy.swallow()
            proxy.refusing = True
        for link in two.link_manager.links.all_links():
            link.release()
        await self.until_names(two, 'two')
        await self.until_names(one, 'one')

    async def test_just_closed_link_is_not_released(self):
        """Guards against a silent peer that is never declared dead.

        A link is closed for silence, and the maintenance looks at it before it
        is removed. Without a preferred link beside it, it would count as a
        duplicate, and its end as intended.
        """
        two, proxy = await self.start_behind_proxy('two')
        one = await self.rig.start('one', f'peers.seeds={proxy.address}')
        await self.until_linked(one, 'two')
        link = one.link_manager.links.all_links()[0]
        link.stream.close()
        self.assertTrue(link.dialled)
        self.assertEqual(one.link_manager.links.duplicates(), ())
        await self.until_linked(two, 'one')

    async def test_host_list_with_a_dead_and_without_a_live_router(self):
        """The platform's list lags behind.

        Guards against trusting the list: it still shows a host that is gone and
        lacks a new one, so a new router would stay isolated, or a dead one
        would get messages.
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

    async def test_seeds_while_the_platform_is_unavailable(self):
        self.rig.hosts.away = True
        await self.start('one', 'two')

    async def test_router_refutes_its_death_after_a_pause(self):
        """A process was paused for long and resumes.

        Guards against a running router that nobody connects to: during the
        pause its peers declared it dead and spread that, and the mark stays
        until the router itself refutes it.
        """
        one, two = await self.start('one', 'two')
        one.link_manager.membership.mark_dead('two')
        one.link_manager.gossip.queue_update(
            one.link_manager.membership.find('two')
        )
        self.assertEqual(names(one), {'one'})
        await self.until_names(one, 'one', 'two')
        self.assertGreater(
            two.link_manager.membership.me.revision, two.me.revision
        )
