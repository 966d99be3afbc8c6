"""Which incarnation serves an address, and which ones came before it."""

from collections.abc import Awaitable, Callable

import attrs

from balsamreach.budget.faults import NO_ALLOTMENT, TAKEN_OVER, BudgetFault
from balsamreach.services.base import (
    ABSENT,
    Check,
    Commit,
    Row,
    TableService,
    Write,
)
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault

ROUTER_PREFIX = 'router/'
_ATTEMPTS = 8


@attrs.frozen
class Seating:
    """The row of one address.

    Parameters
    ----------
    incarnation : str
        Latest incarnation that served the address; empty after an operator
        released what that one held.
    started : float
        Wall time of its start.
    before : tuple of str
        Earlier incarnations whose allotments are not all closed yet.
    """

    incarnation: str
    started: float
    before: tuple[str, ...] = attrs.field(default=(), converter=tuple)


@attrs.define
class Incarnations:
    """Enters this incarnation as the one that serves its address.

    A process that serves an address has bound its port, so whoever served
    it before cannot take requests there any more: that, and no lapse of
    time, is the evidence on which its allotments are closed.

    Parameters
    ----------
    service : TableService
        Where the rows are.
    address : str
        ``ip:port`` that this router serves; empty where the port may change
        from start to start, so that it tells nothing about others.
    incarnation : str
        This incarnation.
    started : float
        Wall time of its start.
    """

    service: TableService
    address: str
    incarnation: str
    started: float
    before: tuple[str, ...] = ()
    entered: bool = False
    _is_empty: bool = False

    @property
    def is_first(self) -> bool:
        """Whether it is known that nobody served this address before.

        Addresses that may change from start to start count as new.
        """
        return self._is_empty or not self.address

    async def enter(self) -> BudgetFault | None:
        """Enter this incarnation, once, before it draws anything.

        Returns
        -------
        BudgetFault or None
            TAKEN_OVER if a later incarnation serves the address already.
        """
        if self.entered or not self.address:
            return None
        for _ in range(_ATTEMPTS):
            rows = await self.service.read((self._key,))
            if isinstance(rows, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {rows.code}')
            seat = rows[0]
            seating = self._as_next(seat.value)
            if isinstance(seating, BudgetFault):
                return seating
            outcome = await self._enter_as(seat, seating)
            if outcome is None:
                # A row that was removed tells of an earlier graceful end.
                self._is_empty = not seat.version
                return None
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return NO_ALLOTMENT.because('the row of our address is contended')

    async def close_before(
        self,
        close: Callable[[str], Awaitable[bool]],
    ) -> None:
        """Close what each predecessor held, and strike those that are done.

        Parameters
        ----------
        close : callable
            Closes what one incarnation held; False if something is left.
        """
        closed = [name for name in self.before if await close(name)]
        if closed:
            await self.forget(tuple(closed))

    async def forget(self, closed: tuple[str, ...]) -> BudgetFault | None:
        """Strike predecessors whose allotments are all closed."""
        left = tuple(name for name in self.before if name not in closed)
        fault = await self._replace(
            Seating(self.incarnation, self.started, left),
        )
        if fault is None:
            self.before = left
        return fault

    async def leave(self) -> BudgetFault | None:
        """Remove the row after a graceful end, unless work is left."""
        if not self.entered or self.before:
            return None
        return await self._replace(None)

    async def is_gone(
        self, address: str, incarnation: str
    ) -> bool | BudgetFault:
        """Return whether an incarnation no longer serves an address.

        Parameters
        ----------
        address : str
            Address that it served.
        incarnation : str
            The incarnation asked about.
        """
        rows = await self.service.read((ROUTER_PREFIX + address,))
        if isinstance(rows, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {rows.code}')
        if rows[0].value is None:
            # Only the incarnation itself removes its row, as the last step
            # of a graceful end; a row that never was tells nothing.
            return rows[0].version > 0
        return rows[0].value['incarnation'] != incarnation

    @property
    def _key(self) -> str:
        return ROUTER_PREFIX + self.address

    def _as_next(
        self,
        stored: dict[str, object] | None,
    ) -> Seating | BudgetFault:
        if stored is None:
            return Seating(self.incarnation, self.started)
        earlier = Seating(**stored)
        # The answer to our own entry was lost.
        if earlier.incarnation == self.incarnation:
            return earlier
        # An operator released what the earlier one held; nobody serves now.
        if not earlier.incarnation:
            return Seating(self.incarnation, self.started, earlier.before)
        if earlier.started > self.started:
            return TAKEN_OVER.because('a later router has our address')
        before = (*earlier.before, earlier.incarnation)
        return Seating(self.incarnation, self.started, before)

    async def _enter_as(
        self,
        row: Row,
        seating: Seating,
    ) -> PlatformFault | None:
        outcome = await self._write(row, seating)
        if isinstance(outcome, PlatformFault):
            return outcome
        self.entered = True
        self.before = seating.before
        return None

    async def _replace(self, seating: Seating | None) -> BudgetFault | None:
        rows = await self.service.read((self._key,))
        if isinstance(rows, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {rows.code}')
        stored = rows[0].value
        if stored is None or stored['incarnation'] != self.incarnation:
            return TAKEN_OVER.because('a later router has our address')
        outcome = await self._write(rows[0], seating)
        if isinstance(outcome, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return None

    async def _write(
        self,
        row: Row,
        seating: Seating | None,
    ) -> int | PlatformFault:
        fields = None if seating is None else attrs.asdict(seating)
        return await self.service.commit(
            Commit((Write(self._key, fields),), (live_check(row),)),
        )


def live_check(row: Row) -> Check:
    """Return the check that a row is still as it was read."""
    return Check(row.key, ABSENT if row.value is None else row.version)
