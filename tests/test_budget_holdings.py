"""Tests of budgets where nothing is recorded request by request."""

import asyncio
import random
import unittest

from parameterized import parameterized

from balsamreach.budget.account import account_key, allotment_key
from balsamreach.budget.adaptive_sizing import AdaptiveSizing
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.holdings_parts import report_interval
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.rate import Rate
from tests.budget_world import VirtualClock
from tests.fake_net import FakeNet
from tests.holdings_fleet import CFG, TEAM, Fleet


class HoldingsTest(unittest.IsolatedAsyncioTestCase):
    """Spending stays within the prepaid tokens, whichever router dies."""

    async def test_spending_stops_at_the_prepaid_tokens(self):
        fleet = Fleet(1000)
        names = [fleet.start() for _ in range(3)]
        for number in range(60):
            await fleet.serve(names[number % 3], 50, 50)
        self.assertEqual(fleet.spent, 1000)

    async def test_spent_tokens_of_a_dead_router_are_not_spent_again(self):
        """Guards against a team that gets more than it paid for.

        A router dies with tokens that it had spent and not recorded, and a
        new router draws. The tokens of the dead one must not return to the
        account.
        """
        fleet = Fleet(1000)
        name = fleet.start()
        await fleet.serve(name, 300, 300)
        fleet.kill(name)
        name = fleet.start()
        for _ in range(40):
            await fleet.serve(name, 50, 50)
        self.assertLessEqual(fleet.spent, 1000)
        self.assertGreaterEqual(await fleet.taken(), fleet.spent)

    async def test_unused_tokens_of_a_dead_router_are_returned(self):
        """Guards against teams that are out of budget after a power loss.

        A router holds most of a budget and has used little of it. Its host
        loses power and starts again two seconds later. Not all that the
        router held may count as spent.
        """
        fleet = Fleet(10_000)
        name = await self.start_successor(fleet)
        await fleet.run_round(name)
        self.assertLess(await fleet.taken(), 1500)

    async def start_successor(self, fleet):
        """Kill a router that holds most, and return its successor."""
        name = fleet.start()
        await fleet.serve(name, 3000, 100)
        await fleet.report(name)
        fleet.kill(name)
        fleet.clock.seconds += 2
        return fleet.start(fleet.addresses[name])

    async def interrupt_store(self, fleet):
        """Cut all routers off from the table service for a moment."""
        for is_open in (False, True):
            for connection in fleet.connections.values():
                connection.open = is_open
            await fleet.clock.sleep(0.35)

    async def test_tokens_are_returned_before_the_first_round(self):
        """Guards against refusals in the first second after a start.

        As above, with a table service that answers only after a moment. The
        successor must not wait for its first round to return the tokens of
        the dead router.
        """
        fleet = Fleet(10_000)
        name = await self.start_successor(fleet)
        parts = fleet.routers[name].parts
        closing = parts.predecessor_closer.close_when_available(parts.book)
        await fleet.clock.drive(
            asyncio.gather(closing, self.interrupt_store(fleet)),
        )
        self.assertLess(await fleet.taken(), 1500)

    @parameterized.expand(
        [
            ('early', 4000, 0.85),
            ('past the middle', 30_000, 0.85),
            ('near the end', 52_000, 0.6),
        ]
    )
    async def test_all_hosts_lose_power(self, _name, spent, least):
        """Guards against teams that are out of budget after a power loss.

        Four routers hold what their requests need during a long outage of
        the table service. All hosts lose power at once and come back. Not
        all of the unused tokens may count as spent.
        """
        fleet = Fleet(60_000)
        names = [fleet.start() for _ in range(4)]
        turn = 0
        while fleet.spent < spent:
            turn += 1
            fleet.clock.seconds += 0.1
            name = names[turn % 4]
            await fleet.serve(name, 150, 100)
            await fleet.report(name)
            await fleet.run_round(name)
        for name in names:
            fleet.kill(name)
        fleet.clock.seconds += 2
        for name in names:
            successor = fleet.start(fleet.addresses[name])
            await fleet.run_round(successor)
        left = fleet.prepaid - await fleet.taken()
        self.assertGreater(left, (fleet.prepaid - fleet.spent) * least)
        self.assertGreaterEqual(await fleet.taken(), fleet.spent)

    async def test_time_without_reports_counts_as_use(self):
        """Guards against a team that gets more than it paid for.

        A router that is cut off from the table service serves from what it
        holds until its host loses power. Its successor returns tokens by its
        last report, and must allow for use after that report.
        """
        fleet = Fleet(10_000)
        name = fleet.start()
        await fleet.serve(name, 3000, 10)
        await fleet.report(name)
        fleet.connections[name].open = False
        for _ in range(12):
            fleet.clock.seconds += 1
            await fleet.serve(name, 200, 200)
        self.assertGreater(fleet.spent, 1500)
        fleet.kill(name)
        name = fleet.start(fleet.addresses[name])
        await fleet.run_round(name)
        self.assertGreaterEqual(await fleet.taken(), fleet.spent)

    async def test_the_service_clock_goes_back(self):
        """Guards against a team that gets more than it paid for.

        A router serves without the table service and dies. The service
        restarts with a clock that is behind, and a successor takes over. The
        last report then appears to be later than the death, which must not
        count as no time without reports.
        """
        fleet = Fleet(10_000)
        name = fleet.start()
        await fleet.serve(name, 3000, 10)
        await fleet.report(name)
        fleet.connections[name].open = False
        fleet.clock.seconds += 12
        await fleet.serve(name, 2500, 2500)
        self.assertGreater(fleet.spent, 2000)
        fleet.kill(name)
        fleet.clock_lead -= 600
        name = fleet.start(fleet.addresses[name])
        await fleet.run_round(name)
        self.assertGreaterEqual(await fleet.taken(), fleet.spent)

    async def test_a_request_waits_for_tokens_about_to_become_usable(self):
        """Guards against refusals at the start of an outage.

        A request arrives while the table service is cut off. Too few tokens
        are usable at that moment, but enough will be before its wait ends.
        """
        fleet = Fleet(10_000)
        name = fleet.start()
        await fleet.serve(name, 3000, 10)
        await fleet.report(name)
        fleet.connections[name].open = False
        fleet.clock.seconds += 1.2
        ledger = fleet.routers[name].book.ledger(TEAM)
        wanted = ledger.limiter.room(ledger, 0.2)
        self.assertGreater(wanted, ledger.limiter.room(ledger))
        held = await fleet.serve(name, wanted, 0)
        self.assertIsInstance(held, Reservation)

    async def test_a_burst_before_an_outage_is_noticed(self):
        """Guards against refusals at a router that holds plenty.

        A team has used little of its budget. The table service goes away,
        and a burst of requests arrives before the outage is noticed. If
        reports covered only the spending until the next one, the rest of the
        tokens would not be usable yet.
        """
        fleet = Fleet(60_000)
        name = fleet.start()
        await fleet.serve(name, 1000, 500)
        await fleet.run_round(name)
        await fleet.report(name)
        fleet.connections[name].open = False
        served = [await fleet.serve(name, 1000, 500) for _ in range(3)]
        for held in served:
            self.assertIsInstance(held, Reservation)

    async def test_peers_lend_during_an_outage(self):
        """Guards against refusals although the budget has room.

        All routers are cut off from the table service. The team's requests
        arrive at one that holds little and must ask those that hold plenty.
        """
        fleet = Fleet(10_000)
        rich, poor = fleet.start(), fleet.start()
        await fleet.serve(rich, 2000, 10)
        for connection in fleet.connections.values():
            connection.open = False
        held = await fleet.serve(poor, 1000, 1000)
        self.assertIsInstance(held, Reservation)
        self.assertLessEqual(fleet.spent, await fleet.taken())

    async def test_a_lender_without_tokens_answers_at_once(self):
        """Guards against refusals in a large fleet near a budget's end.

        A request asks sixteen peers in turn, and none has a token. A peer
        must not write a report before it answers.
        """
        fleet = Fleet(1000)
        names = [fleet.start() for _ in range(3)]
        for name in names:
            await fleet.serve(name, 300, 300)
            await fleet.report(name)
        fleet.prepaid = 900
        before = [fleet.connections[peer].commits for peer in names[1:]]
        held = await fleet.serve(names[0], 400, 400)
        self.assertIsInstance(held, BudgetFault)
        after = [fleet.connections[peer].commits for peer in names[1:]]
        self.assertEqual(after, before)

    async def test_a_router_that_leaves_during_an_outage(self):
        """Guards against teams out of budget after a rolling restart.

        Routers are restarted in turn while the table service is cut off.
        Their tokens can't be returned and must not be lost.
        """
        fleet = Fleet(10_000)
        leaves, stays = fleet.start(), fleet.start()
        await fleet.serve(leaves, 2000, 10)
        for connection in fleet.connections.values():
            connection.open = False
        await fleet.clock.drive(fleet.routers[leaves].leave())
        fleet.kill(leaves)
        held = await fleet.serve(stays, 1900, 1900)
        self.assertIsInstance(held, Reservation)
        self.assertLessEqual(fleet.spent, await fleet.taken())

    async def test_requests_do_not_wait_for_a_known_outage(self):
        """Guards against requests that wait for a silent table service.

        The service stopped answering a second ago. A request must not try a
        draw of its own before it asks peers.
        """
        fleet = Fleet(10_000)
        name = fleet.start()
        await fleet.serve(name, 10, 10)
        fleet.routers[name].book.is_away = lambda: True
        before = fleet.clock.now()
        held = await fleet.serve(name, 9000, 0)
        self.assertIsInstance(held, BudgetFault)
        self.assertLess(fleet.clock.now() - before, CFG.draw_wait)

    async def test_a_draw_reads_only_the_account(self):
        """A router's own row, written last by itself, is not read again."""
        fleet = Fleet(100_000)
        name = fleet.start()
        await fleet.serve(name, 100, 100)
        connection = fleet.connections[name]
        connection.read_keys.clear()
        await fleet.serve(name, 60_000, 0)
        self.assertIn(account_key(TEAM), connection.read_keys)
        self.assertNotIn(allotment_key(name, TEAM), connection.read_keys)

    async def test_a_loan_recorded_by_the_borrower(self):
        """Guards against tokens that are spent twice after a loan.

        A borrower records its loan in the lender's row, and the lender then
        draws based on its cached row. Its write must not undo the record.
        """
        fleet = Fleet(3000)
        lender, borrower = fleet.start(), fleet.start()
        await fleet.serve(lender, 2500, 100)
        fleet.prepaid = 2600
        held = await fleet.serve(borrower, 1000, 1000)
        self.assertIsInstance(held, Reservation)
        await fleet.run_round(borrower)
        fleet.prepaid = 9000
        fleet.clock.seconds += 5
        await fleet.serve(lender, 4000, 4000)
        rows = await fleet.platform.table.read((allotment_key(lender, TEAM),))
        self.assertGreater(rows[0].value['lent'], 0)
        self.assertLessEqual(fleet.spent, await fleet.taken())

    async def test_leaving_returns_unused_tokens(self):
        fleet = Fleet(1000)
        name = fleet.start()
        await fleet.serve(name, 200, 150)
        await fleet.clock.drive(fleet.routers[name].leave())
        self.assertEqual(await fleet.taken(), 150)

    async def test_a_top_up_is_available_at_once(self):
        fleet = Fleet(100)
        name = fleet.start()
        self.assertIsInstance(await fleet.serve(name, 150, 0), BudgetFault)
        fleet.prepaid = 300
        fleet.clock.seconds += 5
        self.assertIsInstance(await fleet.serve(name, 150, 0), Reservation)

    @parameterized.expand([(seed,) for seed in range(40)])
    async def test_random_histories(self, seed):
        """Kills, partitions, lost answers, loans: never over the budget."""
        fleet = Fleet(20_000, seed)
        rng = random.Random(seed)
        for _ in range(4):
            fleet.start()
        for _ in range(120):
            await _step(fleet, rng)
            self.assertLessEqual(fleet.spent, fleet.prepaid)
        self.assertGreater(fleet.spent, 0)


async def _step(fleet: Fleet, rng: random.Random) -> None:
    name = rng.choice(sorted(fleet.routers))
    steps = {
        _serve: 70,
        _round: 15,
        _toggle_store: 5,
        _lose_answer: 4,
        _restart: 3,
        _leave: 3,
        _cut_peers: 3,
    }
    step = rng.choices(tuple(steps), tuple(steps.values()))[0]
    done = step(fleet, name, rng)
    if done is not None:
        await done


async def _leave(fleet: Fleet, name: str, _rng: random.Random) -> None:
    await fleet.clock.drive(fleet.routers[name].leave())
    fleet.kill(name)
    fleet.start(fleet.addresses[name])


async def _serve(fleet: Fleet, name: str, rng: random.Random) -> None:
    tokens = rng.randrange(1, 900)
    await fleet.serve(name, tokens, rng.randrange(tokens + 1))


async def _round(fleet: Fleet, name: str, _rng: random.Random) -> None:
    await fleet.run_round(name)


def _toggle_store(fleet: Fleet, name: str, _rng: random.Random) -> None:
    fleet.connections[name].open = not fleet.connections[name].open


def _lose_answer(fleet: Fleet, _name: str, _rng: random.Random) -> None:
    fleet.platform.weather.lose_answers = 1


def _restart(fleet: Fleet, name: str, rng: random.Random) -> None:
    fleet.kill(name)
    fleet.clock.seconds += rng.choice((0.1, 2, 8))
    fleet.start(fleet.addresses[name])


def _cut_peers(fleet: Fleet, name: str, rng: random.Random) -> None:
    fleet.network.heal()
    if rng.choice((True, False)):
        others = [one for one in fleet.routers if one != name]
        fleet.network.cut([name], others)


class ReportIntervalTest(unittest.TestCase):
    """A large fleet's reports stay within the table service's capacity."""

    @parameterized.expand([(8, 0.5), (50, 0.5), (910, 9.1)])
    def test_by_routers(self, routers, expected):
        network = FakeNet()
        nets = [network.join(f'router-{number}') for number in range(routers)]
        self.assertAlmostEqual(report_interval(CFG, nets[0]), expected)


class AdaptiveSizingTest(unittest.TestCase):
    """Held tokens cover an outage, and shrink with the budget."""

    def desired_tokens(self, free, routers=910):
        clock = VirtualClock()
        ledger = Ledger(TEAM, Rate(clock.now(), 5), account_free=free)
        for _ in range(10):
            clock.seconds += 1
            ledger.rate.add(100, clock.now())
        sizing = AdaptiveSizing(
            CFG,
            clock,
            prepaid=lambda _team: 100_000,
            is_holder=lambda _team: True,
            count_holders=lambda: routers,
        )
        return sizing.desired_tokens(ledger)

    def test_with_a_full_budget(self):
        self.assertAlmostEqual(
            self.desired_tokens(free=100_000),
            900,
            delta=150,
        )

    def test_with_little_of_the_budget_left(self):
        """Guards against teams that are out of budget after a power loss.

        All hosts lose power when routers hold the last tokens. So a router
        must hold fewer when less is left.
        """
        early = self.desired_tokens(free=100_000)
        self.assertLess(self.desired_tokens(free=3000), early / 3)
        self.assertEqual(
            self.desired_tokens(free=3000, routers=6),
            self.desired_tokens(free=3000),
        )
        self.assertLess(self.desired_tokens(free=100), 36)

    @parameterized.expand(
        [
            ('all of it free', 100_000, 5000),
            ('half of it free', 50_000, 1250),
            ('a third of it free', 33_000, 900),
        ]
    )
    def test_a_team_that_hardly_used_this_router(self, _, free, expected):
        """Guards against refusing a team while most of its budget is free.

        The table service goes away from six routers, and a team's callers
        move to a router that they have hardly used. It must hold more than
        that past use calls for.
        """
        held = self.desired_tokens(free=free, routers=6)
        self.assertAlmostEqual(held, expected, delta=150)
