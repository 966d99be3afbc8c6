"""Moves tokens between accounts and this router's allotments."""

import random

import attrs

from balsamreach.budget.account import account_key, allotment_key
from balsamreach.budget.faults import (
    CONTENDED,
    NO_ALLOTMENT,
    TAKEN_OVER,
    BudgetFault,
)
from balsamreach.budget.moves import Move, Moved, Plan, Records, plan_move
from balsamreach.clock import Clock
from balsamreach.services.base import Commit, Row, TableService
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault

_ATTEMPTS = 8
_FIRST_PAUSE_S = 0.01

Outcomes = dict[str, Moved | BudgetFault]


@attrs.define
class Drawer:
    """Draws and returns for one incarnation, one commit at a time.

    Parameters
    ----------
    service : TableService
        Where accounts and allotments are kept.
    incarnation : str
        Whose allotments they are.
    clock : Clock
        Time for pauses between attempts.
    rng : Random
        Jitter of those pauses.
    remembers : bool
        Whether it goes by what it wrote last in its own rows, which saves a
        read for each move. Of use where hardly anybody else writes there.
    """

    service: TableService
    incarnation: str
    clock: Clock
    rng: random.Random
    remembers: bool = False
    conflicts: int = 0
    _number: int = 0
    _unknown: dict[int, dict[str, Plan]] = attrs.field(factory=dict)
    _written: dict[str, Row] = attrs.field(factory=dict)

    async def move(self, moves: tuple[Move, ...]) -> Outcomes | BudgetFault:
        """Apply moves of different teams in one commit.

        Parameters
        ----------
        moves : tuple of Move
            At most one for each team.

        Returns
        -------
        dict or BudgetFault
            For each team what was moved, or why nothing was. NO_ALLOTMENT
            if the table service is away and TAKEN_OVER if a successor
            closed an allotment, CONTENDED if others were always faster;
            nothing is known to have moved then.
        """
        for attempt in range(_ATTEMPTS):
            read = await self._read(moves)
            if isinstance(read, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {read.code}')
            self._number += 1
            plans = {
                one.team: plan_move(one, self._records(one, read))
                for one in moves
            }
            if TAKEN_OVER in plans.values():
                return TAKEN_OVER.because('an allotment was closed')
            outcome = await self._commit(plans)
            if not isinstance(outcome, PlatformFault):
                self._resolve(plans)
                return _outcomes(plans)
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
            await self._pause(attempt)
        return CONTENDED.because('the accounts are contended')

    def is_pending(self, team: str) -> bool:
        """Return whether an attempt for a team may yet take effect."""
        return any(team in unknown for unknown in self._unknown.values())

    async def _read(
        self,
        moves: tuple[Move, ...],
    ) -> dict[str, Row] | PlatformFault:
        keys: set[str] = set()
        for one in moves:
            keys.add(account_key(one.team))
            keys.add(allotment_key(self.incarnation, one.team))
            keys.update(
                allotment_key(loan.lender, one.team) for loan in one.loans
            )
        # What this router wrote last in its own rows still stands there,
        # unless a borrower has recorded a loan. Then the commit conflicts.
        known = {key: self._written[key] for key in keys & set(self._written)}
        rows = await self.service.read(tuple(sorted(keys - set(known))))
        if isinstance(rows, PlatformFault):
            return rows
        return known | {row.key: row for row in rows}

    def _records(self, move: Move, read: dict[str, Row]) -> Records:
        own = read[allotment_key(self.incarnation, move.team)]
        # An attempt whose answer was lost has left its number in the row if
        # it took effect. No two attempts share a number, so a loan is not
        # recorded and a draw not made a second time.
        number = (own.value or {}).get('seq', 0)
        landed = self._unknown.get(number, {}).get(move.team)
        return Records(
            number=self._number,
            at=self.clock.wall(),
            account=read[account_key(move.team)],
            own=own,
            lenders=tuple(
                read[key]
                for key in sorted(
                    {
                        allotment_key(loan.lender, move.team)
                        for loan in move.loans
                    }
                )
            ),
            landed=landed,
        )

    async def _commit(
        self,
        plans: dict[str, Plan | BudgetFault],
    ) -> int | PlatformFault:
        planned = {
            team: plan for team, plan in plans.items() if isinstance(plan, Plan)
        }
        writes = [write for plan in planned.values() for write in plan.writes]
        checks = [check for plan in planned.values() for check in plan.checks]
        if not writes:
            return 0
        outcome = await self.service.commit(
            Commit(tuple(writes), tuple(checks)),
        )
        if outcome == UNKNOWN:
            self._unknown[self._number] = planned
        elif outcome == CONFLICT:
            self.conflicts += 1
        if self.remembers:
            self._remember(planned, outcome)
        return outcome

    def _remember(
        self,
        planned: dict[str, Plan],
        outcome: int | PlatformFault,
    ) -> None:
        for team, plan in planned.items():
            own = allotment_key(self.incarnation, team)
            self._written.pop(own, None)
            if isinstance(outcome, PlatformFault):
                continue
            written = {write.key: write.value for write in plan.writes}
            if own in written:
                self._written[own] = Row(own, outcome, written[own])

    def _resolve(self, plans: dict[str, Plan | BudgetFault]) -> None:
        # An attempt that is still on its way fails once a later commit of
        # ours stands in the row. Until then it may yet take effect.
        over = {
            team
            for team, plan in plans.items()
            if isinstance(plan, Plan) and (plan.writes or plan.landed)
        }
        for number, unknown in tuple(self._unknown.items()):
            for team in over.intersection(unknown):
                unknown.pop(team)
            if not unknown:
                self._unknown.pop(number)

    async def _pause(self, attempt: int) -> None:
        # Many routers draw on a busy team's account. Were they to repeat a
        # conflicting commit in step, all but one would fail each time; it
        # would show as many conflicts for each draw.
        longest = _FIRST_PAUSE_S * 2**attempt
        await self.clock.sleep(self.rng.uniform(0, longest))


def _outcomes(plans: dict[str, Plan | BudgetFault]) -> Outcomes:
    return {
        team: plan if isinstance(plan, BudgetFault) else plan.moved
        for team, plan in plans.items()
    }
