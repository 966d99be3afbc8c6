"""Decides how many tokens a router draws, returns and keeps from lending."""

import attrs

from balsamreach.budget.account import Loan
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move
from balsamreach.clock import Clock
from balsamreach.config.settings import BudgetSettings

_REFILL_BELOW = 0.8
_RETURN_FACTOR = 2


@attrs.frozen
class Sizing:
    """Sizes draws by the rate at which a team spends here.

    Parameters
    ----------
    cfg : BudgetSettings
        Time that a draw covers and limits of its size.
    clock : Clock
        Time for the rates.
    return_factor : float
        Multiple of the desired tokens beyond which the excess is returned.
    """

    cfg: BudgetSettings
    clock: Clock
    return_factor: float = _RETURN_FACTOR

    def expected_use(self, ledger: Ledger) -> int:
        """Return the tokens that this router expects to need soon."""
        rate = ledger.rate.per_second(self.clock.now())
        return int(rate * self.cfg.draw_ahead)

    def desired_tokens(self, ledger: Ledger) -> int:
        """Return the tokens that this router wants to hold unspent."""
        if self._is_recalled(ledger):
            return 0
        rate = ledger.rate.per_second(self.clock.now())
        cover_s = self.cfg.draw_ahead + self.cfg.partition_cover
        return int(rate * cover_s)

    def draw_for_queue(self, ledger: Ledger) -> Move:
        """Return the draw for the waiting requests; at least one must wait.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger.
        """
        needed = ledger.shortfall
        least_draw = self.cfg.least_draw
        if self._is_recalled(ledger):
            least_draw = 0
        wanted = self.desired_tokens(ledger) - ledger.available
        move = self._make_move(
            ledger,
            min_draw=1,
            max_draw=max(needed, wanted, least_draw),
        )
        return attrs.evolve(move, needed=needed)

    def due_move(self, ledger: Ledger) -> Move | None:
        """Return the move that is due without a request, if any.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger; tokens to be returned are set aside in it.
        """
        desired = self.desired_tokens(ledger)
        held = ledger.available
        if self._is_recalled(ledger) and ledger.unspent_granted > 0:
            return self._begin_return(ledger, ledger.unspent_granted)
        if held < 0:
            return self._make_move(
                ledger,
                min_draw=-held,
                max_draw=desired - held,
            )
        if held < desired * _REFILL_BELOW:
            return self._make_move(ledger, max_draw=desired - held)
        if held > desired * self.return_factor + self.cfg.least_draw:
            # ``unspent_granted`` is negative while loans are spent before
            # they are recorded. Returning a negative number would be a draw
            # that is not compared with what is left of the budget.
            excess = max(0, min(ledger.unspent_granted, held - desired))
            return self._begin_return(ledger, excess)
        # Without another move the outcome of a return whose answer was lost
        # would stay unknown, and ``returning`` of an otherwise idle ledger
        # would hold tokens that can't be spent.
        if ledger.returning:
            return attrs.evolve(self._make_move(ledger), force_write=True)
        if ledger.borrowed:
            return self._make_move(ledger)
        return None

    def make_lendable(self, ledger: Ledger) -> Move:
        """Return the move that makes lendable what peers have requested."""
        move = self._make_move(
            ledger,
            max_draw=max(0, ledger.requested_by_peers - ledger.available),
        )
        return attrs.evolve(
            move,
            min_lendable=ledger.lent + ledger.requested_by_peers,
        )

    def record_loans_move(self, ledger: Ledger) -> Move:
        """Return the move that only records loans taken."""
        return self._make_move(ledger)

    def return_idle(self, ledger: Ledger) -> Move | None:
        """Return the move that returns all idle tokens, if any."""
        if ledger.unspent_granted > 0:
            return self._begin_return(ledger, ledger.unspent_granted)
        return self._make_move(ledger) if ledger.borrowed else None

    def is_account_empty(self, ledger: Ledger) -> bool:
        """Return whether the account is known to have nothing free."""
        return self.clock.now() < ledger.account_empty_until

    def _begin_return(self, ledger: Ledger, tokens: int) -> Move:
        move = self._make_move(ledger)
        ledger.begin_return(tokens)
        return attrs.evolve(move, give_back=tokens, max_lent=ledger.lent)

    def _make_move(
        self,
        ledger: Ledger,
        min_draw: int = 0,
        max_draw: int = 0,
    ) -> Move:
        return Move(
            team=ledger.team,
            min_draw=min_draw,
            max_draw=max_draw,
            max_free_share=self.cfg.largest_share,
            min_extra_draw=self.cfg.least_draw,
            not_lendable=self._not_lendable(ledger),
            max_lent=max(ledger.lent, ledger.lendable),
            loans=_recordable_loans(ledger),
        )

    def _not_lendable(self, ledger: Ledger) -> int:
        # While the account is empty routers depend on small loans. If some
        # tokens were kept from lending, each loan of them would first need a
        # commit of the lender.
        if self.is_account_empty(ledger):
            return 0
        return ledger.billed + ledger.reserved + self.expected_use(ledger)

    def _is_recalled(self, ledger: Ledger) -> bool:
        return self.clock.now() < ledger.recalled_until


def _recordable_loans(ledger: Ledger) -> tuple[Loan, ...]:
    if ledger.limiter is None:
        return tuple(ledger.borrowed.values())
    return ledger.limiter.recordable_loans(ledger)
