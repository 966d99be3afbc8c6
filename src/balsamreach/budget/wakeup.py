"""Notices that this process was paused, and asks what it still holds."""

import asyncio

import attrs

from balsamreach.budget.account import allotment_key
from balsamreach.budget.book import Book
from balsamreach.budget.faults import NO_ALLOTMENT, TAKEN_OVER, BudgetFault
from balsamreach.budget.incarnations import Incarnations
from balsamreach.clock import Clock
from balsamreach.services.base import Row, TableService
from balsamreach.services.faults import PlatformFault

#: Seconds between two looks at the clock.
BEAT_S = 1
#: A longer gap means that the process did not run meanwhile.
PAUSE_S = 5
_MOST_ROWS = 200


@attrs.define
class Wakeup:
    """Holds new requests back after a pause until the rows are read again.

    A paused process believes what it believed. Its allotments may have been
    closed meanwhile, and what it spends then is not covered. Recorded spend
    stays within the budget without this check; the check keeps the process
    from serving what it could no longer bill.

    Parameters
    ----------
    service : TableService
        Where the allotments are.
    book : Book
        This router's ledgers.
    incarnations : Incarnations
        Tells whether another one serves our address.
    clock : Clock
        Shows the pause.
    strict : bool
        Whether to refuse requests while the rows can't be read.
    """

    service: TableService
    book: Book
    incarnations: Incarnations
    clock: Clock
    strict: bool
    pauses: int = 0
    _beat_at: float = 0
    _unchecked: bool = False
    _asked_at: float = -PAUSE_S

    def __attrs_post_init__(self) -> None:
        """Begin with a beat now."""
        self._beat_at = self.clock.now()

    def beat(self) -> None:
        """Look at the clock."""
        now = self.clock.now()
        if now - self._beat_at > PAUSE_S:
            self._unchecked = True
            self.pauses += 1
        self._beat_at = now

    def is_due(self) -> bool:
        """Return whether the allotments have to be looked at again."""
        self.beat()
        return self._unchecked

    async def check(self) -> BudgetFault | None:
        """Read the allotments again after a pause.

        Returns
        -------
        BudgetFault or None
            TAKEN_OVER if one of them was closed. NO_ALLOTMENT if they can't
            be read and the posture is strict.
        """
        now = self.clock.now()
        if now - self._asked_at < BEAT_S:
            return self._not_known()
        self._asked_at = now
        fault = await asyncio.shield(asyncio.ensure_future(self._read()))
        if fault == TAKEN_OVER:
            self.book.note(fault)
            return fault
        if fault is not None:
            return self._not_known()
        self._unchecked = False
        return None

    def _not_known(self) -> BudgetFault | None:
        if self.strict and self._unchecked:
            return NO_ALLOTMENT.because('paused; allotments not read again')
        return None

    async def _read(self) -> BudgetFault | None:
        me = self.incarnations
        if me.entered and await me.is_gone(me.address, me.incarnation) is True:
            return TAKEN_OVER.because('another router has our address')
        held = [
            allotment_key(me.incarnation, ledger.team)
            for ledger in self.book.ledgers.values()
            if ledger.seq
        ]
        for start in range(0, len(held), _MOST_ROWS):
            rows = await self.service.read(
                tuple(held[start : start + _MOST_ROWS]),
            )
            if isinstance(rows, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {rows.code}')
            if any(_is_closed(row) for row in rows):
                return TAKEN_OVER.because('an allotment of ours was closed')
        return None


def _is_closed(row: Row) -> bool:
    return row.value is None or row.value.get('closed', False)
