"""Registers which incarnation serves an address, and its predecessors."""

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
class RouterEntry:
    """The stored entry of one address.

    Parameters
    ----------
    incarnation : str
        Latest incarnation that served the address; empty after an operator
        released its allotments.
    started : float
        Unix time of its start, in seconds.
    before : tuple of str
        Earlier incarnations whose allotments are not all closed yet.
    """

    incarnation: str
    started: float
    before: tuple[str, ...] = attrs.field(default=(), converter=tuple)


@attrs.define
class AddressRegistration:
    """Registers this incarnation as the one that serves its address.

    A process that serves an address has bound its port, so an earlier
    process can't accept requests there any more. The allotments of
    predecessors are closed on this evidence, never because of a timeout.

    Parameters
    ----------
    service : TableService
        Service that stores the entries.
    address : str
        ``ip:port`` that this router serves; empty if the port may change
        with each start, since it then identifies no predecessor.
    incarnation : str
        This incarnation.
    started : float
        Unix time of its start, in seconds.
    """

    service: TableService
    address: str
    incarnation: str
    started: float
    predecessors: tuple[str, ...] = ()
    entered: bool = False
    _is_unused_address: bool = False

    @property
    def is_new_address(self) -> bool:
        """Whether it is known that no router served this address before.

        An address that may change with each start counts as new.
        """
        return self._is_unused_address or not self.address

    async def register(self) -> BudgetFault | None:
        """Register this incarnation, once, before its first draw.

        Returns
        -------
        BudgetFault or None
            TAKEN_OVER if a later incarnation already serves the address,
            NO_ALLOTMENT if the table service is unavailable.
        """
        if self.entered or not self.address:
            return None
        for _ in range(_ATTEMPTS):
            rows = await self.service.read((self._key,))
            if isinstance(rows, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {rows.code}')
            row = rows[0]
            entry = self._make_entry(row.value)
            if isinstance(entry, BudgetFault):
                return entry
            outcome = await self._write_entry(row, entry)
            if outcome is None:
                # A removed row has a version: a router shut down gracefully.
                self._is_unused_address = not row.version
                return None
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return NO_ALLOTMENT.because(
            'too many conflicts on the row of the address'
        )

    async def close_each_predecessor(
        self,
        close: Callable[[str], Awaitable[bool]],
    ) -> None:
        """Close the allotments of each predecessor.

        Predecessors without open allotments are removed from the entry.

        Parameters
        ----------
        close : callable
            Closes the allotments of one incarnation; returns False if some
            are still open.
        """
        closed = [name for name in self.predecessors if await close(name)]
        if closed:
            await self.remove_predecessors(tuple(closed))

    async def remove_predecessors(
        self, closed: tuple[str, ...]
    ) -> BudgetFault | None:
        """Remove predecessors whose allotments are all closed."""
        remaining = tuple(
            name for name in self.predecessors if name not in closed
        )
        fault = await self._replace_entry(
            RouterEntry(self.incarnation, self.started, remaining),
        )
        if fault is None:
            self.predecessors = remaining
        return fault

    async def leave(self) -> BudgetFault | None:
        """Remove the entry at a shutdown, unless predecessors remain."""
        if not self.entered or self.predecessors:
            return None
        return await self._replace_entry(None)

    async def is_gone(
        self, address: str, incarnation: str
    ) -> bool | BudgetFault:
        """Return whether an incarnation no longer serves an address.

        Parameters
        ----------
        address : str
            Address that the incarnation served.
        incarnation : str
            The incarnation to check.
        """
        rows = await self.service.read((ROUTER_PREFIX + address,))
        if isinstance(rows, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {rows.code}')
        if rows[0].value is None:
            # Only the incarnation itself removes its row, as the last step
            # of a graceful shutdown. A row that never existed (version 0)
            # proves nothing.
            return rows[0].version > 0
        return rows[0].value['incarnation'] != incarnation

    @property
    def _key(self) -> str:
        return ROUTER_PREFIX + self.address

    def _make_entry(
        self,
        stored: dict[str, object] | None,
    ) -> RouterEntry | BudgetFault:
        if stored is None:
            return RouterEntry(self.incarnation, self.started)
        stored_entry = RouterEntry(**stored)
        # The entry was written before, but the response was lost.
        if stored_entry.incarnation == self.incarnation:
            return stored_entry
        # An operator released the allotments of the previous incarnation, and
        # no router serves the address now.
        if not stored_entry.incarnation:
            return RouterEntry(
                self.incarnation, self.started, stored_entry.before
            )
        if stored_entry.started > self.started:
            return TAKEN_OVER.because('a later router has our address')
        predecessors = (*stored_entry.before, stored_entry.incarnation)
        return RouterEntry(self.incarnation, self.started, predecessors)

    async def _write_entry(
        self,
        row: Row,
        entry: RouterEntry,
    ) -> PlatformFault | None:
        outcome = await self._write(row, entry)
        if isinstance(outcome, PlatformFault):
            return outcome
        self.entered = True
        self.predecessors = entry.before
        return None

    async def _replace_entry(
        self, entry: RouterEntry | None
    ) -> BudgetFault | None:
        rows = await self.service.read((self._key,))
        if isinstance(rows, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {rows.code}')
        stored = rows[0].value
        if stored is None or stored['incarnation'] != self.incarnation:
            return TAKEN_OVER.because('a later router has our address')
        outcome = await self._write(rows[0], entry)
        if isinstance(outcome, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return None

    async def _write(
        self,
        row: Row,
        entry: RouterEntry | None,
    ) -> int | PlatformFault:
        fields = None if entry is None else attrs.asdict(entry)
        return await self.service.commit(
            Commit((Write(self._key, fields),), (unchanged_check(row),)),
        )


def unchanged_check(row: Row) -> Check:
    """Return the check that a row has not changed since it was read."""
    return Check(row.key, ABSENT if row.value is None else row.version)
