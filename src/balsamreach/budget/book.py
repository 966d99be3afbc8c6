"""All ledgers of one router, and the moves that change them."""

import asyncio
import logging
from collections.abc import Callable, Iterable

import attrs

from balsamreach.budget.account import Loan
from balsamreach.budget.faults import (
    EXHAUSTED,
    NO_ALLOTMENT,
    TAKEN_OVER,
    BudgetFault,
)
from balsamreach.budget.incarnations import AddressRegistration
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.move_committer import MoveCommitter, Outcomes
from balsamreach.budget.moves import Move, MoveResult
from balsamreach.budget.rate import DEFAULT_WINDOW_S, Rate
from balsamreach.budget.usage import UsageLimit, UsageLimiter, tokens_in_use
from balsamreach.clock import Clock
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

HELD_TOKENS = 'balsamreach_budget_held_tokens'
MOVES = 'balsamreach_budget_moves_total'
LOANS_RECORDED = 'balsamreach_budget_loans_recorded_total'
LOANS_DROPPED = 'balsamreach_budget_loans_dropped_total'

#: Seconds for which an account without free tokens is not asked again.
EMPTY_ACCOUNT_RETRY_S = 0.25

_logger = logging.getLogger(__name__)

_SERVICE_AWAY = NO_ALLOTMENT.because('the table service is known to be away')

MakeMoves = Callable[[], Iterable[Move]]


@attrs.define
class LedgerBook:
    """Ledgers by team.

    Parameters
    ----------
    committer : MoveCommitter
        Commits moves to the table service.
    registration : AddressRegistration
        Registers this router at its address before its first move.
    clock : Clock
        Time for the rates.
    metrics : Metrics
        Counts moves.
    spends_loans : bool
        Whether loans may be spent before they are recorded.
    rate_window : float
        Time constant in seconds of the average spending rates.
    is_away : callable
        Returns whether the table service is known to be away, in which case
        a move would only delay its callers.
    usage_limit : callable or None
        Returns how many tokens may be in use according to the reports; None
        where routers don't report.
    parallel : bool
        Whether moves of different teams are made at the same time. Each call
        of ``apply_moves`` then concerns one team.
    closed : BudgetFault or None
        Why this router may spend nothing any more.
    ledgers : dict of str to Ledger
        Ledgers by team.
    recorded_loans : list of Loan
        Loans recorded since the lenders were last told.
    """

    committer: MoveCommitter
    registration: AddressRegistration
    clock: Clock
    metrics: Metrics
    spends_loans: bool
    rate_window: float = DEFAULT_WINDOW_S
    is_away: Callable[[], bool] = bool
    usage_limit: UsageLimit | None = None
    parallel: bool = False
    closing_fault: BudgetFault | None = None
    ledgers: dict[str, Ledger] = attrs.field(factory=dict)
    recorded_loans: list[Loan] = attrs.field(factory=list)
    _locks: dict[str, asyncio.Lock] = attrs.field(factory=dict)
    _registering: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def ledger(self, team: str) -> Ledger:
        """Return a team's ledger; create it if there is none."""
        if team not in self.ledgers:
            self.ledgers[team] = Ledger(
                team,
                Rate(self.clock.now(), self.rate_window),
                spends_loans=self.spends_loans,
                limiter=self.usage_limit and UsageLimiter(self.usage_limit),
            )
        return self.ledgers[team]

    async def register(self) -> BudgetFault | None:
        """Register this router; return why it may not draw, None if it may."""
        # A successor on this address has to find this router in the row of
        # the address; otherwise it would not know whose allotments to close.
        async with self._registering:
            fault = self.closing_fault or await self.registration.register()
        if fault is not None:
            self.note_fault(fault)
        return fault

    async def apply_moves(
        self, make_moves: MakeMoves, team: str = ''
    ) -> Outcomes | BudgetFault:
        """Plan moves, commit them and update the ledgers.

        Parameters
        ----------
        make_moves : callable
            Returns the moves; called while no other move of the team is in
            progress, so that it sees the results of earlier ones.
        team : str
            The team that all moves concern. Empty for several teams, which
            excludes all other moves unless moves are made in parallel.

        Returns
        -------
        dict or BudgetFault
            As from ``MoveCommitter.commit``.
        """
        # A cancelled caller must not cancel a move in progress: a loan that
        # was recorded in the table service but not in the ledger would be
        # recorded a second time.
        if self.is_away():
            return _SERVICE_AWAY
        return await asyncio.shield(
            asyncio.ensure_future(self._move(make_moves, team)),
        )

    def note_fault(self, fault: BudgetFault) -> None:
        """Stop spending permanently if the fault is TAKEN_OVER."""
        if fault == TAKEN_OVER:
            self.closing_fault = fault

    def _lock(self, team: str) -> asyncio.Lock:
        # With one lock for all teams, the draws of waiting requests would
        # queue behind the moves of all other teams after an outage.
        return self._locks.setdefault(
            team if self.parallel else '', asyncio.Lock()
        )

    async def _move(
        self, make_moves: MakeMoves, team: str
    ) -> Outcomes | BudgetFault:
        async with self._lock(team):
            fault = _SERVICE_AWAY if self.is_away() else await self.register()
            if fault is not None:
                return fault
            moves = tuple(make_moves())
            if not moves:
                return {}
            outcomes = await self.committer.commit(moves)
            if isinstance(outcomes, BudgetFault):
                self._handle_failure(moves, outcomes)
                return outcomes
            for move in moves:
                self._apply_outcome(move, outcomes[move.team])
                self.ledgers[move.team].serve_queue()
            return outcomes

    def _handle_failure(
        self,
        moves: tuple[Move, ...],
        fault: BudgetFault,
    ) -> None:
        self.metrics.count(MOVES, outcome=fault.code)
        self.note_fault(fault)
        for move in moves:
            self._cancel_return(move.team)
            self.ledgers[move.team].serve_queue()

    def _apply_outcome(
        self,
        move: Move,
        outcome: MoveResult | BudgetFault,
    ) -> None:
        ledger = self.ledgers[move.team]
        if isinstance(outcome, BudgetFault):
            self._apply_refusal(ledger, outcome)
            return
        ledger.account_free = outcome.account_free
        if not outcome.account_free:
            ledger.account_empty_until = (
                self.clock.now() + EMPTY_ACCOUNT_RETRY_S
            )
        self.metrics.count(MOVES, outcome='done')
        held_before = ledger.unspent_granted
        ledger.apply_allotment(outcome.allotment)
        self._log_move(move, ledger, held_before)
        for loan_id in outcome.recorded_loans:
            self.recorded_loans.append(ledger.borrowed.pop(loan_id))
            self.metrics.count(LOANS_RECORDED)
        for dropped_id in outcome.dropped_loans:
            ledger.borrowed.pop(dropped_id)
            self.metrics.count(LOANS_DROPPED)
        self._cancel_return(move.team)

    def _apply_refusal(self, ledger: Ledger, fault: BudgetFault) -> None:
        self.metrics.count(MOVES, outcome=fault.code)
        if fault == EXHAUSTED:
            ledger.account_empty_until = (
                self.clock.now() + EMPTY_ACCOUNT_RETRY_S
            )
        self._cancel_return(ledger.team)

    def _log_move(self, move: Move, ledger: Ledger, held_before: int) -> None:
        log_event(
            _logger,
            logging.DEBUG,
            'tokens_moved',
            team=move.team,
            wanted=move.max_draw or -move.give_back,
            held_before=held_before,
            held=ledger.unspent_granted,
            free=ledger.account_free,
            used=tokens_in_use(ledger),
            granted=ledger.granted,
            reserved=ledger.reserved,
            waiting=len(ledger.queue.waiters),
            move=ledger.seq,
        )

    def _cancel_return(self, team: str) -> None:
        # While an attempt may still take effect, the tokens that it returns
        # stay set aside: spent here and returned, they would be spent twice.
        if not self.committer.is_pending(team):
            self.ledgers[team].cancel_return()
