"""Tests of deciders under failures: requests run on and none is cut."""

import logging
import unittest

from balsamreach.power.faults import ROW_CONFLICT, ROW_UNAVAILABLE
from balsamreach.power.rows import PowerRow, decode, encode
from balsamreach.power.store import PowerStore
from tests.power_world import SERVICE, ZONE, World

_SETTINGS = (
    'power.idle=30s',
    'power.order_settle=60s',
    'power.start_time=20s',
    'power.start_timeout=60s',
    'power.spare=0',
    'power.warm_time=0s',
)


class PowerTest(unittest.IsolatedAsyncioTestCase):
    """Two routers and six hosts of four slots each."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.start(up=6)

    def start(self, up, *overrides):
        self.world = World(up=up, overrides=(*_SETTINGS, *overrides))
        self.first = self.world.add_router('r0')
        self.second = self.world.add_router('r1')

    async def row(self):
        store = PowerStore(self.world.platform.table)
        return (await store.read(SERVICE, ZONE)).row

    async def until(self, check, rounds=60):
        for _ in range(rounds):
            if check():
                return
            await self.world.round()
        self.fail('the condition was not met in time')

    def count_on(self):
        return sum(host.up for host in self.world.hosts)

    def targets_in_state(self, state):
        return self.first.targets_in_state(state)

    async def test_scale_down_waits_for_running_requests(self):
        await self.world.rounds(2)
        for _ in range(12):
            self.assertTrue(self.world.send(self.second))
        await self.world.rounds(3)
        busiest = max(self.world.hosts, key=lambda host: host.running)
        while len(self.world.running) > 1:
            self.world.finish_one()
        last = self.world.running[0][1]
        await self.world.rounds(30)
        self.assertTrue(last.up)
        self.world.finish_all()
        await self.until(lambda: self.count_on() == 1)
        self.assertIsNotNone(busiest)
        self.assertEqual(self.world.aborted_requests, 0)

    async def test_tripled_demand_starts_hosts(self):
        self.start(up=2)
        await self.world.rounds(3)
        self.assertEqual(len(self.targets_in_state('off')), 4)
        for _ in range(4):
            self.world.send(self.first)
        await self.world.rounds(3)
        for _ in range(12):
            self.world.send(self.second)
        await self.until(lambda: self.count_on() == 6, rounds=10)
        self.world.finish_all()
        await self.until(lambda: self.count_on() == 1)
        self.assertEqual(self.world.aborted_requests, 0)

    async def test_repeated_off_order_does_not_hit_a_restarted_host(self):
        """Guards against cut requests on a host that was just switched on.

        The order to switch it off is delivered a second time while demand calls
        for the host again, and the host checks no fencing numbers. So no host
        is switched on until no order can be under way any more.
        """
        self.world.switch.keep_off_orders = True
        await self.until(lambda: self.count_on() == 1)
        for _ in range(8):
            self.world.send(self.first)
        off_at = self.world.clock.now()
        await self.world.rounds(8)
        self.assertEqual(self.count_on(), 1)
        self.world.switch.redeliver_kept()
        await self.until(lambda: self.count_on() > 1)
        self.assertGreater(self.world.clock.now() - off_at, 60)
        self.assertEqual(self.world.aborted_requests, 0)

    async def test_decider_paused_after_its_commit_gives_no_orders(self):
        """Guards against switching off a host that is in use again.

        The process is paused after its commit took effect and resumes a minute
        later, before sending the order; the age of the step shows that it is
        outdated.
        """
        await self.until(lambda: len(self.targets_in_state('stopping')) == 5)
        orders = len(self.world.switch.orders)
        self.first.table.after.shut = True
        paused = await self.world.step(self.first)
        await self.world.clock.advance(60)
        self.first.table.after.open()
        await paused
        self.assertEqual(len(self.world.switch.orders), orders)
        dropped = 'balsamreach_power_orders_dropped_total'
        self.assertEqual(self.world.metrics.counted(dropped), 5)

    async def test_commit_conflict_prevents_orders(self):
        """Guards against two deciders that order a host on and off in turn.

        One is paused before its commit, another takes the row over, and the
        first resumes. The conditional commit settles which of them decides.
        """
        await self.until(lambda: len(self.targets_in_state('leaving')) == 5)
        self.first.table.before.shut = True
        paused = await self.world.step(self.first)
        other = self.second.power.make_decider(SERVICE)
        self.assertIsNone(await other.step())
        fence = other.latest_row.row.fence
        orders = len(self.world.switch.orders)
        self.first.table.before.open()
        await paused
        self.assertEqual(len(self.world.switch.orders), orders)
        row = await self.row()
        self.assertEqual((row.holder, row.fence), ('r1', fence))
        faults = 'balsamreach_power_faults_total'
        code = ROW_CONFLICT.code
        self.assertEqual(self.world.metrics.counted(faults, code=code), 1)

    async def test_two_deciders_in_turn_cut_no_request(self):
        other = self.second.power.make_decider(SERVICE)
        for number in range(40):
            if number % 3 == 0:
                self.world.send(self.second, choice=number)
            await other.step()
            await self.world.round()
            self.world.finish_one()
        self.assertEqual(self.world.aborted_requests, 0)

    async def test_unreachable_router_keeps_hosts_on(self):
        """Guards against cut requests of a zone that is cut off.

        A router with requests at a host is cut off and believed dead, the host
        ignores the order to leave, and all other routers report no requests. A
        router that can't be asked may still be sending.
        """
        for host in self.world.hosts:
            host.obeys_leave = False
        await self.world.rounds(2)
        far = self.world.add_router('far', 'zone-b')
        await self.world.rounds(2)
        await far.watch.poller.poll_once()
        await far.poll_all()
        self.assertTrue(self.world.send(far))
        served = self.world.running[0][1]
        held_for_dead = self.world.net.nets.pop('far')
        self.world.routers.remove(far)
        await self.world.rounds(30)
        self.assertEqual(self.count_on(), 6)
        self.assertTrue(served.up)
        self.world.finish_all()
        self.world.net.nets['far'] = held_for_dead
        self.world.routers.append(far)
        await self.until(lambda: self.count_on() == 1)
        self.assertEqual(self.world.aborted_requests, 0)

    async def test_router_missing_from_the_list_still_counts(self):
        """Guards against cut requests of a router omitted by the host list.

        The router is cut off and the lagging list omits it, so every listed
        router was asked. It counts until the list has been without it for the
        whole settling time.
        """
        for host in self.world.hosts:
            host.obeys_leave = False
        await self.until(lambda: len(self.targets_in_state('leaving')) == 5)
        address = self.world.net.nets.pop('r1').me.address
        self.world.switch.omitted.add(address)
        self.world.routers.remove(self.second)
        on = self.count_on()
        await self.world.rounds(8)
        self.assertEqual(self.count_on(), on)

    async def test_unknown_router_in_the_list_keeps_hosts_on(self):
        for host in self.world.hosts:
            host.obeys_leave = False
        entry = self.world.switch.routers[0]
        self.world.switch.routers.append(
            type(entry)('10.9.9.9:1', 'router', 'zone-c'),
        )
        await self.world.rounds(30)
        self.assertEqual(self.count_on(), 6)

    async def test_trusted_refusal_is_enough_with_a_router_cut_off(self):
        await self.world.rounds(2)
        self.world.net.cut(['r1'], ['r0'])
        self.world.routers.remove(self.second)
        await self.until(lambda: self.count_on() == 1)

    async def test_host_that_never_starts_is_replaced(self):
        """Guards against missing capacity that is never replaced.

        A spare host is ordered on and never starts; after the start timeout it
        no longer counts as starting.
        """
        self.start(1, 'power.start_time=1ms')
        self.world.switch.never_start.add(self.world.hosts[1].address)
        await self.world.rounds(3)
        for _ in range(3):
            self.world.send(self.first)
        await self.until(lambda: self.world.hosts[2].up)
        self.assertFalse(self.world.hosts[1].up)
        self.assertIn('host-1', self.targets_in_state('starting'))

    async def test_outage_during_a_scale_down(self):
        """Guards against hosts that stay on unused, or go off under requests.

        Table and host list become unavailable while five hosts are stopping.
        The row tells how far each of them is, and a later step continues.
        """
        await self.until(lambda: len(self.targets_in_state('stopping')) == 5)
        self.world.switch.down = True
        self.world.platform.weather.down = True
        for _ in range(4):
            self.world.send(self.first)
        await self.world.rounds(20)
        self.assertEqual(self.count_on(), 6)
        self.assertEqual(self.world.hosts[5].running, 4)
        self.world.switch.down = False
        self.world.platform.weather.down = False
        await self.until(lambda: self.count_on() < 6)
        self.assertEqual(self.world.aborted_requests, 0)

    async def test_lost_answers_of_commits_and_orders(self):
        """Guards against a decider that gives up its own row or guesses.

        Answers to the takeover, to a commit and to an order are lost after they
        took effect. The commit ID in the row tells whose commit it is;
        otherwise fencing numbers would jump and hosts hang, or orders would
        follow no commit.
        """
        self.world.platform.weather.lose_answers = 3
        self.world.switch.lose_answers = 2
        await self.until(lambda: self.count_on() == 1)
        await self.world.rounds(3)
        self.assertEqual(len(self.targets_in_state('off')), 5)
        self.assertEqual((await self.row()).holder, 'r0')
        for code in (ROW_CONFLICT.code, ROW_UNAVAILABLE.code):
            faults = self.world.metrics.counted(
                'balsamreach_power_faults_total',
                code=code,
            )
            self.assertEqual(faults, 0, code)
        self.assertEqual(self.world.aborted_requests, 0)

    async def test_fencing_numbers_increase(self):
        await self.until(lambda: self.count_on() == 1)
        fences = [fence for _, _, fence in self.world.switch.orders]
        self.assertEqual(fences, sorted(fences))
        self.assertTrue(fences)

    async def test_router_without_power_rows_sends_nothing(self):
        """Guards against cut first requests of a restarted router.

        Hosts known to be idle are stopping; a router starts, has the table, but
        reaches neither the platform nor a peer, so it has no power rows yet.
        """
        await self.until(lambda: len(self.targets_in_state('stopping')) == 5)
        self.world.platform.weather.down = True
        fresh = self.world.add_router('fresh')
        self.world.net.cut(['fresh'], ['r0', 'r1'])
        await fresh.power.follower.update_once()
        await fresh.watch.poller.poll_once()
        self.assertFalse(self.world.send(fresh))
        self.world.net.heal()
        await self.world.poll()
        able = [one.name for one in fresh.targets.usable(self.world.rows)]
        self.assertEqual(len(able), 1)

    async def test_operator_edits_are_not_overridden(self):
        await self.world.rounds(2)
        for name in ('host-0', 'host-1'):
            for router in self.world.routers:
                target = router.targets.by_name[name]
                target.row = type(target.row)(
                    **{**_fields(target.row), 'state': 'off'},
                )
        await self.world.rounds(30)
        self.assertTrue(self.world.hosts[0].up)
        self.assertTrue(self.world.hosts[1].up)
        self.assertNotIn('host-0', (await self.row()).hosts)


def _fields(row):
    return {name: getattr(row, name) for name in row.__annotations__}


class RowTest(unittest.TestCase):
    """Rows written by another release are refused, not guessed."""

    def test_unreadable_rows(self):
        row = PowerRow('llm', 'zone-a')
        self.assertEqual(decode(encode(row)), row)
        bad = {'service': 's', 'zone': 'z', 'hosts': {'h': {'state': 'gone'}}}
        for fields in ({}, {'other': 1}, bad):
            self.assertEqual(decode(fields).code, 'power_bad_row')
