"""What one router may spend where nothing is recorded request by request.

Each router, or in a large fleet each hub for its zone, draws tokens from a
team's account ahead of need and counts in memory what its requests use of
them. It reports beforehand how much it may use. Who serves its address after
it gives the rest of what it held back to the account.
"""

import random
from collections.abc import Callable, Iterable
from functools import partial

import attrs

from balsamreach.budget.book import HELD, Book
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.holdings_parts import (
    HoldingsParts,
    make_parts,
    report_interval,
)
from balsamreach.budget.homes import held_ahead, is_holder
from balsamreach.budget.homing import HomeReservation
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.moves import Move
from balsamreach.budget.prepaid import Prepaid
from balsamreach.budget.rate import Rate
from balsamreach.clock import Clock
from balsamreach.config.settings import BudgetSettings
from balsamreach.peers.base import PeerNet
from balsamreach.services.base import TableService
from balsamreach.services.times import ServiceClock
from balsamreach.telemetry.metrics import Metrics

#: Seconds between two looks whether what others had set aside is settled.
_LEAVE_PAUSE_S = 0.1


@attrs.define
class Holdings:
    """Admits requests against what this router holds.

    Parameters
    ----------
    service : TableService
        Where accounts and allotments are kept.
    prepaid : callable
        Returns a team's prepaid tokens, None where it is not metered.
    incarnation : str
        Identity of this start of the router.
    cfg : BudgetSettings
        Sizes and intervals.
    rate_window : float
        Seconds over which rates of spending are averaged.
    net : PeerNet
        The other routers, which lend while the store is away.
    times : ServiceClock
        The store's time.
    address : str
        ``ip:port`` that this router has bound; who bound it before is dead.
    clock, rng, metrics
        Time, jitter and counters.
    teams : callable
        Returns the teams that are metered.
    """

    service: TableService
    prepaid: Prepaid
    incarnation: str
    cfg: BudgetSettings
    rate_window: float
    net: PeerNet
    times: ServiceClock
    address: str
    clock: Clock
    rng: random.Random
    metrics: Metrics
    teams: Callable[[], Iterable[str]] = tuple
    parts: HoldingsParts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Put the parts together."""
        self.parts = make_parts(self)

    @property
    def book(self) -> Book:
        """The ledgers."""
        return self.parts.book

    async def reserve(
        self,
        team: str,
        tokens: int,
    ) -> Reservation | BudgetFault:
        """Set a request's worst case aside before it runs.

        Returns
        -------
        Reservation or BudgetFault
            EXHAUSTED only where the account itself has too little left.
        """
        homing = self.parts.homing
        home = homing.find(team)
        if home is not None:
            outcome = await homing.reserve(home, team, tokens)
            if outcome is not None:
                return outcome
        return await self.reserve_here(team, tokens)

    async def reserve_here(
        self,
        team: str,
        tokens: int,
    ) -> Reservation | BudgetFault:
        """Set a request's worst case aside from what this router holds."""
        ledger = self._ledger(team)
        ledger.squares_rate.add(tokens**2, self.clock.now())
        reservation = None
        if not ledger.queue:
            reservation = ledger.reserve(tokens)
        if reservation is not None:
            ledger.rate.add(tokens, self.clock.now())
            return reservation
        return await self.parts.obtainer.obtain(ledger, tokens)

    def charge(self, reservation: Reservation, tokens: int) -> None:
        """Charge what a request used; the rest of it is free again."""
        if isinstance(reservation, HomeReservation):
            self.parts.homing.charge(reservation, tokens)
            return
        ledger = self.book.ledger(reservation.team)
        unused = reservation.tokens - tokens
        ledger.release(reservation, tokens)
        ledger.rate.add(-unused, self.clock.now())

    def spent(self, team: str) -> int:
        """Return the tokens that a team has used, as far as is known here."""
        ledger = self.book.ledgers.get(team)
        billed = ledger.billed if ledger else 0
        return max(billed, self.parts.homing.spent(team))

    async def run_reports(self) -> None:
        """Report in rounds what may be used, until cancelled.

        A successor takes all silence for time in which tokens were used, so
        this router is never silent for long. One that holds nothing has
        nothing to tell.
        """
        while True:
            if any(map(_is_in_use, self.book.ledgers.values())):
                await self.parts.reporter.report()
            await self.clock.sleep(report_interval(self.cfg, self.net))

    async def run(self) -> None:
        """Draw ahead and hand back in rounds, until cancelled."""
        await self.parts.succession.inherit(self.book)
        while True:
            await self.clock.sleep(self.cfg.flush_interval)
            await self.round()

    async def round(self) -> None:
        """Do what is due for each team once."""
        if not self.book.is_away() and await self.book.enter() is None:
            await self.parts.succession.close_predecessors()
        # Requests of a team that comes first would find its home without a
        # token. Each would wait for a draw and a report of its own, all of a
        # zone at once; it shows as a burst of calls where traffic begins.
        for ahead in held_ahead(self.teams(), self.net):
            ledger = self._ledger(ahead)
            if ledger.account_free is None:
                await self.book.move(partial(_first, self, ledger))
        for team in tuple(self.book.ledgers):
            if _is_kept(self.book.ledgers[team], self.net):
                await self.book.move(partial(self._due, team))
        await self.parts.loans.send_receipts()
        self.parts.hosting.sweep()
        held = sum(ledger.own for ledger in self.book.ledgers.values())
        self.metrics.gauge(HELD, held)

    async def leave(self, until: float = 0) -> None:
        """Hand back all that is not in use, for good.

        Parameters
        ----------
        until : float
            Monotonic seconds up to which requests of other routers are
            waited for; what they have set aside here is lost after that.
        """
        await self.parts.homing.settle()
        while self.parts.hosting.is_held() and self.clock.now() < until:
            await self.clock.sleep(_LEAVE_PAUSE_S)
        for ledger in tuple(self.book.ledgers.values()):
            outcome = await self.book.move(partial(self._rest, ledger))
            if isinstance(outcome, BudgetFault):
                await self.parts.gifts.give_away(ledger)

    def _ledger(self, team: str) -> Ledger:
        ledger = self.book.ledger(team)
        if ledger.squares_rate is None:
            ledger.squares_rate = Rate(self.clock.now(), self.rate_window)
        return ledger

    def _due(self, team: str) -> Iterable[Move]:
        move = self.parts.sizing.in_background(self.book.ledgers[team])
        return () if move is None else (move,)

    def _rest(self, ledger: Ledger) -> Iterable[Move]:
        move = self.parts.sizing.return_idle(ledger)
        return () if move is None else (move,)


def _first(holdings: Holdings, ledger: Ledger) -> Iterable[Move]:
    return (holdings.parts.sizing.initial_draw(ledger),)


def _is_kept(ledger: Ledger, net: PeerNet) -> bool:
    return _is_in_use(ledger) or is_holder(ledger.team, net)


def _is_in_use(ledger: Ledger) -> bool:
    # A router that has handed all back has nothing to report or to move. In a
    # large fleet each one drew for itself until it knew the homes of teams;
    # their calls for nothing would be more than the hubs make.
    return bool(
        ledger.own > 0 or ledger.queue or ledger.borrowed or ledger.returning,
    )
