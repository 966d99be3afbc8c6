"""Tests of budgets whose home has no tokens or no table service."""

import asyncio
import unittest
from unittest import mock

import attrs
from parameterized import parameterized

from balsamreach.budget.faults import NO_ALLOTMENT
from balsamreach.budget.home_client import HomeReservation
from balsamreach.budget.homes import homes_of
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.rate import Rate
from balsamreach.budget.shortages import Shortages, arrived_tokens
from balsamreach.budget.usage import UsageLimiter
from balsamreach.budget.waiters import Waiter
from balsamreach.services.faults import UNREACHABLE
from balsamreach.wire.loans import LoanAsk, LoanGrant
from balsamreach.wire.tokens import TokensAsk, TokensGrant
from tests.budget_world import SwitchedService
from tests.fake_net import FakeNet
from tests.holdings_fleet import TEAM, Fleet
from tests.support import FakeClock
from tests.virtual_loop import LoopClock, virtual

_ROUTERS = 8
#: Longest time of a refused reservation; the rest is rounding of floats.
_BOUND_S = 0.7 + 1e-6
_AT_ONCE_S = 0.05


class _HangingService(SwitchedService):
    """A table service that answers no call in time."""

    async def commit(self, change):
        """Fail after ten seconds."""
        await asyncio.sleep(10)
        return UNREACHABLE

    async def read(self, keys):
        """Fail after ten seconds."""
        await asyncio.sleep(10)
        return UNREACHABLE


@attrs.define(eq=False)
class _Zone:
    """A zone's home, its other hub and a router that asks them."""

    fleet: Fleet
    home: str = ''
    other: str = ''
    asker: str = ''

    def __attrs_post_init__(self):
        for _ in range(_ROUTERS):
            self.fleet.start()
        net = next(iter(self.fleet.routers.values())).net
        hubs = [hub.incarnation for hub in homes_of(TEAM, net)]
        self.home = hubs[0]
        self.other = hubs[1]
        # The home could otherwise borrow where it can't draw.
        self.fleet.network.cut([self.home], [self.other])
        self.asker = next(one for one in self.fleet.routers if one not in hubs)

    def cut_store(self, *names):
        for name in names:
            self.fleet.connections[name].open = False

    def hang_store(self, *names):
        for name in names:
            connection = self.fleet.connections[name]
            connection.service = _HangingService(connection.service)

    async def reserve(self, tokens=100):
        """Reserve at the asker; return the outcome and the time it took."""
        began = self.fleet.clock.now()
        held = await self.fleet.routers[self.asker].reserve(TEAM, tokens)
        return held, self.fleet.clock.now() - began

    def asks(self):
        sent = self.fleet.network.sent
        return sum(isinstance(one, TokensAsk) for one in sent)

    def reserved_and_billed(self):
        """Return the sums over all routers alive."""
        ledgers = [
            router.book.ledger(TEAM) for router in self.fleet.routers.values()
        ]
        reserved = sum(ledger.reserved for ledger in ledgers)
        return reserved, sum(ledger.billed for ledger in ledgers)

    async def settle(self):
        for router in self.fleet.routers.values():
            await router.parts.home_client.settle()


@attrs.frozen
class _LateHubs:
    """A home that refuses after some seconds, and a hub that hangs."""

    home: str
    seconds: float

    async def ask(self, incarnation, _message, *_gaps):
        """Answer in place of a hub."""
        await asyncio.sleep(self.seconds if incarnation == self.home else 10)
        return TokensGrant(granted=False, code=NO_ALLOTMENT.code)


def _zone(prepaid=100_000):
    network = FakeNet(hubs_per_zone=2)
    return _Zone(Fleet(prepaid, clock=LoopClock(), network=network))


class HomeFailoverTest(unittest.TestCase):
    """A home's refusal for lack of its store isn't the last word."""

    @parameterized.expand(
        [
            ('home', 'cut_store', ('home',), 'other'),
            ('home hangs', 'hang_store', ('home',), 'other'),
            ('both hubs', 'cut_store', ('home', 'other'), 'here'),
            ('both hang', 'hang_store', ('home', 'other'), 'here'),
            ('all', 'cut_store', ('home', 'other', 'asker'), 'nobody'),
            ('all hang', 'hang_store', ('home', 'other', 'asker'), 'nobody'),
        ]
    )
    @virtual
    async def test_who_grants(self, _name, fault, names, expected):
        """Guards against refusals while another router reaches the store.

        Hubs lose the store or wait for it in vain. A refusal must come no
        later than it did when only the home was asked.
        """
        zone = _zone()
        getattr(zone, fault)(*(getattr(zone, one) for one in names))
        for _ in range(3):
            held, seconds = await zone.reserve()
            self.assertLessEqual(seconds, _BOUND_S)
            self.assertEqual(self.granted_by(zone, held), expected)

    def granted_by(self, zone, held):
        if isinstance(held, HomeReservation):
            return 'other' if held.home == zone.other else 'home'
        return 'here' if isinstance(held, Reservation) else 'nobody'

    @parameterized.expand(
        [
            ('idle link', 0, 0, 0.26),
            ('slow hub', 0, 0, 0.295),
            ('saturated link', 1, 1, 1.2),
            ('link saturated later', 0, 1, 0.2),
        ]
    )
    @virtual
    async def test_bound_with_a_delayed_link(self, _name, first, later, answer):
        """Guards against a request that waits for the link's delay twice.

        The home refuses after a while, the other hub doesn't answer, and this
        router has no store. The link's delay may rise meanwhile.
        """
        zone = _zone()
        zone.cut_store(zone.asker)
        router = zone.fleet.routers[zone.asker]
        client, began = router.parts.home_client, zone.fleet.clock.now()
        client.extra_seconds = lambda: (
            first if zone.fleet.clock.now() < began + 0.1 else later
        )

        hubs = _LateHubs(zone.home, answer)
        with mock.patch.object(type(router.net), 'ask', hubs.ask):
            held, seconds = await zone.reserve()
        self.assertEqual(held, NO_ALLOTMENT)
        self.assertLessEqual(seconds, _BOUND_S + first)
        # The other hub had less time than it may take to wait for tokens.
        asked = [hub.incarnation for hub in client.hubs_to_ask(TEAM)]
        self.assertIn(zone.other, asked)

    @virtual
    async def test_other_hub_is_asked_first_for_a_while(self):
        """Guards against a useless ask of the home before each request."""
        zone = _zone()
        zone.cut_store(zone.home)
        asks = []
        for pause in (0, 0.1, 0.6):
            await asyncio.sleep(pause)
            before = zone.asks()
            await zone.reserve()
            asks.append(zone.asks() - before)
        self.assertEqual(asks, [2, 1, 2])

    @parameterized.expand(
        [
            (f'{fault}, {"other hub" if moved else "home"}', fault, moved)
            for fault in ('lost', 'answers_lost', 'doubled', 'late', 'death')
            for moved in (False, True)
        ]
    )
    @virtual
    async def test_nothing_stays_reserved(self, _name, fault, moved):
        """Guards against tokens lost or charged twice.

        The ask of the hub that is asked first is lost, doubled or late, its
        answer is lost, or it dies before it answers. The request gets its
        tokens elsewhere; what the first hub reserved must be freed.
        """
        zone = _zone()
        if moved:
            zone.cut_store(zone.home)
            await self.finish(zone, await zone.reserve())
        work = asyncio.ensure_future(zone.reserve())
        await self.inject(zone, fault, zone.other if moved else zone.home)
        await self.finish(zone, await work)
        zone.fleet.network.release()
        await asyncio.sleep(1)
        reserved, billed = zone.reserved_and_billed()
        self.assertEqual(reserved, 0)
        killed = moved and fault == 'death'
        self.assertEqual(billed, 40 * (1 + moved - killed))

    async def inject(self, zone, fault, hub):
        network = zone.fleet.network
        if fault in {'late', 'death'}:
            network.held = {TokensAsk}
            await asyncio.sleep(0.1)
        else:
            getattr(network, fault)[TokensAsk] = 1
        if fault == 'death':
            zone.fleet.kill(hub)
            network.release()

    async def finish(self, zone, outcome):
        held, _ = outcome
        self.assertIsInstance(held, Reservation)
        zone.fleet.routers[zone.asker].charge(held, 40)
        await zone.settle()


class BurstTest(unittest.TestCase):
    """400 requests within 2 s of a team that has nothing left for them."""

    @virtual
    async def test_most_are_refused_at_once(self):
        """Guards against callers held up for tokens that don't come.

        The account is empty, and another zone's home holds tokens that it
        can't lend.
        """
        fleet = _zone(prepaid=1000).fleet
        fleet.network.heal()
        burst = _Burst(fleet)
        await burst.run()
        held_up = [wait for wait in burst.waits if wait > _AT_ONCE_S]
        self.assertLess(len(held_up), len(burst.waits) / 2)
        self.assertLessEqual(max(held_up), _BOUND_S)
        self.assertEqual(max(burst.retries), 3.2)


@attrs.define(eq=False)
class _Burst:
    """Requests that arrive at all routers of a zone in turn."""

    fleet: Fleet
    waits: list = attrs.field(factory=list)
    retries: list = attrs.field(factory=list)

    async def run(self):
        """Use up the budget at another zone's home, then send requests."""
        names = tuple(self.fleet.routers)
        far = self.fleet.routers[self.fleet.start(zone='zone-b')]
        far.net.handlers[LoanAsk] = self.keep_tokens
        for _ in range(5):
            await far.reserve(TEAM, 200)
        requests = (
            self.send(names[number % len(names)], number * 0.005)
            for number in range(400)
        )
        await asyncio.gather(*requests)

    async def send(self, name, delay):
        """Send one request, which must be refused."""
        await asyncio.sleep(delay)
        began = self.fleet.clock.now()
        refused = await self.fleet.routers[name].reserve(TEAM, 100)
        assert refused == NO_ALLOTMENT, refused
        self.waits.append(self.fleet.clock.now() - began)
        self.retries.append(refused.tokens_wait)

    async def keep_tokens(self, _member, ask):
        """Lend nothing, like a home that can't report what it lends."""
        await asyncio.sleep(0)
        return LoanGrant(ask.loan_id, ask.team, 0, left=1000)


def _draw(ledger):
    ledger.granted += 1


def _lower_reserved(ledger):
    ledger.release(Reservation(TEAM, 10), 9)


def _open(ledger):
    ledger.limiter = UsageLimiter(lambda _team, _ahead=0: 51)


class ShortagesTest(unittest.TestCase):
    """Pauses grow while nothing arrives, and end with any token."""

    def setUp(self):
        self.clock = FakeClock()
        self.shortages = Shortages(self.clock, lambda: True)
        self.ledger = Ledger(TEAM, Rate(0, 1), granted=100)
        self.ledger.limiter = UsageLimiter(lambda _team, _ahead=0: 50)
        reservation = self.ledger.reserve(50)
        self.assertIsNotNone(reservation)
        # One request goes on trying.
        self.ledger.queue.waiters.append(Waiter(1000, None))

    def wait_in_vain(self):
        arrived = arrived_tokens(self.ledger)
        self.clock.advance(0.4)
        return self.shortages.note_late(self.ledger, arrived)

    def test_pauses_and_retry_times_double(self):
        """Guards against callers who return much too early or too late."""
        retries = [self.wait_in_vain() for _ in range(6)]
        self.assertEqual(retries, [0.8, 1.6, 1.6, 3.2, 3.2, 3.2])
        refusal = self.shortages.refusal(self.ledger)
        self.assertEqual(refusal.tokens_wait, 3.2)

    @parameterized.expand(
        [
            ('opening', _open, 0),
            ('freed reservation', _lower_reserved, 0),
            ('draw without allowance', _draw, 1),
        ]
    )
    def test_tokens_end_a_pause(self, _name, arrive, refused):
        """Guards against refusals while the team has tokens again."""
        self.wait_in_vain()
        arrive(self.ledger)
        refusal = self.shortages.refusal(self.ledger)
        self.assertEqual(refusal is not None, bool(refused))

    def test_a_burst_begins_one_pause(self):
        """Guards against long pauses after one wait of many requests."""
        arrived = arrived_tokens(self.ledger)
        self.clock.advance(0.4)
        retries = {
            self.shortages.note_late(self.ledger, arrived) for _ in range(9)
        }
        self.assertEqual(retries, {0.8})

    @parameterized.expand([('retries', 4, True), ('next hour', 3600, False)])
    def test_a_shortage_is_forgotten(self, _name, idle_s, refused):
        """Guards against refusals because of a shortage long ago.

        The first request of a later burst may get its tokens within
        milliseconds; those behind it must not be refused meanwhile.
        """
        for _ in range(6):
            self.wait_in_vain()
        self.clock.advance(idle_s)
        refusal = self.shortages.refusal(self.ledger)
        self.assertEqual(refusal is not None, refused)
        self.assertEqual(self.wait_in_vain(), 3.2 if refused else 0.8)

    def test_one_request_goes_on_trying(self):
        """Guards against a shortage that nobody notices the end of."""
        self.wait_in_vain()
        self.assertEqual(self.shortages.refusal(self.ledger), NO_ALLOTMENT)
        self.ledger.queue.waiters.clear()
        self.assertIsNone(self.shortages.refusal(self.ledger))
