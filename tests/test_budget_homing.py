"""Tests of budgets that hubs hold for the routers of their zones."""

import asyncio
import unittest

from parameterized import parameterized

from balsamreach.budget.faults import EXHAUSTED, BudgetFault
from balsamreach.budget.home_client import HomeReservation
from balsamreach.budget.ledger import Reservation
from balsamreach.wire.tokens import TokensAsk, TokensUsed
from tests.fake_net import FakeNet
from tests.holdings_fleet import TEAM, Fleet

_ROUTERS_PER_ZONE = 8


def _fleet(prepaid=100_000, zones=('zone-a',)):
    fleet = Fleet(prepaid, network=FakeNet(hubs_per_zone=2))
    for zone in zones:
        for _ in range(_ROUTERS_PER_ZONE):
            fleet.start(zone=zone)
    return fleet


def _others(fleet):
    """Return the names of routers that are not the team's home."""
    return [name for name in fleet.routers if name != fleet.home()]


def _home_ledger(fleet):
    """Return the ledger of the team's home."""
    home = fleet.routers[fleet.home()]
    return home.book.ledgers[TEAM]


def _service_calls(fleet):
    """Return the calls that each router has made to the table service."""
    connections = fleet.connections.items()
    return {
        one: (connection.commits, len(connection.read_keys))
        for one, connection in connections
    }


class HomingTest(unittest.IsolatedAsyncioTestCase):
    """Requests at any router are served from the tokens of the home."""

    async def settle(self, fleet):
        for router in fleet.routers.values():
            await fleet.clock.drive(router.parts.home_client.settle())

    async def test_only_the_home_calls_the_table_service(self):
        """Guards against calls to the table service that grow with the fleet.

        Requests of one team arrive at all routers in turn. The routers must
        not draw and report each for itself.
        """
        fleet = _fleet()
        for name in _others(fleet):
            held = await fleet.serve(name, 100, 40)
            self.assertIsInstance(held, HomeReservation)
        callers = {
            one
            for one, connection in fleet.connections.items()
            if connection.commits
        }
        self.assertEqual(callers, {fleet.home()})

    async def test_unused_tokens_are_freed(self):
        fleet = _fleet()
        for name in _others(fleet):
            await fleet.serve(name, 1000, 40)
        ledger = _home_ledger(fleet)
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

    async def test_an_exhausted_budget_is_refused_as_such(self):
        fleet = _fleet(prepaid=100)
        name = _others(fleet)[0]
        await fleet.serve(name, 80, 80)
        await self.settle(fleet)
        refused = await fleet.serve(name, 50, 50)
        self.assertEqual(refused, EXHAUSTED)
        # The use that the home has seen is reported with the refusal.
        self.assertEqual(fleet.routers[name].spent(TEAM), 80)

    async def test_a_home_that_does_not_answer(self):
        """Guards against refusing all requests of a team.

        The team's home hangs while the table service answers. Another router
        must draw for the team.
        """
        fleet = _fleet()
        name = _others(fleet)[0]
        fleet.network.cut([fleet.home()], _others(fleet))
        held = await fleet.serve(name, 100, 40)
        self.assertIsInstance(held, Reservation)
        self.assertNotIsInstance(held, HomeReservation)

    async def test_a_home_that_died_and_its_successor(self):
        """Guards against a team that gets more than it paid for.

        A home reserves tokens for requests of other routers and dies. These
        requests go on and use the tokens, while the successor on the home's
        address returns what the home had not used. The home's reports must
        include the tokens reserved for others.
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
        successor = fleet.start(fleet.addresses[home])
        await fleet.run_round(successor)
        in_use = sum(one.tokens for one in held if isinstance(one, Reservation))
        self.assertEqual(in_use, 7000)
        self.assertGreaterEqual(await fleet.taken(), in_use)

    async def test_an_asking_router_that_died(self):
        """Guards against overspending, and against memory that fills up.

        A router dies with requests in progress whose tokens its home has
        reserved. These must be neither freed nor kept for ever.
        """
        fleet = _fleet()
        name = _others(fleet)[0]
        await fleet.clock.drive(fleet.routers[name].reserve(TEAM, 1000))
        home = fleet.routers[fleet.home()]
        fleet.kill(name)
        home.parts.home_server.charge_lost()
        fleet.clock.seconds += 200
        home.parts.home_server.charge_lost()
        ledger = home.book.ledgers[TEAM]
        self.assertEqual((ledger.reserved, ledger.billed), (0, 1000))
        self.assertFalse(home.parts.home_server.has_reservations())

    async def test_an_ask_that_was_given_up(self):
        """Guards against charging tokens that were not used.

        An ask waits at the home, and its caller disconnects. The home is
        told so before it reserves the tokens, and must not keep them
        reserved.
        """
        fleet = _fleet()
        home, name = fleet.home(), _others(fleet)[0]
        member = fleet.routers[name].net.me
        home_server = fleet.routers[home].parts.home_server
        await home_server._handle_used(member, TokensUsed((7,), (0,)))
        ask = TokensAsk(7, TEAM, 1000)
        answer = await fleet.clock.drive(home_server._handle_ask(member, ask))
        self.assertFalse(answer.granted)
        ledger = _home_ledger(fleet)
        self.assertEqual((ledger.reserved, ledger.billed), (0, 0))

    async def test_unanswered_settlements_are_sent_again(self):
        fleet = _fleet()
        name = _others(fleet)[0]
        await fleet.serve(name, 1000, 40)
        fleet.network.answers_lost[TokensUsed] = 1
        await self.settle(fleet)
        await self.settle(fleet)
        ledger = _home_ledger(fleet)
        self.assertEqual((ledger.reserved, ledger.billed), (0, 40))

    async def test_zones_that_are_cut_off_continue(self):
        """Guards against a zone that refuses all requests while cut off.

        Zones lose the connection to each other and to the table service.
        Each zone must have a home of its own that holds tokens.
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
                await fleet.run_round(fleet.home(zone=zone))
        names = list(fleet.routers)
        fleet.network.cut(names[:_ROUTERS_PER_ZONE], names[_ROUTERS_PER_ZONE:])
        for connection in fleet.connections.values():
            connection.open = False
        fleet.clock.seconds += 3
        served = [await fleet.serve(one, 100, 100) for one in names]
        refused = [one for one in served if isinstance(one, BudgetFault)]
        self.assertEqual(refused, [])

    @parameterized.expand([('served', True), ('refused', False)])
    async def test_a_request_cancelled_while_its_ask_waits(
        self,
        _name,
        answered,
    ):
        fleet = _fleet()
        name = _others(fleet)[0]
        fleet.network.held = {TokensAsk}
        router = fleet.routers[name]
        work = asyncio.ensure_future(router.reserve(TEAM, 500))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        if answered:
            fleet.network.release()
            await fleet.clock.drive(asyncio.sleep(0))
        await self.settle(fleet)
        await fleet.clock.drive(asyncio.sleep(0))
        ledgers = fleet.routers[fleet.home()].book.ledgers
        reserved = ledgers[TEAM].reserved if TEAM in ledgers else 0
        self.assertEqual(reserved, 0)

    async def test_a_leaving_home_waits_for_reserved_tokens(self):
        fleet = _fleet()
        name, home = _others(fleet)[0], fleet.home()
        held = await fleet.clock.drive(fleet.routers[name].reserve(TEAM, 500))
        leaver = fleet.routers[home]
        self.assertTrue(leaver.parts.home_server.has_reservations())
        fleet.routers[name].charge(held, 20)
        await self.settle(fleet)
        await fleet.clock.drive(leaver.leave(fleet.clock.seconds + 5))
        self.assertEqual(await fleet.taken(), 20)

    async def test_draws_made_before_the_home_was_known_are_returned(self):
        """Guards against teams out of budget soon after all hosts started.

        Routers that don't know each other yet draw for themselves and agree
        on hubs later. Each of them must return its smallest draw then.
        """
        fleet = _fleet(prepaid=10_000)
        fleet.network.hubs_per_zone = 0
        for name in fleet.routers:
            await fleet.serve(name, 100, 40)
        self.assertGreater(await fleet.taken(), 800)
        fleet.network.hubs_per_zone = 2
        for name in _others(fleet):
            await fleet.report(name)
            await fleet.run_round(name)
        held = _home_ledger(fleet).granted
        self.assertEqual(
            await fleet.taken(),
            40 * (_ROUTERS_PER_ZONE - 1) + held,
        )
        # From then on these routers make no calls to the table service.
        before = _service_calls(fleet)
        for other in _others(fleet):
            await fleet.run_round(other)
        self.assertEqual(_service_calls(fleet), before)

    async def test_a_home_holds_tokens_before_the_first_request(self):
        """Guards against first requests that wait, and a burst of calls.

        All hosts start, and then requests of all teams arrive at once. None
        of them may have to wait for a draw and a report of its own.
        """
        fleet = _fleet()
        fleet.teams = (TEAM,)
        for _ in range(3):
            for name in fleet.routers:
                await fleet.report(name)
                await fleet.run_round(name)
        before = _service_calls(fleet)
        for name in _others(fleet):
            held = await fleet.serve(name, 100, 40)
            self.assertIsInstance(held, HomeReservation)
        self.assertEqual(_service_calls(fleet), before)
        holders = {
            one
            for one, router in fleet.routers.items()
            if TEAM in router.book.ledgers
        }
        self.assertEqual(holders, {fleet.home()})

    async def test_no_tokens_are_drawn_ahead_for_too_many_teams(self):
        fleet = _fleet()
        fleet.teams = tuple(f'team-{number}' for number in range(900))
        for name in fleet.routers:
            await fleet.run_round(name)
        held = [router.book.ledgers for router in fleet.routers.values()]
        self.assertFalse(any(held))
