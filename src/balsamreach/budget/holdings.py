"""What one router may spend where nothing is recorded request by request.

Each router draws tokens from a team's account ahead of need and counts in
memory what its requests use of them. What a router that died was granted
counts as spent: nobody knows how much of it was used, and giving it back
could spend it twice. So grants are small, and cover seconds, not hours.
"""

import random
from collections.abc import Callable, Iterable
from functools import partial

import attrs

from balsamreach.budget.account import ACCOUNT_PREFIX, Account, encode
from balsamreach.budget.book import Book
from balsamreach.budget.covering import Covering
from balsamreach.budget.draws import Drawer
from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.gifts import Gifts
from balsamreach.budget.incarnations import Incarnations
from balsamreach.budget.ledger import Ledger, Reservation
from balsamreach.budget.loans import Loans
from balsamreach.budget.moves import Move
from balsamreach.budget.obtaining import Obtainer
from balsamreach.budget.rate import Rate
from balsamreach.budget.upkeep import HELD
from balsamreach.clock import Clock
from balsamreach.config.settings import BudgetSettings
from balsamreach.peers.base import PeerNet
from balsamreach.services.base import Commit, Page, Row, Scan, TableService
from balsamreach.services.faults import PlatformFault
from balsamreach.telemetry.metrics import Metrics

#: After a failure the store is not asked for a request's sake for so many
#: seconds. It is away for seconds, not minutes, and holdings are small.
_AWAY_S = 0.5
#: Seconds after which peers are asked beside a draw. Source: a draw is three
#: calls of at most some 10 ms each; one of 0.15 s has met an outage.
_PATIENCE_S = 0.15

#: Times the wanted tokens beyond which the rest goes back. What lies idle
#: here may be lost with this router's power, so it goes back soon.
_RETURN_ABOVE = 1.3

#: Returns a team's prepaid tokens, None where it is not metered.
Prepaid = Callable[[str], int | None]


@attrs.define
class PrepaidAccounts(TableService):
    """Accounts whose prepaid tokens stand in the operators' configuration.

    The row keeps what was taken. Were the prepaid tokens kept there too, a
    top-up would need a change of its own, which could be lost or doubled.

    Parameters
    ----------
    service : TableService
        Where the rows are.
    prepaid : callable
        What the configuration in force says.
    """

    service: TableService
    prepaid: Prepaid

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a conditional commit."""
        return await self.service.commit(change)

    async def read(
        self,
        keys: tuple[str, ...],
    ) -> tuple[Row, ...] | PlatformFault:
        """Read rows, accounts with what is prepaid now."""
        rows = await self.service.read(keys)
        if isinstance(rows, PlatformFault):
            return rows
        return tuple(map(self._with_prepaid, rows))

    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Read one page of the rows under a prefix."""
        return await self.service.scan(scan)

    def _with_prepaid(self, row: Row) -> Row:
        if not row.key.startswith(ACCOUNT_PREFIX):
            return row
        prepaid = self.prepaid(row.key.removeprefix(ACCOUNT_PREFIX))
        if prepaid is None:
            return row
        taken = (row.value or encode(Account())) | {'prepaid': prepaid}
        return Row(row.key, row.version, taken)


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
    clock, rng, metrics
        Time, jitter and counters.
    """

    service: TableService
    prepaid: Prepaid
    incarnation: str
    cfg: BudgetSettings
    rate_window: float
    net: PeerNet
    clock: Clock
    rng: random.Random
    metrics: Metrics
    book: Book = attrs.field(init=False)
    _sizing: Covering = attrs.field(init=False)
    _loans: Loans = attrs.field(init=False)
    _gifts: Gifts = attrs.field(init=False)
    _obtainer: Obtainer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Put the parts together."""
        accounts = PrepaidAccounts(self.service, self.prepaid)
        # Without an address nobody succeeds this router on its allotments:
        # what a dead router held stays taken for good.
        incarnations = Incarnations(
            accounts,
            '',
            self.incarnation,
            self.clock.wall(),
        )
        self.book = Book(
            Drawer(accounts, self.incarnation, self.clock, self.rng),
            incarnations,
            self.clock,
            self.metrics,
            spends_loans=True,
            rate_window=self.rate_window,
        )
        self._sizing = Covering(
            self.cfg,
            self.clock,
            _RETURN_ABOVE,
            prepaid=self.prepaid,
        )
        self._loans = Loans(self.book, self._sizing, self.net, self.rng)
        self._gifts = Gifts(self._loans)
        self._obtainer = Obtainer(
            self.book,
            self._sizing,
            self._loans,
            self.cfg,
            away=_AWAY_S,
            patience=_PATIENCE_S,
        )

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
        ledger = self._ledger(team)
        ledger.squares.add(tokens**2, self.clock.now())
        reservation = None
        if not ledger.queue:
            reservation = ledger.reserve(tokens)
        if reservation is not None:
            ledger.rate.add(tokens, self.clock.now())
            return reservation
        return await self._obtainer.obtain(ledger, tokens)

    def charge(self, reservation: Reservation, tokens: int) -> None:
        """Charge what a request used; the rest of it is free again."""
        ledger = self.book.ledger(reservation.team)
        unused = reservation.tokens - tokens
        ledger.release(reservation, tokens)
        ledger.rate.add(-unused, self.clock.now())

    async def run(self) -> None:
        """Draw ahead and hand back in rounds, until cancelled."""
        while True:
            await self.clock.sleep(self.cfg.flush_interval)
            await self.round()

    async def round(self) -> None:
        """Do what is due for each team once."""
        for team in tuple(self.book.ledgers):
            await self.book.move(partial(self._due, team))
        await self._loans.send_receipts()
        held = sum(ledger.own for ledger in self.book.ledgers.values())
        self.metrics.gauge(HELD, held)

    async def leave(self) -> None:
        """Hand back all that is not in use, for good."""
        for ledger in tuple(self.book.ledgers.values()):
            outcome = await self.book.move(partial(self._rest, ledger))
            if isinstance(outcome, BudgetFault):
                await self._gifts.give_away(ledger)

    def _ledger(self, team: str) -> Ledger:
        ledger = self.book.ledger(team)
        if ledger.squares is None:
            ledger.squares = Rate(self.clock.now(), self.rate_window)
        return ledger

    def _due(self, team: str) -> Iterable[Move]:
        move = self._sizing.in_background(self.book.ledgers[team])
        return () if move is None else (move,)

    def _rest(self, ledger: Ledger) -> Iterable[Move]:
        move = self._sizing.for_recall(ledger)
        return () if move is None else (move,)
