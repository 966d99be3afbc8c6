"""Log lines for requests that got no tokens."""

import logging

import attrs

from balsamreach.budget.faults import BudgetFault
from balsamreach.budget.ledger import Ledger
from balsamreach.clock import Clock
from balsamreach.telemetry.log_limit import LogLimit
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)
#: Minimum seconds between two lines about a team; the lines between them are
#: counted.
_INTERVAL_S = 1.0


@attrs.define
class RefusalLog:
    """Logs refusals with the state that caused them, at a bounded rate.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    clock: Clock
    _limit: LogLimit = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the bound of the rate."""
        self._limit = LogLimit(self.clock, _INTERVAL_S)

    def record(
        self,
        ledger: Ledger,
        tokens: int,
        fault: BudgetFault,
        *,
        is_backing_off: bool,
    ) -> None:
        """Log that a request was refused, unless the team was logged lately.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger.
        tokens : int
            Tokens that the request needed.
        fault : BudgetFault
            Why it got none.
        is_backing_off : bool
            Whether the table service isn't asked after a failure.
        """
        omitted = self._limit.take(ledger.team)
        if omitted is None:
            return
        log_event(
            _logger,
            logging.WARNING,
            'tokens_refused',
            team=ledger.team,
            reason=f'{fault.code}: {fault.reason}',
            needed=tokens,
            queued=ledger.queue.tokens,
            available=ledger.available,
            reserved=ledger.reserved,
            charged=ledger.billed,
            account_free=ledger.account_free,
            usable=_usable(ledger),
            backing_off=is_backing_off,
            omitted=omitted,
        )


def _usable(ledger: Ledger) -> int | None:
    if ledger.limiter is None:
        return None
    return ledger.limiter.room(ledger)
