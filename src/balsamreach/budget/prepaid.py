"""Accounts of teams whose prepaid tokens stand in the configuration."""

from collections.abc import Callable

import attrs

from balsamreach.budget.account import ACCOUNT_PREFIX, Account, encode
from balsamreach.services.base import Commit, Page, Row, Scan, TableService
from balsamreach.services.faults import PlatformFault

#: Returns a team's prepaid tokens, None where it is not metered.
Prepaid = Callable[[str], int | None]


@attrs.define
class PrepaidAccounts(TableService):
    """Accounts whose prepaid tokens stand in the operators' configuration.

    The row keeps what was taken. Were the prepaid tokens kept there too, a
    top-up would need a change of its own, which could be lost or doubled.

    Parameters
    ----------
    service : TableService
        Where the rows are.
    prepaid : callable
        What the configuration in force says.
    """

    service: TableService
    prepaid: Prepaid

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a conditional commit."""
        return await self.service.commit(change)

    async def read(
        self,
        keys: tuple[str, ...],
    ) -> tuple[Row, ...] | PlatformFault:
        """Read rows, accounts with what is prepaid now."""
        rows = await self.service.read(keys)
        if isinstance(rows, PlatformFault):
            return rows
        return tuple(map(self._with_prepaid, rows))

    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Read one page of the rows under a prefix."""
        return await self.service.scan(scan)

    def _with_prepaid(self, row: Row) -> Row:
        if not row.key.startswith(ACCOUNT_PREFIX):
            return row
        prepaid = self.prepaid(row.key.removeprefix(ACCOUNT_PREFIX))
        if prepaid is None:
            return row
        taken = (row.value or encode(Account())) | {'prepaid': prepaid}
        return Row(row.key, row.version, taken)
