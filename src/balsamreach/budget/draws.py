"""Draws tokens from a team's account into this router's allotment."""

import attrs

from balsamreach.budget.account import (
    Account,
    Allotment,
    account_key,
    allotment_key,
    decode_account,
    decode_allotment,
    encode,
)
from balsamreach.budget.faults import (
    EXHAUSTED,
    NO_ACCOUNT,
    NO_ALLOTMENT,
    TAKEN_OVER,
    BudgetFault,
)
from balsamreach.platform.base import Check, Commit, Row, TableService, Write
from balsamreach.platform.faults import CONFLICT, UNKNOWN, PlatformFault

_ATTEMPTS = 8


@attrs.frozen
class Records:
    """An account and an allotment as read, with their row versions."""

    account: Account
    allotment: Allotment
    account_row: Row
    allotment_row: Row

    def checks(self) -> tuple[Check, ...]:
        """Return the conditions that make a commit see what was read."""
        return tuple(
            Check(row.key, row.version if row.value is not None else 0)
            for row in (self.account_row, self.allotment_row)
        )


@attrs.define
class Drawer:
    """Moves tokens between accounts and one incarnation's allotments."""

    service: TableService
    incarnation: str

    async def read(self, team: str) -> Records | BudgetFault:
        """Read the team's account and this incarnation's allotment."""
        rows = await self.service.read(
            (account_key(team), allotment_key(self.incarnation, team)),
        )
        if isinstance(rows, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {rows.code}')
        account_row, allotment_row = rows
        if account_row.value is None:
            return NO_ACCOUNT.because(f'team {team} has no account')
        # The holder never deletes its own row. One that existed and is gone
        # was closed by a successor, which gave the rest back to the account:
        # spending here would spend those tokens a second time.
        if allotment_row.value is None and allotment_row.version:
            return TAKEN_OVER.because(f'allotment of {team} was closed')
        return Records(
            decode_account(account_row.value),
            decode_allotment(allotment_row.value),
            account_row,
            allotment_row,
        )

    async def draw(
        self,
        team: str,
        least: int,
        wanted: int,
    ) -> Allotment | BudgetFault:
        """Draw tokens into the allotment.

        Parameters
        ----------
        team : str
            Whose account to draw on.
        least : int
            Tokens without which the draw is of no use.
        wanted : int
            Tokens to draw if the account has them free.

        Returns
        -------
        Allotment or BudgetFault
            The allotment after the draw, or EXHAUSTED, NO_ALLOTMENT,
            NO_ACCOUNT or TAKEN_OVER; nothing was drawn then.
        """
        records = await self.read(team)
        for _ in range(_ATTEMPTS):
            if isinstance(records, BudgetFault):
                return records
            amount = min(wanted, records.account.free)
            if amount < least:
                return EXHAUSTED.because(
                    f'team {team} has {records.account.free} tokens free',
                )
            outcome = await self._move(records, team, amount)
            if isinstance(outcome, Allotment):
                return outcome
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
            seq = records.allotment.seq
            records = await self.read(team)
            if isinstance(records, Records) and records.allotment.seq > seq:
                return records.allotment
        return NO_ALLOTMENT.because(f'account of {team} is contended')

    async def _move(
        self,
        records: Records,
        team: str,
        amount: int,
    ) -> Allotment | PlatformFault:
        account = attrs.evolve(
            records.account,
            taken=records.account.taken + amount,
        )
        allotment = attrs.evolve(
            records.allotment,
            granted=records.allotment.granted + amount,
            seq=records.allotment.seq + 1,
        )
        version = await self.service.commit(
            Commit(
                (
                    Write(account_key(team), encode(account)),
                    Write(
                        allotment_key(self.incarnation, team),
                        encode(allotment),
                    ),
                ),
                records.checks(),
            ),
        )
        # A lost answer leaves open whether the draw took effect. The caller
        # reads the rows again: only this holder writes the allotment, so a
        # higher sequence number there means that the draw was applied. A
        # commit still on its way fails its checks once another one landed.
        return version if isinstance(version, PlatformFault) else allotment
