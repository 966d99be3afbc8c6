"""Closed allotments in which tokens are left that may be lent."""

import attrs

from balsamreach.budget.account import (
    account_key,
    allotment_key,
    decode_account,
    decode_allotment,
    encode,
)
from balsamreach.budget.incarnations import live_check
from balsamreach.clock import Clock
from balsamreach.services.base import (
    Commit,
    Row,
    TableService,
    Write,
)
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault
from balsamreach.services.scanning import scan_all

#: Rows that name incarnations with such allotments.
STRANDED_PREFIX = 'stranded/'
_ATTEMPTS = 8


@attrs.define
class Leftovers:
    """Keeps a list of lenders that are gone, and empties their rows.

    Parameters
    ----------
    service : TableService
        Where the rows are.
    clock : Clock
        Time of an entry, for people.
    """

    service: TableService
    clock: Clock

    async def note(self, lender: str) -> PlatformFault | None:
        """Enter a lender whose allotments were closed, if any is left."""
        left = await self._left(lender)
        if isinstance(left, PlatformFault):
            return left
        if not left:
            return None
        entry = Write(STRANDED_PREFIX + lender, {'at': self.clock.wall()})
        outcome = await self.service.commit(Commit((entry,)))
        return outcome if isinstance(outcome, PlatformFault) else None

    async def lenders(self) -> tuple[str, ...]:
        """Return the lenders entered; none while the service is away."""
        entries = await scan_all(self.service, STRANDED_PREFIX)
        if isinstance(entries, PlatformFault):
            return ()
        return tuple(
            entry.key.removeprefix(STRANDED_PREFIX) for entry in entries
        )

    async def give_back(self, lender: str) -> dict[str, int]:
        """Give back all that is left; return the tokens by team."""
        left = await self._left(lender)
        if isinstance(left, PlatformFault):
            return {}
        returned: dict[str, int] = {}
        for row in left:
            team = row.key.split('/', 2)[-1]
            tokens = await self._empty(lender, team)
            if isinstance(tokens, PlatformFault):
                return returned
            returned[team] = tokens
        entry = Write(STRANDED_PREFIX + lender, None)
        await self.service.commit(Commit((entry,)))
        return returned

    async def _left(self, lender: str) -> tuple[Row, ...] | PlatformFault:
        rows = await scan_all(self.service, allotment_key(lender, ''))
        if isinstance(rows, PlatformFault):
            return rows
        return tuple(row for row in rows if row.value.get('closed'))

    async def _empty(self, lender: str, team: str) -> int | PlatformFault:
        fault = CONFLICT
        for _ in range(_ATTEMPTS):
            rows = await self.service.read(
                (account_key(team), allotment_key(lender, team)),
            )
            if isinstance(rows, PlatformFault):
                return rows
            tokens = decode_allotment(rows[1].value).outstanding
            # Nothing is left of a row that a borrower emptied meanwhile, or
            # an attempt of ours whose answer was lost.
            if rows[1].value is None:
                return tokens
            outcome = await self.service.commit(_empty(rows, tokens))
            if not isinstance(outcome, PlatformFault):
                return tokens
            if outcome not in {CONFLICT, UNKNOWN}:
                return outcome
            fault = outcome
        return fault


def _empty(rows: tuple[Row, ...], tokens: int) -> Commit:
    account = decode_account(rows[0].value)
    account = attrs.evolve(account, taken=account.taken - tokens)
    # A borrower that records a loan at the same time writes the same rows;
    # one of the two fails its check and looks again.
    return Commit(
        (Write(rows[0].key, encode(account)), Write(rows[1].key, None)),
        tuple(live_check(row) for row in rows),
    )
