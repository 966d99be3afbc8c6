"""Admits requests against the tokens that this router holds.

Nothing is recorded request by request. Each router, or in a large fleet each
hub for its zone, draws tokens from a team's account ahead of need and counts
the use of its requests in memory. It reports in advance how much it may use.
Its successor on its address returns the rest of its tokens to the account.
"""

import random
from collections.abc import Callable, Iterable
from functools import partial

import attrs

from balsamreach.budget.book import HELD_TOKENS, LedgerBook
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.holdings_parts import (
    HoldingsParts,
    make_parts,
    report_interval,
)
from balsamreach.budget.home_client import HomeReservation
from balsamreach.budget.homes import home_teams, is_holder
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.moves import Move
from balsamreach.budget.prepaid import PrepaidLookup
from balsamreach.budget.rate import Rate
from balsamreach.budget.rounds import move_concurrently, wait_for_round
from balsamreach.budget.waiters import TokensNeed
from balsamreach.clock import Clock
from balsamreach.config.settings import BudgetSettings
from balsamreach.peers.base import PeerNet
from balsamreach.services.base import TableService
from balsamreach.services.times import ServiceClock
from balsamreach.telemetry.metrics import Metrics

#: Seconds between two checks, while leaving, whether the requests of other
#: routers are settled.
_LEAVE_POLL_S = 0.1


@attrs.define
class Holdings:
    """Admits requests against what this router holds.

    Parameters
    ----------
    service : TableService
        Where accounts and allotments are stored.
    prepaid : callable
        Returns a team's prepaid tokens, None where it is not metered.
    incarnation : str
        Identity of this start of the router.
    cfg : BudgetSettings
        Sizes and intervals.
    rate_window : float
        Time constant in seconds of the average spending rates.
    net : PeerNet
        The other routers, which lend while the table service is away.
    service_clock : ServiceClock
        The table service's time.
    address : str
        ``ip:port`` that this router has bound; the process that bound it
        before has ended.
    clock, rng, metrics
        Time, jitter and counters.
    metered_teams : callable
        Returns the teams that are metered.
    parts : HoldingsParts
        The components.
    """

    service: TableService
    prepaid: PrepaidLookup
    incarnation: str
    cfg: BudgetSettings
    rate_window: float
    net: PeerNet
    service_clock: ServiceClock
    address: str
    clock: Clock
    rng: random.Random
    metrics: Metrics
    metered_teams: Callable[[], Iterable[str]] = tuple
    parts: HoldingsParts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the components."""
        self.parts = make_parts(self)

    @property
    def book(self) -> LedgerBook:
        """The ledgers of all teams."""
        return self.parts.book

    async def reserve(
        self,
        team: str,
        tokens: int,
        urgency: int = 0,
    ) -> Reservation | BudgetFault:
        """Reserve the most tokens that a request may use before it runs.

        Parameters
        ----------
        team : str
            Team that pays.
        tokens : int
            Most tokens that the request may use.
        urgency : int
            Waiting requests with a higher number are served first.

        Returns
        -------
        Reservation or BudgetFault
            EXHAUSTED only where the account itself has too little left.
        """
        return await self.parts.home_failover.reserve(
            TokensNeed(team, tokens, urgency),
        )

    async def reserve_here(
        self,
        need: TokensNeed,
        max_wait: float,
    ) -> Reservation | BudgetFault:
        """Reserve tokens for a request out of what this router holds.

        Parameters
        ----------
        need : TokensNeed
            What the request needs.
        max_wait : float
            Seconds that it may wait; it waits no longer than ``draw_wait``.
        """
        tokens = need.tokens
        ledger = self._ledger(need.team)
        ledger.squares_rate.add(tokens**2, self.clock.now())
        reservation = None
        if not ledger.queue:
            reservation = ledger.reserve(tokens)
        if reservation is not None:
            ledger.rate.add(tokens, self.clock.now())
            return reservation
        return await self.parts.obtainer.obtain(
            ledger,
            tokens,
            need.urgency,
            max_wait,
        )

    def charge(self, reservation: Reservation, tokens: int) -> None:
        """Charge what a request used and free the rest."""
        if isinstance(reservation, HomeReservation):
            self.parts.home_client.charge(reservation, tokens)
            return
        ledger = self.book.ledger(reservation.team)
        unused = reservation.tokens - tokens
        ledger.release(reservation, tokens)
        ledger.rate.add(-unused, self.clock.now())

    def spent(self, team: str) -> int:
        """Return the tokens that a team has used, as far as known here."""
        ledger = self.book.ledgers.get(team)
        billed = ledger.billed if ledger else 0
        return max(billed, self.parts.home_client.spent(team))

    async def run_reports(self) -> None:
        """Report periodically how much may be used, until cancelled.

        A successor assumes that tokens were used in all the time since the
        last report, so reports continue also where nothing changed. A router
        that holds no tokens makes none.
        """
        while True:
            if any(map(_is_active, self.book.ledgers.values())):
                await self.parts.reporter.report()
            await self.clock.sleep(report_interval(self.cfg, self.net))

    async def run(self) -> None:
        """Draw and return tokens periodically, until cancelled."""
        await self.parts.predecessor_closer.close_when_available(self.book)
        while True:
            await wait_for_round(self.book, self.clock, self.cfg.flush_interval)
            await self.run_round()

    async def run_round(self) -> None:
        """Make the moves that are due, once for each team."""
        if not self.book.is_away() and await self.book.register() is None:
            await self.parts.predecessor_closer.close_predecessors()
        # A team's home draws before the team's first request. Otherwise
        # each of the first requests would wait for a draw and a report of
        # its own, with a burst of calls from the whole zone when traffic
        # begins.
        first_draws = [
            (team, partial(_initial_draw, self, self._ledger(team)))
            for team in home_teams(self.metered_teams(), self.net)
            if self._ledger(team).account_free is None
        ]
        await move_concurrently(self.book, first_draws)
        due_moves = [
            (team, partial(self._due_moves, team))
            for team, ledger in self.book.ledgers.items()
            if _needs_move(ledger, self.net)
        ]
        await move_concurrently(self.book, due_moves)
        await self.parts.loans.send_receipts()
        self.parts.home_server.charge_lost()
        held = sum(
            ledger.unspent_granted for ledger in self.book.ledgers.values()
        )
        self.metrics.gauge(HELD_TOKENS, held)

    async def leave(self, until: float = 0) -> None:
        """Return all tokens that are not in use, permanently.

        Parameters
        ----------
        until : float
            Monotonic seconds until which requests of other routers are
            waited for; tokens still reserved for them after that are lost.
        """
        await self.parts.home_client.settle()
        while (
            self.parts.home_server.has_reservations()
            and self.clock.now() < until
        ):
            await self.clock.sleep(_LEAVE_POLL_S)
        for ledger in tuple(self.book.ledgers.values()):
            outcome = await self.book.apply_moves(
                partial(self._return_moves, ledger), ledger.team
            )
            if isinstance(outcome, BudgetFault):
                await self.parts.handover.hand_over(ledger)

    def _ledger(self, team: str) -> Ledger:
        ledger = self.book.ledger(team)
        if ledger.squares_rate is None:
            ledger.squares_rate = Rate(self.clock.now(), self.rate_window)
        return ledger

    def _due_moves(self, team: str) -> Iterable[Move]:
        move = self.parts.sizing.due_move(self.book.ledgers[team])
        return () if move is None else (move,)

    def _return_moves(self, ledger: Ledger) -> Iterable[Move]:
        move = self.parts.sizing.return_idle(ledger)
        return () if move is None else (move,)


def _initial_draw(holdings: Holdings, ledger: Ledger) -> Iterable[Move]:
    return (holdings.parts.sizing.initial_draw(ledger),)


def _needs_move(ledger: Ledger, net: PeerNet) -> bool:
    return _is_active(ledger) or is_holder(ledger.team, net)


def _is_active(ledger: Ledger) -> bool:
    # A router that has returned all tokens has nothing to report or to move.
    # In a large fleet each router draws for itself until it knows the homes
    # of teams; afterwards their needless calls would outnumber those of the
    # hubs.
    return bool(
        ledger.unspent_granted > 0
        or ledger.queue
        or ledger.borrowed
        or ledger.returning,
    )
