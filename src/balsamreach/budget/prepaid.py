"""Accounts whose prepaid tokens are set in the configuration."""

from collections.abc import Callable

import attrs

from balsamreach.budget.account import ACCOUNT_PREFIX, Account, encode_record
from balsamreach.services.base import Commit, Page, Row, Scan, TableService
from balsamreach.services.faults import PlatformFault

#: Returns the prepaid tokens of a team, None if it is not metered.
PrepaidLookup = Callable[[str], int | None]


@attrs.define
class PrepaidAccounts(TableService):
    """Table service that takes prepaid tokens from the configuration.

    The stored row of an account keeps only its taken tokens. If it stored the
    prepaid tokens too, each top-up would need a separate write, which could
    be lost or applied twice.

    Parameters
    ----------
    service : TableService
        Service that stores the rows.
    prepaid : callable
        Returns a team's prepaid tokens in the current configuration.
    """

    service: TableService
    prepaid: PrepaidLookup

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a conditional commit."""
        return await self.service.commit(change)

    async def read(
        self,
        keys: tuple[str, ...],
    ) -> tuple[Row, ...] | PlatformFault:
        """Read rows; accounts get their current prepaid tokens."""
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
        value = (row.value or encode_record(Account())) | {'prepaid': prepaid}
        return Row(row.key, row.version, value)
