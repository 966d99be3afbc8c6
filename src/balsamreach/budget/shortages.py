"""Refuses requests at once while a team's waiting requests get no tokens."""

import logging
from collections.abc import Callable

import attrs

from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault
from balsamreach.budget.ledger import Ledger
from balsamreach.clock import Clock
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)

#: Seconds after a wait in vain before another one counts; they double with
#: each that counts. Waits of one burst end within a moment and count once.
_FIRST_PAUSE_S = 0.3
_MAX_PAUSE_S = 2.0
#: Seconds after which the callers may retry, which double likewise. The first
#: value is that of other refusals for lack of tokens.
_FIRST_RETRY_S = 0.8
_MAX_RETRY_S = 3.2
#: Seconds without a wait in vain after which a shortage is forgotten. Callers
#: that follow the longest retry time, with jitter, are back before.
_FORGET_AFTER_S = 10


@attrs.define
class _Shortage:
    """Waits in vain of one team.

    Parameters
    ----------
    arrived : int
        Lowest value of ``arrived_tokens`` since the shortage began.
    waits : int
        Waits in vain that count.
    until : float
        Time until which no further one counts.
    last : float
        Time of the last wait in vain, whether it counts or not.
    """

    arrived: int
    waits: int = 0
    until: float = 0
    last: float = 0

    @property
    def pause(self) -> float:
        """Seconds after the last wait in vain until another one counts."""
        return min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2 ** (self.waits - 1))

    @property
    def tokens_wait(self) -> float:
        """Seconds after which callers may retry."""
        return min(_MAX_RETRY_S, _FIRST_RETRY_S * 2 ** (self.waits - 1))


@attrs.define
class Shortages:
    """Remembers the teams whose requests wait in vain.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    is_enabled : callable
        Returns whether requests may be refused at once.
    """

    clock: Clock
    is_enabled: Callable[[], bool]
    _by_team: dict[str, _Shortage] = attrs.field(factory=dict)

    def refusal(self, ledger: Ledger) -> BudgetFault | None:
        """Return why a request is refused at once, None if it may wait.

        One request at a time waits: it causes the draws and loans that end
        the shortage. If more could wait once a pause is over, most requests
        of a burst would, since a pause is hardly longer than a wait.
        """
        shortage = self._current(ledger)
        if shortage is None or not ledger.queue:
            return None
        return attrs.evolve(
            NO_ALLOTMENT,
            reason='the requests before it waited in vain',
            tokens_wait=shortage.tokens_wait,
        )

    def note_late(self, ledger: Ledger, arrived: int) -> float:
        """Note that a request got no tokens in all the time it could wait.

        Parameters
        ----------
        ledger : Ledger
            The team's ledger.
        arrived : int
            Value of ``arrived_tokens`` when the request began to wait.

        Returns
        -------
        float
            Seconds after which the caller may retry; 0 if tokens arrived.
        """
        if not self.is_enabled() or arrived_tokens(ledger) > arrived:
            self._by_team.pop(ledger.team, None)
            return 0
        now = self.clock.now()
        shortage = self._current(ledger)
        if shortage is None:
            shortage = _Shortage(arrived_tokens(ledger))
            self._by_team[ledger.team] = shortage
        shortage.last = now
        if now >= shortage.until:
            shortage.waits += 1
            shortage.until = now + shortage.pause
            log_event(
                _logger,
                logging.WARNING,
                'tokens_short',
                team=ledger.team,
                seconds=shortage.pause,
                retry_after=shortage.tokens_wait,
                queued=ledger.queue.tokens,
            )
        return shortage.tokens_wait

    def _current(self, ledger: Ledger) -> _Shortage | None:
        shortage = self._by_team.get(ledger.team)
        if shortage is None:
            return None
        arrived = arrived_tokens(ledger)
        is_old = self.clock.now() - shortage.last >= _FORGET_AFTER_S
        if is_old or arrived > shortage.arrived or not self.is_enabled():
            self._by_team.pop(ledger.team)
            return None
        shortage.arrived = arrived
        return shortage


def arrived_tokens(ledger: Ledger) -> int:
    """Return a number that rises whenever more tokens can be reserved.

    It rises with draws, loans, freed reservations and the opening of the
    reported allowance, and doesn't change when tokens are reserved.
    """
    usable = ledger.available
    if ledger.limiter is not None:
        usable = min(usable, ledger.limiter.room(ledger))
    return max(0, usable) + ledger.reserved_ever
