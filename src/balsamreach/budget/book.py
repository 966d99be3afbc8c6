"""The ledgers of one router, and the one place that moves tokens in them."""

import asyncio
import logging
from collections.abc import Callable, Iterable

import attrs

from balsamreach.budget.account import Loan
from balsamreach.budget.draws import Drawer, Outcomes
from balsamreach.budget.faults import (
    EXHAUSTED,
    NO_ALLOTMENT,
    TAKEN_OVER,
    BudgetFault,
)
from balsamreach.budget.incarnations import Incarnations
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move, Moved
from balsamreach.budget.rate import WINDOW_S, Rate
from balsamreach.budget.usage import Limit, Usage, in_use
from balsamreach.clock import Clock
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

HELD = 'balsamreach_budget_held_tokens'
MOVES = 'balsamreach_budget_moves_total'
LOANS_RECORDED = 'balsamreach_budget_loans_recorded_total'
LOANS_DROPPED = 'balsamreach_budget_loans_dropped_total'

#: An account that had nothing free is not asked again for so long.
EMPTY_S = 0.25

_logger = logging.getLogger(__name__)

_AWAY = NO_ALLOTMENT.because('the table service is known to be away')

MakeMoves = Callable[[], Iterable[Move]]


@attrs.define
class Book:
    """Ledgers by team.

    Parameters
    ----------
    drawer : Drawer
        Moves tokens in the table service.
    incarnations : Incarnations
        Where this router enters itself before its first move.
    clock : Clock
        Time for the rates.
    metrics : Metrics
        Counts moves.
    spends_loans : bool
        Whether loans may be spent before they are recorded.
    rate_window : float
        Seconds over which rates of spending are averaged.
    is_away : callable
        Tells whether the table service is known to be away, so that a move
        would only hold up those who wait for it.
    limit : callable or None
        Tells how much may be in use by what was reported; None where routers
        don't report.
    """

    drawer: Drawer
    incarnations: Incarnations
    clock: Clock
    metrics: Metrics
    spends_loans: bool
    rate_window: float = WINDOW_S
    is_away: Callable[[], bool] = bool
    limit: Limit | None = None
    closed: BudgetFault | None = None
    ledgers: dict[str, Ledger] = attrs.field(factory=dict)
    recorded: list[Loan] = attrs.field(factory=list)
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def ledger(self, team: str) -> Ledger:
        """Return a team's ledger, a new one if there is none."""
        if team not in self.ledgers:
            self.ledgers[team] = Ledger(
                team,
                Rate(self.clock.now(), self.rate_window),
                spends_loans=self.spends_loans,
                usage=self.limit and Usage(self.limit),
            )
        return self.ledgers[team]

    async def enter(self) -> BudgetFault | None:
        """Return why this router may not draw, None if it may."""
        # Whoever succeeds this router on its address has to find it in the
        # row there, or would not know whose allotments to close.
        fault = self.closed or await self.incarnations.enter()
        if fault is not None:
            self.note(fault)
        return fault

    async def move(self, make_moves: MakeMoves) -> Outcomes | BudgetFault:
        """Work moves out, apply them and enter what they did.

        Parameters
        ----------
        make_moves : callable
            Returns the moves; called when no other move is under way, so
            that it sees what earlier ones did.

        Returns
        -------
        dict or BudgetFault
            As from ``Drawer.move``.
        """
        # A caller that goes away cancels its task. A move that is under way
        # must not end with it: a loan that was recorded but not entered here
        # would be recorded a second time.
        if self.is_away():
            return _AWAY
        return await asyncio.shield(
            asyncio.ensure_future(self._move(make_moves)),
        )

    def note(self, fault: BudgetFault) -> None:
        """Stop spending for good if a successor took over."""
        if fault == TAKEN_OVER:
            self.closed = fault

    async def _move(self, make_moves: MakeMoves) -> Outcomes | BudgetFault:
        async with self._lock:
            fault = _AWAY if self.is_away() else await self.enter()
            if fault is not None:
                return fault
            moves = tuple(make_moves())
            if not moves:
                return {}
            outcomes = await self.drawer.move(moves)
            if isinstance(outcomes, BudgetFault):
                self._fail(moves, outcomes)
                return outcomes
            for one in moves:
                self._enter(one, outcomes[one.team])
                self.ledgers[one.team].hand_out()
            return outcomes

    def _fail(self, moves: tuple[Move, ...], fault: BudgetFault) -> None:
        self.metrics.count(MOVES, outcome=fault.code)
        self.note(fault)
        for one in moves:
            self._undo(one.team)
            self.ledgers[one.team].hand_out()

    def _enter(self, move: Move, outcome: Moved | BudgetFault) -> None:
        ledger = self.ledgers[move.team]
        if isinstance(outcome, BudgetFault):
            self._refuse(ledger, outcome)
            return
        ledger.free = outcome.free
        if not outcome.free:
            ledger.empty_until = self.clock.now() + EMPTY_S
        self.metrics.count(MOVES, outcome='done')
        held = ledger.own
        ledger.adopt(outcome.allotment)
        self._tell(move, ledger, held)
        for loan_id in outcome.recorded:
            self.recorded.append(ledger.borrowed.pop(loan_id))
            self.metrics.count(LOANS_RECORDED)
        for lost_id in outcome.dropped:
            ledger.borrowed.pop(lost_id)
            self.metrics.count(LOANS_DROPPED)
        self._undo(move.team)

    def _refuse(self, ledger: Ledger, fault: BudgetFault) -> None:
        self.metrics.count(MOVES, outcome=fault.code)
        if fault == EXHAUSTED:
            ledger.empty_until = self.clock.now() + EMPTY_S
        self._undo(ledger.team)

    def _tell(self, move: Move, ledger: Ledger, held: int) -> None:
        log_event(
            _logger,
            logging.DEBUG,
            'tokens_moved',
            team=move.team,
            wanted=move.most or -move.back,
            held_before=held,
            held=ledger.own,
            free=ledger.free,
            used=in_use(ledger),
            granted=ledger.granted,
            reserved=ledger.reserved,
            waiting=len(ledger.queue.waiters),
            move=ledger.seq,
        )

    def _undo(self, team: str) -> None:
        # While an attempt may yet take effect, what it hands back stays set
        # aside: spent here and handed back, it would be spent twice.
        if not self.drawer.is_pending(team):
            self.ledgers[team].undo_return()
