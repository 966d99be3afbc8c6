"""Tests of budgets that hubs hold for the routers of their zones."""

import asyncio
import unittest

from parameterized import parameterized

from balsamreach.budget.faults import EXHAUSTED, BudgetFault
from balsamreach.budget.homing import HomeReservation
from balsamreach.budget.ledger import Reservation
from balsamreach.wire.tokens import TokensAsk, TokensUsed
from tests.fake_net import FakeNet
from tests.holdings_fleet import TEAM, Fleet

_ROUTERS = 8


def _fleet(prepaid=100_000, zones=('zone-a',)):
    fleet = Fleet(prepaid, fabric=FakeNet(hubs_per_zone=2))
    for zone in zones:
        for _ in range(_ROUTERS):
            fleet.start(zone=zone)
    return fleet


def _others(fleet):
    """Return the names of routers that are not the team's home."""
    return [name for name in fleet.routers if name != fleet.home()]


def _ledger(fleet):
    """Return the ledger of the team's home."""
    home = fleet.routers[fleet.home()]
    return home.book.ledgers[TEAM]


def _calls(fleet):
    """Return the calls that each router has made to the table service."""
    gates = fleet.gates.items()
    return {one: (gate.commits, len(gate.read_keys)) for one, gate in gates}


class HomingTest(unittest.IsolatedAsyncioTestCase):
    """Requests at any router are met by what the home holds."""

    async def settle(self, fleet):
        for router in fleet.routers.values():
            await fleet.clock.drive(router.parts.homing.settle())

    async def test_only_the_home_calls_the_table_service(self):
        """Symptom: calls to the table service grow with the fleet.

        Sequence: requests of one team come through all routers in turn.
        Cause: each router drew and reported for itself.
        """
        fleet = _fleet()
        for name in _others(fleet):
            held = await fleet.serve(name, 100, 40)
            self.assertIsInstance(held, HomeReservation)
        callers = {one for one, gate in fleet.gates.items() if gate.commits}
        self.assertEqual(callers, {fleet.home()})

    async def test_what_was_not_used_is_free_again(self):
        fleet = _fleet()
        for name in _others(fleet):
            await fleet.serve(name, 1000, 40)
        ledger = _ledger(fleet)
        self.assertEqual(ledger.reserved, 1000 * len(_others(fleet)))
        await self.settle(fleet)
        self.assertEqual(ledger.reserved, 0)
        self.assertEqual(ledger.billed, 40 * len(_others(fleet)))

    async def test_a_budget_is_never_exceeded(self):
        fleet = _fleet(prepaid=2000, zones=('zone-a', 'zone-b'))
        for _ in range(10):
            for name in fleet.routers:
                await fleet.serve(name, 50, 50)
            await self.settle(fleet)
        self.assertEqual(fleet.spent, 2000)

    async def test_an_end_that_is_refused_is_told_as_such(self):
        fleet = _fleet(prepaid=100)
        name = _others(fleet)[0]
        await fleet.serve(name, 80, 80)
        await self.settle(fleet)
        refused = await fleet.serve(name, 50, 50)
        self.assertEqual(refused, EXHAUSTED)
        # What the home has seen is a proof of its own.
        self.assertEqual(fleet.routers[name].spent(TEAM), 80)

    async def test_a_home_that_is_silent(self):
        """Symptom: all requests of a team are refused.

        Sequence: the team's home stands still; the store answers.
        Cause: nobody else drew for the team.
        """
        fleet = _fleet()
        name = _others(fleet)[0]
        fleet.fabric.cut([fleet.home()], _others(fleet))
        held = await fleet.serve(name, 100, 40)
        self.assertIsInstance(held, Reservation)
        self.assertNotIsInstance(held, HomeReservation)

    async def test_a_home_that_died_and_its_successor(self):
        """Symptom: a team gets more than it paid for.

        Sequence: a home sets tokens aside for requests of others and dies;
        these go on and use them; the next router on its address gives back
        what the home had not used.
        Cause: what others had set aside there was not reported.
        """
        fleet = _fleet(prepaid=10_000)
        home = fleet.home()
        held = []
        for name in _others(fleet):
            outcome = await fleet.clock.drive(
                fleet.routers[name].reserve(TEAM, 1000),
            )
            held.append(outcome)
        fleet.kill(home)
        fleet.clock.seconds += 2
        after = fleet.start(fleet.addresses[home])
        await fleet.round(after)
        in_use = sum(one.tokens for one in held if isinstance(one, Reservation))
        self.assertEqual(in_use, 7000)
        self.assertGreaterEqual(await fleet.taken(), in_use)

    async def test_an_asker_that_died(self):
        """Symptom: a team gets more than it paid for, or memory fills.

        Sequence: a router dies with requests in progress, whose tokens its
        home has set aside.
        Cause: they were freed, or kept for ever.
        """
        fleet = _fleet()
        name = _others(fleet)[0]
        await fleet.clock.drive(fleet.routers[name].reserve(TEAM, 1000))
        home = fleet.routers[fleet.home()]
        fleet.kill(name)
        home.parts.hosting.sweep()
        fleet.clock.seconds += 200
        home.parts.hosting.sweep()
        ledger = home.book.ledgers[TEAM]
        self.assertEqual((ledger.reserved, ledger.billed), (0, 1000))
        self.assertFalse(home.parts.hosting.is_held())

    async def test_an_ask_that_was_given_up(self):
        """Symptom: a budget is spent that nobody has used.

        Sequence: an ask waits at the home; its caller goes away; the home
        then sets the tokens aside.
        Cause: nobody told the home, or it was told too early.
        """
        fleet = _fleet()
        home, name = fleet.home(), _others(fleet)[0]
        member = fleet.routers[name].net.me
        hosting = fleet.routers[home].parts.hosting
        await hosting._take_used(member, TokensUsed((7,), (0,)))
        ask = TokensAsk(7, TEAM, 1000)
        answer = await fleet.clock.drive(hosting._take_ask(member, ask))
        self.assertFalse(answer.granted)
        ledger = _ledger(fleet)
        self.assertEqual((ledger.reserved, ledger.billed), (0, 0))

    async def test_a_word_that_was_lost_is_told_again(self):
        fleet = _fleet()
        name = _others(fleet)[0]
        await fleet.serve(name, 1000, 40)
        fleet.fabric.answers_lost[TokensUsed] = 1
        await self.settle(fleet)
        await self.settle(fleet)
        ledger = _ledger(fleet)
        self.assertEqual((ledger.reserved, ledger.billed), (0, 40))

    async def test_zones_that_are_cut_off_go_on(self):
        """Symptom: a zone refuses all requests while it is cut off.

        Sequence: zones lose each other and the store.
        Cause: its routers held nothing, and their home was elsewhere.
        """
        zones = ('zone-a', 'zone-b')
        fleet = _fleet(prepaid=200_000, zones=zones)
        for _ in range(20):
            fleet.clock.seconds += 0.2
            for name in fleet.routers:
                await fleet.serve(name, 100, 100)
            await self.settle(fleet)
            for zone in zones:
                await fleet.report(fleet.home(zone=zone))
                await fleet.round(fleet.home(zone=zone))
        names = list(fleet.routers)
        fleet.fabric.cut(names[:_ROUTERS], names[_ROUTERS:])
        for gate in fleet.gates.values():
            gate.open = False
        fleet.clock.seconds += 3
        served = [await fleet.serve(one, 100, 100) for one in names]
        refused = [one for one in served if isinstance(one, BudgetFault)]
        self.assertEqual(refused, [])

    @parameterized.expand([('served', True), ('refused', False)])
    async def test_a_caller_that_goes_away_while_its_ask_waits(
        self,
        _name,
        answered,
    ):
        fleet = _fleet()
        name = _others(fleet)[0]
        fleet.fabric.held = {TokensAsk}
        router = fleet.routers[name]
        work = asyncio.ensure_future(router.reserve(TEAM, 500))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        if answered:
            fleet.fabric.release()
            await fleet.clock.drive(asyncio.sleep(0))
        await self.settle(fleet)
        await fleet.clock.drive(asyncio.sleep(0))
        ledgers = fleet.routers[fleet.home()].book.ledgers
        reserved = ledgers[TEAM].reserved if TEAM in ledgers else 0
        self.assertEqual(reserved, 0)

    async def test_a_home_that_leaves_waits_for_what_it_has_set_aside(self):
        fleet = _fleet()
        name, home = _others(fleet)[0], fleet.home()
        held = await fleet.clock.drive(fleet.routers[name].reserve(TEAM, 500))
        leaver = fleet.routers[home]
        self.assertTrue(leaver.parts.hosting.is_held())
        fleet.routers[name].charge(held, 20)
        await self.settle(fleet)
        await fleet.clock.drive(leaver.leave(fleet.clock.seconds + 5))
        self.assertEqual(await fleet.taken(), 20)

    async def test_what_a_router_drew_before_it_knew_the_home_goes_back(self):
        """Symptom: teams are out of budget soon after all hosts started.

        Sequence: routers that don't know each other yet draw for
        themselves; then they agree on hubs.
        Cause: each kept the smallest draw for good.
        """
        fleet = _fleet(prepaid=10_000)
        fleet.fabric.hubs_per_zone = 0
        for name in fleet.routers:
            await fleet.serve(name, 100, 40)
        self.assertGreater(await fleet.taken(), 800)
        fleet.fabric.hubs_per_zone = 2
        for name in _others(fleet):
            await fleet.report(name)
            await fleet.round(name)
        held = _ledger(fleet).granted
        self.assertEqual(await fleet.taken(), 40 * (_ROUTERS - 1) + held)
        # From then on it has nothing to ask or to tell.
        before = _calls(fleet)
        for other in _others(fleet):
            await fleet.round(other)
        self.assertEqual(_calls(fleet), before)

    async def test_a_home_holds_tokens_before_the_first_request(self):
        """Symptom: first requests of all teams wait, and the store is busy.

        Sequence: all hosts start; then requests of all teams come at once.
        Cause: each of them waited for a draw and a report of its own.
        """
        fleet = _fleet()
        fleet.teams = (TEAM,)
        for _ in range(3):
            for name in fleet.routers:
                await fleet.report(name)
                await fleet.round(name)
        before = _calls(fleet)
        for name in _others(fleet):
            held = await fleet.serve(name, 100, 40)
            self.assertIsInstance(held, HomeReservation)
        self.assertEqual(_calls(fleet), before)
        holders = {
            one
            for one, router in fleet.routers.items()
            if TEAM in router.book.ledgers
        }
        self.assertEqual(holders, {fleet.home()})

    async def test_teams_are_too_many_to_hold_tokens_of_each(self):
        fleet = _fleet()
        fleet.teams = tuple(f'team-{number}' for number in range(900))
        for name in fleet.routers:
            await fleet.round(name)
        held = [router.book.ledgers for router in fleet.routers.values()]
        self.assertFalse(any(held))
