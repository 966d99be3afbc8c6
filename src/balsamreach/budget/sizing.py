"""Decides how much a router draws, hands back and keeps for itself."""

import attrs

from balsamreach.budget.account import Loan
from balsamreach.budget.ledger import Ledger
from balsamreach.budget.moves import Move
from balsamreach.clock import Clock
from balsamreach.config.settings import BudgetSettings

_REFILL_BELOW = 0.8
_RETURN_ABOVE = 2


@attrs.frozen
class Sizing:
    """Sizes draws by the rate at which a team spends here.

    Parameters
    ----------
    cfg : BudgetSettings
        Time that a draw covers and bounds of its size.
    clock : Clock
        Time for the rates.
    return_above : float
        Times the wanted tokens beyond which the rest goes back.
    """

    cfg: BudgetSettings
    clock: Clock
    return_above: float = _RETURN_ABOVE

    def ahead(self, ledger: Ledger) -> int:
        """Return the tokens that this router expects to need soon."""
        rate = ledger.rate.per_second(self.clock.now())
        return int(rate * self.cfg.draw_ahead)

    def target(self, ledger: Ledger) -> int:
        """Return the tokens that this router wants to hold unspent."""
        if self._is_recalled(ledger):
            return 0
        rate = ledger.rate.per_second(self.clock.now())
        cover = self.cfg.draw_ahead + self.cfg.partition_cover
        return int(rate * cover)

    def for_queue(self, ledger: Ledger) -> Move:
        """Return the draw for the requests that wait, of which there is one.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger.
        """
        needed = ledger.missing
        least_draw = self.cfg.least_draw
        if self._is_recalled(ledger):
            least_draw = 0
        wanted = self.target(ledger) - ledger.available
        move = self._move(
            ledger,
            least=1,
            most=max(needed, wanted, least_draw),
        )
        return attrs.evolve(move, needed=needed)

    def in_background(self, ledger: Ledger) -> Move | None:
        """Return the move that is due without a request, if any.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger; tokens that go back are held back in it.
        """
        target = self.target(ledger)
        held = ledger.available
        if self._is_recalled(ledger) and ledger.own > 0:
            return self._hand_back(ledger, ledger.own)
        if held < 0:
            return self._move(ledger, least=-held, most=target - held)
        if held < target * _REFILL_BELOW:
            return self._move(ledger, most=target - held)
        if held > target * self.return_above + self.cfg.least_draw:
            # A router that spends loans before they are recorded has less
            # than nothing of its own. Handing that back would be a draw that
            # nobody compares with what is left of the budget.
            back = max(0, min(ledger.own, held - target))
            return self._hand_back(ledger, back)
        # With nothing to draw nobody would find out what became of a return
        # whose answer was lost, and its tokens could not be spent for as
        # long; it shows as ``returning`` of a ledger that stays.
        if ledger.returning:
            return attrs.evolve(self._move(ledger), confirm=True)
        if ledger.borrowed:
            return self._move(ledger)
        return None

    def for_loan(self, ledger: Ledger) -> Move:
        """Return the move that makes lendable what other routers ask for."""
        move = self._move(ledger, most=max(0, ledger.asked - ledger.available))
        return attrs.evolve(move, lendable=ledger.lent + ledger.asked)

    def for_loans(self, ledger: Ledger) -> Move:
        """Return the move that only records loans taken."""
        return self._move(ledger)

    def for_recall(self, ledger: Ledger) -> Move | None:
        """Return the move that hands all idle tokens back, if any."""
        if ledger.own > 0:
            return self._hand_back(ledger, ledger.own)
        return self._move(ledger) if ledger.borrowed else None

    def is_empty(self, ledger: Ledger) -> bool:
        """Return whether the account is known to have nothing free."""
        return self.clock.now() < ledger.empty_until

    def _hand_back(self, ledger: Ledger, tokens: int) -> Move:
        move = self._move(ledger)
        ledger.hold_back(tokens)
        return attrs.evolve(move, back=tokens, lent=ledger.lent)

    def _move(self, ledger: Ledger, least: int = 0, most: int = 0) -> Move:
        return Move(
            team=ledger.team,
            least=least,
            most=most,
            share=self.cfg.largest_share,
            floor=self.cfg.least_draw,
            keep=self._keep(ledger),
            lent=max(ledger.lent, ledger.lendable),
            loans=_recordable(ledger),
        )

    def _keep(self, ledger: Ledger) -> int:
        # With the account empty routers live by small loans. Were a part
        # kept, each loan of it would need a commit of the lender first.
        if self.is_empty(ledger):
            return 0
        return ledger.billed + ledger.reserved + self.ahead(ledger)

    def _is_recalled(self, ledger: Ledger) -> bool:
        return self.clock.now() < ledger.recalled_until


def _recordable(ledger: Ledger) -> tuple[Loan, ...]:
    if ledger.usage is None:
        return tuple(ledger.borrowed.values())
    return ledger.usage.recordable(ledger)
