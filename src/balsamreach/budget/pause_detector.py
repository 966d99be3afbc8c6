"""Detects that this process was paused and verifies its allotments."""

import asyncio

import attrs

from balsamreach.budget.account import allotment_key
from balsamreach.budget.book import LedgerBook
from balsamreach.budget.faults import NO_ALLOTMENT, TAKEN_OVER, BudgetFault
from balsamreach.budget.incarnations import AddressRegistration
from balsamreach.clock import Clock
from balsamreach.services.base import Row, TableService
from balsamreach.services.faults import PlatformFault

#: Seconds between two ticks.
TICK_INTERVAL_S = 1
#: A longer gap between two ticks, in seconds, counts as a pause of the process.
PAUSE_THRESHOLD_S = 5
_MAX_READ_KEYS = 200


@attrs.define
class PauseDetector:
    """Makes the router verify its allotments after a pause.

    After a pause the state in memory may be outdated: a successor may have
    closed the allotments, and tokens spent then are not covered. Recorded
    spend stays within the budget without this check; the check keeps the
    process from serving requests that it could no longer bill.

    Parameters
    ----------
    service : TableService
        Service that stores the allotments.
    book : LedgerBook
        This router's ledgers.
    registration : AddressRegistration
        Tells whether another incarnation serves this router's address.
    clock : Clock
        Clock that shows pauses.
    strict : bool
        Whether to refuse requests while the allotments can't be read.
    """

    service: TableService
    book: LedgerBook
    registration: AddressRegistration
    clock: Clock
    strict: bool
    pauses: int = 0
    _last_tick: float = 0
    _needs_check: bool = False
    _last_check: float = -PAUSE_THRESHOLD_S

    def __attrs_post_init__(self) -> None:
        """Set the time of the first tick."""
        self._last_tick = self.clock.now()

    def tick(self) -> None:
        """Compare the time with the last tick to detect a pause."""
        now = self.clock.now()
        if now - self._last_tick > PAUSE_THRESHOLD_S:
            self._needs_check = True
            self.pauses += 1
        self._last_tick = now

    def needs_check(self) -> bool:
        """Return whether the allotments have to be verified."""
        self.tick()
        return self._needs_check

    async def verify_allotments(self) -> BudgetFault | None:
        """Verify the allotments after a pause.

        Returns
        -------
        BudgetFault or None
            TAKEN_OVER if an allotment was closed or another router serves
            the address; NO_ALLOTMENT if that could not be checked and the
            posture is strict.
        """
        now = self.clock.now()
        if now - self._last_check < TICK_INTERVAL_S:
            return self._unverified_fault()
        self._last_check = now
        fault = await asyncio.shield(asyncio.ensure_future(self._verify()))
        if fault == TAKEN_OVER:
            self.book.note_fault(fault)
            return fault
        if fault is not None:
            return self._unverified_fault()
        self._needs_check = False
        return None

    def _unverified_fault(self) -> BudgetFault | None:
        if self.strict and self._needs_check:
            return NO_ALLOTMENT.because('paused; allotments not read again yet')
        return None

    async def _verify(self) -> BudgetFault | None:
        me = self.registration
        if me.entered and await me.is_gone(me.address, me.incarnation) is True:
            return TAKEN_OVER.because('another router has our address')
        keys = [
            allotment_key(me.incarnation, ledger.team)
            for ledger in self.book.ledgers.values()
            if ledger.seq
        ]
        for start in range(0, len(keys), _MAX_READ_KEYS):
            rows = await self.service.read(
                tuple(keys[start : start + _MAX_READ_KEYS]),
            )
            if isinstance(rows, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {rows.code}')
            if any(_is_closed(row) for row in rows):
                return TAKEN_OVER.because('an allotment was closed')
        return None


def _is_closed(row: Row) -> bool:
    return row.value is None or row.value.get('closed', False)
