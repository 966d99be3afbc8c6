"""Tests of budgets where nothing is recorded request by request."""

import asyncio
import random
import unittest

from parameterized import parameterized

from balsamreach.budget.account import account_key, allotment_key
from balsamreach.budget.covering import AdaptiveSizing
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.holdings_parts import report_interval
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.rate import Rate
from tests.budget_world import VirtualClock
from tests.fake_net import FakeNet
from tests.holdings_fleet import CFG, TEAM, Fleet


class HoldingsTest(unittest.IsolatedAsyncioTestCase):
    """Spending stays within what is prepaid, whoever dies."""

    async def test_nothing_is_spent_beyond_the_prepaid(self):
        fleet = Fleet(1000)
        names = [fleet.start() for _ in range(3)]
        for number in range(60):
            await fleet.serve(names[number % 3], 50, 50)
        self.assertEqual(fleet.spent, 1000)

    async def test_what_a_dead_router_held_is_not_spent_again(self):
        """Symptom: a team gets more than it paid for.

        Sequence: a router dies with tokens that it had spent and never
        recorded; the next one on its address draws.
        Cause: what the dead one held went back to the account.
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

    async def test_what_a_dead_router_had_not_used_comes_back(self):
        """Symptom: after a loss of power teams are out of budget.

        Sequence: a router holds most of a budget and has used little of it;
        its host loses power and starts again two seconds later.
        Cause: all that it held counted as spent.
        """
        fleet = Fleet(10_000)
        name = await self.succeed(fleet)
        await fleet.round(name)
        self.assertLess(await fleet.taken(), 1500)

    async def succeed(self, fleet):
        """Let a router die that holds most, and return its successor."""
        name = fleet.start()
        await fleet.serve(name, 3000, 100)
        await fleet.report(name)
        fleet.kill(name)
        fleet.clock.seconds += 2
        return fleet.start(fleet.addresses[name])

    async def answers(self, fleet):
        """Let the store be away from all for a moment."""
        for is_open in (False, True):
            for gate in fleet.gates.values():
                gate.open = is_open
            await fleet.clock.sleep(0.35)

    async def test_it_comes_back_before_the_first_round(self):
        """Symptom: requests are refused in the first second after a start.

        Sequence: the same; the store answers at once, or a moment later.
        Cause: what the dead one held was looked for in the first round only.
        """
        fleet = Fleet(10_000)
        name = await self.succeed(fleet)
        parts = fleet.routers[name].parts
        inherit = parts.succession.inherit(parts.book)
        await fleet.clock.drive(asyncio.gather(inherit, self.answers(fleet)))
        self.assertLess(await fleet.taken(), 1500)

    @parameterized.expand(
        [
            ('early', 4000, 0.85),
            ('past the middle', 30_000, 0.85),
            ('near the end', 52_000, 0.6),
        ]
    )
    async def test_all_hosts_lose_power(self, _name, spent, least):
        """Symptom: after a power loss all teams are out of budget.

        Sequence: four routers hold what their requests need for a store that
        is away for long; all hosts lose power at once and come back.
        Cause: what they held and had not used counted as spent.
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
            await fleet.round(name)
        for name in names:
            fleet.kill(name)
        fleet.clock.seconds += 2
        for name in names:
            after = fleet.start(fleet.addresses[name])
            await fleet.round(after)
        left = fleet.prepaid - await fleet.taken()
        self.assertGreater(left, (fleet.prepaid - fleet.spent) * least)
        self.assertGreaterEqual(await fleet.taken(), fleet.spent)

    async def test_silence_before_a_death_counts_as_use(self):
        """Symptom: a team gets more than it paid for.

        Sequence: the store is cut off from a router, which serves on from
        what it holds; its power fails; the next router on its address gives
        back what it held by its last report.
        Cause: what it used after that report was not counted.
        """
        fleet = Fleet(10_000)
        name = fleet.start()
        await fleet.serve(name, 3000, 10)
        await fleet.report(name)
        fleet.gates[name].open = False
        for _ in range(12):
            fleet.clock.seconds += 1
            await fleet.serve(name, 200, 200)
        self.assertGreater(fleet.spent, 1500)
        fleet.kill(name)
        name = fleet.start(fleet.addresses[name])
        await fleet.round(name)
        self.assertGreaterEqual(await fleet.taken(), fleet.spent)

    async def test_the_service_clock_goes_back(self):
        """Symptom: a team gets more than it paid for.

        Sequence: a router serves on without the store and dies; the service
        starts anew with a clock that is behind; the next router takes over.
        Cause: the last report seemed to come from after the death, which
        passed for no silence at all.
        """
        fleet = Fleet(10_000)
        name = fleet.start()
        await fleet.serve(name, 3000, 10)
        await fleet.report(name)
        fleet.gates[name].open = False
        fleet.clock.seconds += 12
        await fleet.serve(name, 2500, 2500)
        self.assertGreater(fleet.spent, 2000)
        fleet.kill(name)
        fleet.lead -= 600
        name = fleet.start(fleet.addresses[name])
        await fleet.round(name)
        self.assertGreaterEqual(await fleet.taken(), fleet.spent)

    async def test_a_request_waits_for_what_opens(self):
        """Symptom: requests are refused as the store goes away.

        Sequence: the store is cut off; a request comes for which too little
        has opened yet, though enough will have in a moment.
        Cause: nobody reckoned with what opens while it may wait.
        """
        fleet = Fleet(10_000)
        name = fleet.start()
        await fleet.serve(name, 3000, 10)
        await fleet.report(name)
        fleet.gates[name].open = False
        fleet.clock.seconds += 1.2
        ledger = fleet.routers[name].book.ledger(TEAM)
        wanted = ledger.limiter.room(ledger, 0.2)
        self.assertGreater(wanted, ledger.limiter.room(ledger))
        held = await fleet.serve(name, wanted, 0)
        self.assertIsInstance(held, Reservation)

    async def test_the_first_moment_of_an_outage(self):
        """Symptom: requests are refused though their router holds plenty.

        Sequence: a team has used little of its budget; the store goes away,
        and a clump of requests comes before anybody knows.
        Cause: only the next moment's spending had been promised, so the rest
        of what was held could not be used yet.
        """
        fleet = Fleet(60_000)
        name = fleet.start()
        await fleet.serve(name, 1000, 500)
        await fleet.round(name)
        await fleet.report(name)
        fleet.gates[name].open = False
        served = [await fleet.serve(name, 1000, 500) for _ in range(3)]
        for held in served:
            self.assertIsInstance(held, Reservation)

    async def test_peers_lend_while_the_store_is_away(self):
        """Symptom: requests are refused although the budget has room.

        Sequence: the store is cut off from all routers; the team's requests
        come through one that holds little, while others hold plenty.
        Cause: nobody asked the others.
        """
        fleet = Fleet(10_000)
        rich, poor = fleet.start(), fleet.start()
        await fleet.serve(rich, 2000, 10)
        for gate in fleet.gates.values():
            gate.open = False
        held = await fleet.serve(poor, 1000, 1000)
        self.assertIsInstance(held, Reservation)
        self.assertLessEqual(fleet.spent, await fleet.taken())

    async def test_a_lender_without_tokens_answers_at_once(self):
        """Symptom: in a large fleet requests are refused near a budget's end.

        Sequence: a request asks sixteen peers in turn; none has a token.
        Cause: each made a report to the store before it said so.
        """
        fleet = Fleet(1000)
        names = [fleet.start() for _ in range(3)]
        for name in names:
            await fleet.serve(name, 300, 300)
            await fleet.report(name)
        fleet.prepaid = 900
        before = [fleet.gates[peer].commits for peer in names[1:]]
        held = await fleet.serve(names[0], 400, 400)
        self.assertIsInstance(held, BudgetFault)
        after = [fleet.gates[peer].commits for peer in names[1:]]
        self.assertEqual(after, before)

    async def test_a_router_that_leaves_while_the_store_is_away(self):
        """Symptom: after a rolling restart teams are out of budget.

        Sequence: the store is cut off; routers are restarted in turn.
        Cause: what each held could not be handed back, and was lost.
        """
        fleet = Fleet(10_000)
        leaves, stays = fleet.start(), fleet.start()
        await fleet.serve(leaves, 2000, 10)
        for gate in fleet.gates.values():
            gate.open = False
        await fleet.clock.drive(fleet.routers[leaves].leave())
        fleet.kill(leaves)
        held = await fleet.serve(stays, 1900, 1900)
        self.assertIsInstance(held, Reservation)
        self.assertLessEqual(fleet.spent, await fleet.taken())

    async def test_known_outage_holds_nobody_up(self):
        """Symptom: requests wait for a store that doesn't answer.

        Sequence: the store went silent a second ago; requests come.
        Cause: each tried a draw of its own before its peers were asked.
        """
        fleet = Fleet(10_000)
        name = fleet.start()
        await fleet.serve(name, 10, 10)
        fleet.routers[name].book.is_away = lambda: True
        before = fleet.clock.now()
        held = await fleet.serve(name, 9000, 0)
        self.assertIsInstance(held, BudgetFault)
        self.assertLess(fleet.clock.now() - before, CFG.draw_wait)

    async def test_a_draw_reads_the_account_alone(self):
        """What a router wrote last in its own row is not read again."""
        fleet = Fleet(100_000)
        name = fleet.start()
        await fleet.serve(name, 100, 100)
        gate = fleet.gates[name]
        gate.read_keys.clear()
        await fleet.serve(name, 60_000, 0)
        self.assertIn(account_key(TEAM), gate.read_keys)
        self.assertNotIn(allotment_key(name, TEAM), gate.read_keys)

    async def test_a_loan_recorded_meanwhile(self):
        """Symptom: tokens are spent twice after a loan.

        Sequence: a borrower records its loan in the lender's row; the lender
        draws by what it wrote there before.
        Cause: the lender's write undid the loan's record.
        """
        fleet = Fleet(3000)
        lender, borrower = fleet.start(), fleet.start()
        await fleet.serve(lender, 2500, 100)
        fleet.prepaid = 2600
        held = await fleet.serve(borrower, 1000, 1000)
        self.assertIsInstance(held, Reservation)
        await fleet.round(borrower)
        fleet.prepaid = 9000
        fleet.clock.seconds += 5
        await fleet.serve(lender, 4000, 4000)
        rows = await fleet.platform.table.read((allotment_key(lender, TEAM),))
        self.assertGreater(rows[0].value['lent'], 0)
        self.assertLessEqual(fleet.spent, await fleet.taken())

    async def test_a_graceful_end_hands_back(self):
        fleet = Fleet(1000)
        name = fleet.start()
        await fleet.serve(name, 200, 150)
        await fleet.clock.drive(fleet.routers[name].leave())
        self.assertEqual(await fleet.taken(), 150)

    async def test_a_top_up_is_there_at_once(self):
        fleet = Fleet(100)
        name = fleet.start()
        self.assertIsInstance(await fleet.serve(name, 150, 0), BudgetFault)
        fleet.prepaid = 300
        fleet.clock.seconds += 5
        self.assertIsInstance(await fleet.serve(name, 150, 0), Reservation)

    @parameterized.expand([(seed,) for seed in range(40)])
    async def test_random_histories(self, seed):
        """Kills, cuts, lost answers, loans: never past the budget."""
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
        _draw: 15,
        _cut_store: 5,
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


async def _draw(fleet: Fleet, name: str, _rng: random.Random) -> None:
    await fleet.round(name)


def _cut_store(fleet: Fleet, name: str, _rng: random.Random) -> None:
    fleet.gates[name].open = not fleet.gates[name].open


def _lose_answer(fleet: Fleet, _name: str, _rng: random.Random) -> None:
    fleet.platform.weather.lose_answers = 1


def _restart(fleet: Fleet, name: str, rng: random.Random) -> None:
    fleet.kill(name)
    fleet.clock.seconds += rng.choice((0.1, 2, 8))
    fleet.start(fleet.addresses[name])


def _cut_peers(fleet: Fleet, name: str, rng: random.Random) -> None:
    fleet.fabric.heal()
    if rng.choice((True, False)):
        others = [one for one in fleet.routers if one != name]
        fleet.fabric.cut([name], others)


class ReportIntervalTest(unittest.TestCase):
    """A large fleet reports no more often than the store bears."""

    @parameterized.expand([(8, 0.5), (50, 0.5), (910, 9.1)])
    def test_by_routers(self, routers, expected):
        fabric = FakeNet()
        nets = [fabric.join(f'router-{number}') for number in range(routers)]
        self.assertAlmostEqual(report_interval(CFG, nets[0]), expected)


class CoveringTest(unittest.TestCase):
    """What is held covers an outage, and shrinks with the budget."""

    def ledger(self, free, routers=910):
        clock = VirtualClock()
        ledger = Ledger(TEAM, Rate(clock.now(), 5), account_free=free)
        for _ in range(10):
            clock.seconds += 1
            ledger.rate.add(100, clock.now())
        covering = AdaptiveSizing(
            CFG,
            clock,
            prepaid=lambda _team: 100_000,
            is_holder=lambda _team: True,
            count_holders=lambda: routers,
        )
        return covering.desired_tokens(ledger)

    def test_early_in_a_budget(self):
        self.assertAlmostEqual(self.ledger(free=100_000), 900, delta=150)

    def test_towards_its_end(self):
        """Symptom: after a power loss all teams are out of budget.

        Sequence: the last tokens are shared out among all routers; then
        the power of all hosts fails.
        Cause: the cover was the same however little was left.
        """
        early = self.ledger(free=100_000)
        self.assertLess(self.ledger(free=3000), early / 3)
        self.assertEqual(
            self.ledger(free=3000, routers=6),
            self.ledger(free=3000),
        )
        self.assertLess(self.ledger(free=100), 36)

    @parameterized.expand(
        [
            ('all of it free', 100_000, 5000),
            ('half of it free', 50_000, 1250),
            ('a third of it free', 33_000, 900),
        ]
    )
    def test_a_team_that_hardly_used_this_router(self, _, free, expected):
        """Symptom: a new team is refused while most of its budget is free.

        Sequence: the store goes away from six routers; a team's callers,
        who went through another one so far, come to this one.
        Cause: each held what the team used there, which was hardly anything.
        """
        held = self.ledger(free=free, routers=6)
        self.assertAlmostEqual(held, expected, delta=150)
