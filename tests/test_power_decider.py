"""Tests of deciders under failures: nobody is cut, and work goes on."""

import logging
import unittest

from balsamreach.power.faults import OVERTAKEN, ROW_AWAY
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
    """Two routers before six hosts of four slots each."""

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
        self.fail('did not come about')

    def on(self):
        return sum(host.up for host in self.world.hosts)

    def states(self, state):
        return self.first.in_state(state)

    async def test_scale_down_waits_for_requests_in_progress(self):
        await self.world.rounds(2)
        for _ in range(12):
            self.assertTrue(self.world.send(self.second))
        await self.world.rounds(3)
        busiest = max(self.world.hosts, key=lambda host: host.running)
        while len(self.world.running) > 1:
            self.world.end_one()
        last = self.world.running[0][1]
        await self.world.rounds(30)
        self.assertTrue(last.up)
        self.world.end_all()
        await self.until(lambda: self.on() == 1)
        self.assertIsNotNone(busiest)
        self.assertEqual(self.world.cut, 0)

    async def test_demand_of_three_times_brings_hosts_in(self):
        self.start(up=2)
        await self.world.rounds(3)
        self.assertEqual(len(self.states('off')), 4)
        for _ in range(4):
            self.world.send(self.first)
        await self.world.rounds(3)
        for _ in range(12):
            self.world.send(self.second)
        await self.until(lambda: self.on() == 6, rounds=10)
        self.world.end_all()
        await self.until(lambda: self.on() == 1)
        self.assertEqual(self.world.cut, 0)

    async def test_doubled_order_comes_when_the_host_could_be_on_again(self):
        """A host goes off under its first requests.

        Symptom: requests on a host that was just switched on are cut.
        Sequence: the order to switch it off is delivered a second time,
        while demand calls for the host again; it checks no numbers.
        Cause: a late order means whatever runs there; so nothing is
        switched on until no order can be under way any more.
        """
        self.world.switch.keep = True
        await self.until(lambda: self.on() == 1)
        for _ in range(8):
            self.world.send(self.first)
        off_at = self.world.clock.now()
        await self.world.rounds(8)
        self.assertEqual(self.on(), 1)
        self.world.switch.deliver_kept()
        await self.until(lambda: self.on() > 1)
        self.assertGreater(self.world.clock.now() - off_at, 60)
        self.assertEqual(self.world.cut, 0)

    async def test_decider_paused_after_its_commit_orders_nothing(self):
        """A decider that wakes switches a host off long after deciding.

        Symptom: a host goes off that others have since put to use.
        Sequence: the commit takes effect; the process is paused before it
        sends the order and wakes a minute later.
        Cause: it believes what it believed; the age of the step tells.
        """
        await self.until(lambda: len(self.states('stopping')) == 5)
        orders = len(self.world.switch.orders)
        self.first.table.after.shut = True
        paused = await self.world.step(self.first)
        await self.world.clock.advance(60)
        self.first.table.after.open()
        await paused
        self.assertEqual(len(self.world.switch.orders), orders)
        dropped = 'balsamreach_power_orders_dropped_total'
        self.assertEqual(self.world.metrics.counted(dropped), 5)

    async def test_overtaken_decider_loses_on_commit_before_ordering(self):
        """Two deciders order against each other.

        Symptom: a host is ordered on and off in turn.
        Sequence: one decider is paused before its commit; another takes the
        row over; the first wakes.
        Cause: both hold themselves for the decider; the commit decides.
        """
        await self.until(lambda: len(self.states('leaving')) == 5)
        self.first.table.before.shut = True
        paused = await self.world.step(self.first)
        other = self.second.power.open_decider(SERVICE)
        self.assertIsNone(await other.step())
        fence = other.latest.row.fence
        orders = len(self.world.switch.orders)
        self.first.table.before.open()
        await paused
        self.assertEqual(len(self.world.switch.orders), orders)
        row = await self.row()
        self.assertEqual((row.holder, row.fence), ('r1', fence))
        faults = 'balsamreach_power_faults_total'
        code = OVERTAKEN.code
        self.assertEqual(self.world.metrics.counted(faults, code=code), 1)

    async def test_two_deciders_in_turn_cut_nobody(self):
        other = self.second.power.open_decider(SERVICE)
        for number in range(40):
            if number % 3 == 0:
                self.world.send(self.second, choice=number)
            await other.step()
            await self.world.round()
            self.world.end_one()
        self.assertEqual(self.world.cut, 0)

    async def test_router_out_of_reach_keeps_hosts_on(self):
        """A cut-off zone's request ends with its host.

        Symptom: requests of a zone that is cut off are cut.
        Sequence: a router that has requests at a host is cut off and held
        for dead; the host leaves and ignores the order to; all others
        report nothing.
        Cause: a router that can't be asked may be sending.
        """
        for host in self.world.hosts:
            host.obeys_leave = False
        await self.world.rounds(2)
        far = self.world.add_router('far', 'zone-b')
        await self.world.rounds(2)
        await far.watch.loads.poll_once()
        await far.poll_all()
        self.assertTrue(self.world.send(far))
        served = self.world.running[0][1]
        held_for_dead = self.world.net.nets.pop('far')
        self.world.routers.remove(far)
        await self.world.rounds(30)
        self.assertEqual(self.on(), 6)
        self.assertTrue(served.up)
        self.world.end_all()
        self.world.net.nets['far'] = held_for_dead
        self.world.routers.append(far)
        await self.until(lambda: self.on() == 1)
        self.assertEqual(self.world.cut, 0)

    async def test_list_that_omits_a_cut_off_router_does_not_excuse_it(self):
        """A host goes off under a cut-off router that the list left out.

        Symptom: requests are cut although every known router was asked.
        Sequence: a router is cut off; the lagging host list omits it.
        Cause: a router once seen counts until the list has been without it
        for the whole settling time.
        """
        for host in self.world.hosts:
            host.obeys_leave = False
        await self.until(lambda: len(self.states('leaving')) == 5)
        address = self.world.net.nets.pop('r1').me.address
        self.world.switch.omit.add(address)
        self.world.routers.remove(self.second)
        on = self.on()
        await self.world.rounds(8)
        self.assertEqual(self.on(), on)

    async def test_stranger_in_the_list_keeps_hosts_on(self):
        for host in self.world.hosts:
            host.obeys_leave = False
        entry = self.world.switch.routers[0]
        self.world.switch.routers.append(
            type(entry)('10.9.9.9:1', 'router', 'zone-c'),
        )
        await self.world.rounds(30)
        self.assertEqual(self.on(), 6)

    async def test_target_that_obeys_goes_off_though_a_router_is_cut_off(self):
        await self.world.rounds(2)
        self.world.net.cut(['r1'], ['r0'])
        self.world.routers.remove(self.second)
        await self.until(lambda: self.on() == 1)

    async def test_host_that_never_starts_is_replaced(self):
        """Demand waits for a host that does not come.

        Symptom: capacity stays short for ever.
        Sequence: a spare is ordered on and never comes up.
        Cause: it would count as coming; after the time-out it does not.
        """
        self.start(1, 'power.start_time=1ms')
        self.world.switch.dead.add(self.world.hosts[1].address)
        await self.world.rounds(3)
        for _ in range(3):
            self.world.send(self.first)
        await self.until(lambda: self.world.hosts[2].up)
        self.assertFalse(self.world.hosts[1].up)
        self.assertIn('host-1', self.states('starting'))

    async def test_outage_in_the_middle_of_a_scale_down(self):
        """Hosts hang between on and off after an outage of the platform.

        Symptom: hosts stay on unused, or go off under requests.
        Sequence: five hosts are stopping when table and list go away.
        Cause: the row says how far each came; the next step goes on.
        """
        await self.until(lambda: len(self.states('stopping')) == 5)
        self.world.switch.down = True
        self.world.platform.weather.down = True
        for _ in range(4):
            self.world.send(self.first)
        await self.world.rounds(20)
        self.assertEqual(self.on(), 6)
        self.assertEqual(self.world.hosts[5].running, 4)
        self.world.switch.down = False
        self.world.platform.weather.down = False
        await self.until(lambda: self.on() < 6)
        self.assertEqual(self.world.cut, 0)

    async def test_lost_answers_of_commits_and_orders(self):
        """A decider gives up its own row, or orders on a guess.

        Symptom: fences jump and hosts hang, or orders follow no commit.
        Sequence: the answers to the take-over, to a commit and to an order
        are lost after they took effect.
        Cause: the row tells by the commit's id whose it is.
        """
        self.world.platform.weather.lose_answers = 3
        self.world.switch.lose = 2
        await self.until(lambda: self.on() == 1)
        await self.world.rounds(3)
        self.assertEqual(len(self.states('off')), 5)
        self.assertEqual((await self.row()).holder, 'r0')
        for code in (OVERTAKEN.code, ROW_AWAY.code):
            faults = self.world.metrics.counted(
                'balsamreach_power_faults_total',
                code=code,
            )
            self.assertEqual(faults, 0, code)
        self.assertEqual(self.world.cut, 0)

    async def test_fences_only_rise(self):
        await self.until(lambda: self.on() == 1)
        fences = [fence for _, _, fence in self.world.switch.orders]
        self.assertEqual(fences, sorted(fences))
        self.assertTrue(fences)

    async def test_router_that_starts_unread_sends_nothing(self):
        """A fresh router sends to a host that was just proven idle.

        Symptom: the first request of a restarted router is cut.
        Sequence: hosts are stopping; a router starts, has the table, and
        can reach neither the platform nor a peer.
        Cause: it does not know the power rows yet.
        """
        await self.until(lambda: len(self.states('stopping')) == 5)
        self.world.platform.weather.down = True
        fresh = self.world.add_router('fresh')
        self.world.net.cut(['fresh'], ['r0', 'r1'])
        await fresh.power.follower.follow_once()
        await fresh.watch.loads.poll_once()
        self.assertFalse(self.world.send(fresh))
        self.world.net.heal()
        await self.world.poll()
        able = [one.name for one in fresh.targets.among(self.world.rows)]
        self.assertEqual(len(able), 1)

    async def test_edits_of_operators_are_left_alone(self):
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
    """Rows written by another release are refused, not guessed at."""

    def test_unreadable_rows(self):
        row = PowerRow('llm', 'zone-a')
        self.assertEqual(decode(encode(row)), row)
        bad = {'service': 's', 'zone': 'z', 'hosts': {'h': {'state': 'gone'}}}
        for fields in ({}, {'other': 1}, bad):
            self.assertEqual(decode(fields).code, 'power_bad_row')
