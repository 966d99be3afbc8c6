"""Tracks closed allotments that still hold tokens that may be lent."""

import attrs

from balsamreach.budget.account import (
    account_key,
    allotment_key,
    decode_account,
    decode_allotment,
    encode_record,
)
from balsamreach.budget.incarnations import unchanged_check
from balsamreach.clock import Clock
from balsamreach.services.base import (
    Commit,
    Row,
    TableService,
    Write,
)
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault
from balsamreach.services.scanning import scan_all

#: Key prefix of rows that name incarnations with such allotments.
STRANDED_PREFIX = 'stranded/'
_ATTEMPTS = 8


@attrs.define
class StrandedAllotments:
    """Lists stopped lenders and returns the tokens of their allotments.

    Parameters
    ----------
    service : TableService
        Service that stores the rows.
    clock : Clock
        Gives the time stored with an entry, for operators to read.
    """

    service: TableService
    clock: Clock

    async def record_lender(self, lender: str) -> PlatformFault | None:
        """Record a lender if any of its closed allotments remain."""
        closed_rows = await self._read_closed(lender)
        if isinstance(closed_rows, PlatformFault):
            return closed_rows
        if not closed_rows:
            return None
        entry = Write(STRANDED_PREFIX + lender, {'at': self.clock.wall()})
        outcome = await self.service.commit(Commit((entry,)))
        return outcome if isinstance(outcome, PlatformFault) else None

    async def lenders(self) -> tuple[str, ...]:
        """Return the recorded lenders; none if the service is unavailable."""
        entries = await scan_all(self.service, STRANDED_PREFIX)
        if isinstance(entries, PlatformFault):
            return ()
        return tuple(
            entry.key.removeprefix(STRANDED_PREFIX) for entry in entries
        )

    async def return_tokens(self, lender: str) -> dict[str, int]:
        """Return a lender's remaining tokens to the accounts.

        Returns
        -------
        dict of str to int
            Returned tokens by team, without teams for which it failed.
        """
        closed_rows = await self._read_closed(lender)
        if isinstance(closed_rows, PlatformFault):
            return {}
        returned: dict[str, int] = {}
        for row in closed_rows:
            team = row.key.split('/', 2)[-1]
            tokens = await self._return_allotment(lender, team)
            if isinstance(tokens, PlatformFault):
                return returned
            returned[team] = tokens
        entry = Write(STRANDED_PREFIX + lender, None)
        await self.service.commit(Commit((entry,)))
        return returned

    async def _read_closed(
        self, lender: str
    ) -> tuple[Row, ...] | PlatformFault:
        rows = await scan_all(self.service, allotment_key(lender, ''))
        if isinstance(rows, PlatformFault):
            return rows
        return tuple(row for row in rows if row.value.get('closed'))

    async def _return_allotment(
        self, lender: str, team: str
    ) -> int | PlatformFault:
        fault = CONFLICT
        for _ in range(_ATTEMPTS):
            rows = await self.service.read(
                (account_key(team), allotment_key(lender, team)),
            )
            if isinstance(rows, PlatformFault):
                return rows
            tokens = decode_allotment(rows[1].value).outstanding
            # The row is already removed, by a borrower that recorded its loan
            # or by an earlier attempt whose response was lost.
            if rows[1].value is None:
                return tokens
            outcome = await self.service.commit(_return_commit(rows, tokens))
            if not isinstance(outcome, PlatformFault):
                return tokens
            if outcome not in {CONFLICT, UNKNOWN}:
                return outcome
            fault = outcome
        return fault


def _return_commit(rows: tuple[Row, ...], tokens: int) -> Commit:
    account = decode_account(rows[0].value)
    account = attrs.evolve(account, taken=account.taken - tokens)
    # A borrower that records a loan concurrently writes the same rows; one of
    # the two commits fails its check and is retried with the new rows.
    return Commit(
        (Write(rows[0].key, encode_record(account)), Write(rows[1].key, None)),
        tuple(unchanged_check(row) for row in rows),
    )
