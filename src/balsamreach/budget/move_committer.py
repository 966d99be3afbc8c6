"""Commits moves of tokens between accounts and this router's allotments."""

import random

import attrs

from balsamreach.budget.account import account_key, allotment_key
from balsamreach.budget.faults import (
    CONTENDED,
    NO_ALLOTMENT,
    TAKEN_OVER,
    BudgetFault,
)
from balsamreach.budget.moves import (
    Move,
    MovePlan,
    MoveResult,
    MoveRows,
    plan_move,
)
from balsamreach.clock import Clock
from balsamreach.services.base import Commit, Row, TableService
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault

_ATTEMPT_LIMIT = 8
_FIRST_PAUSE_S = 0.01

Outcomes = dict[str, MoveResult | BudgetFault]


@attrs.define
class MoveCommitter:
    """Commits the moves of one incarnation, one commit of a team at a time.

    Parameters
    ----------
    service : TableService
        Where accounts and allotments are stored.
    incarnation : str
        Whose allotments are moved.
    clock : Clock
        Time for pauses between attempts.
    rng : Random
        Jitter of those pauses.
    caches_own_rows : bool
        Whether it uses its last written version of its own rows, which saves
        a read for each move. Worth it where others rarely write these rows.
    conflicts : int
        Commits that conflicted.
    """

    service: TableService
    incarnation: str
    clock: Clock
    rng: random.Random
    caches_own_rows: bool = False
    conflicts: int = 0
    _attempt_number: int = 0
    _unresolved: dict[int, dict[str, MovePlan]] = attrs.field(factory=dict)
    _cached_rows: dict[str, Row] = attrs.field(factory=dict)

    async def commit(self, moves: tuple[Move, ...]) -> Outcomes | BudgetFault:
        """Apply moves of different teams in one commit.

        Parameters
        ----------
        moves : tuple of Move
            At most one for each team.

        Returns
        -------
        dict or BudgetFault
            For each team its result, or why nothing was moved. A single
            fault means that nothing is known to have moved: NO_ALLOTMENT if
            the table service is away, TAKEN_OVER if a successor closed an
            allotment, CONTENDED if each attempt conflicted with others.
        """
        for attempt in range(_ATTEMPT_LIMIT):
            rows = await self._read(moves)
            if isinstance(rows, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {rows.code}')
            self._attempt_number += 1
            number = self._attempt_number
            plans = {
                move.team: plan_move(move, self._move_rows(move, rows, number))
                for move in moves
            }
            if TAKEN_OVER in plans.values():
                return TAKEN_OVER.because('an allotment was closed')
            outcome = await self._commit(plans, number)
            if not isinstance(outcome, PlatformFault):
                self._drop_resolved(plans)
                return _outcomes(plans)
            if outcome not in {CONFLICT, UNKNOWN}:
                return NO_ALLOTMENT.because(f'table service: {outcome.code}')
            await self._pause(attempt)
        return CONTENDED.because('the accounts are contended')

    def is_pending(self, team: str) -> bool:
        """Return whether an attempt for a team may still take effect."""
        return any(team in plans for plans in self._unresolved.values())

    async def _read(
        self,
        moves: tuple[Move, ...],
    ) -> dict[str, Row] | PlatformFault:
        keys: set[str] = set()
        for move in moves:
            keys.add(account_key(move.team))
            keys.add(allotment_key(self.incarnation, move.team))
            keys.update(
                allotment_key(loan.lender, move.team) for loan in move.loans
            )
        # A cached row is current unless a borrower has recorded a loan in
        # it, and then the commit conflicts.
        cached = {
            key: self._cached_rows[key] for key in keys & set(self._cached_rows)
        }
        rows = await self.service.read(tuple(sorted(keys - set(cached))))
        if isinstance(rows, PlatformFault):
            return rows
        return cached | {row.key: row for row in rows}

    def _move_rows(
        self, move: Move, rows: dict[str, Row], number: int
    ) -> MoveRows:
        own = rows[allotment_key(self.incarnation, move.team)]
        # An attempt whose answer was lost has left its number in the row if
        # it took effect. No two attempts share a number, so neither a loan
        # is recorded nor a draw made a second time.
        stored = (own.value or {}).get('seq', 0)
        earlier_plan = self._unresolved.get(stored, {}).get(move.team)
        return MoveRows(
            attempt_number=number,
            wall_time=self.clock.wall(),
            account=rows[account_key(move.team)],
            own=own,
            lenders=tuple(
                rows[key]
                for key in sorted(
                    {
                        allotment_key(loan.lender, move.team)
                        for loan in move.loans
                    }
                )
            ),
            earlier_plan=earlier_plan,
        )

    async def _commit(
        self,
        plans: dict[str, MovePlan | BudgetFault],
        number: int,
    ) -> int | PlatformFault:
        planned = {
            team: plan
            for team, plan in plans.items()
            if isinstance(plan, MovePlan)
        }
        writes = [write for plan in planned.values() for write in plan.writes]
        checks = [check for plan in planned.values() for check in plan.checks]
        if not writes:
            return 0
        outcome = await self.service.commit(
            Commit(tuple(writes), tuple(checks)),
        )
        if outcome == UNKNOWN:
            self._unresolved[number] = planned
        elif outcome == CONFLICT:
            self.conflicts += 1
        if self.caches_own_rows:
            self._update_cache(planned, outcome)
        return outcome

    def _update_cache(
        self,
        planned: dict[str, MovePlan],
        outcome: int | PlatformFault,
    ) -> None:
        for team, plan in planned.items():
            own = allotment_key(self.incarnation, team)
            self._cached_rows.pop(own, None)
            if isinstance(outcome, PlatformFault):
                continue
            written = {write.key: write.value for write in plan.writes}
            if own in written:
                self._cached_rows[own] = Row(own, outcome, written[own])

    def _drop_resolved(self, plans: dict[str, MovePlan | BudgetFault]) -> None:
        # An attempt that is still in flight fails once the row holds a later
        # commit of this router. Until then it may still take effect.
        resolved = {
            team
            for team, plan in plans.items()
            if isinstance(plan, MovePlan) and (plan.writes or plan.is_earlier)
        }
        for number, unresolved in tuple(self._unresolved.items()):
            for team in resolved.intersection(unresolved):
                unresolved.pop(team)
            if not unresolved:
                self._unresolved.pop(number)

    async def _pause(self, attempt: int) -> None:
        # Many routers draw on a busy team's account. If they repeated a
        # conflicting commit in step, all but one would fail each time, with
        # many conflicts for each draw. So pauses have full jitter.
        longest = _FIRST_PAUSE_S * 2**attempt
        await self.clock.sleep(self.rng.uniform(0, longest))


def _outcomes(plans: dict[str, MovePlan | BudgetFault]) -> Outcomes:
    return {
        team: plan if isinstance(plan, BudgetFault) else plan.result
        for team, plan in plans.items()
    }
