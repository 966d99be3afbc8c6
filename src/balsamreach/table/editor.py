"""Commits operators' edits with optimistic locking, idempotent by edit id."""

import random
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.services.base import Commit, Row, TableService
from balsamreach.services.faults import (
    CONFLICT,
    INVALID,
    UNKNOWN,
    PlatformFault,
)
from balsamreach.table.edits import (
    Accepted,
    Edit,
    EditPlan,
    StoredRows,
    check_id_reuse,
    plan_edit,
)
from balsamreach.table.faults import (
    BAD_ROW,
    EDIT_UNKNOWN,
    TABLE_UNAVAILABLE,
    TableFault,
)
from balsamreach.telemetry.metrics import Metrics

#: Maximum number of edits in one call.
MAX_BATCH_EDITS = 100
_COMMIT_ATTEMPTS = 16
#: A batch that still conflicts after this many retries is split in halves.
_RETRIES_BEFORE_SPLIT = 2
_FIRST_BACK_OFF_S = 0.005
_MAX_BACK_OFF_S = 0.2

Outcome = Accepted | TableFault


@attrs.define
class _Batch:
    """Edits to commit and their outcomes so far."""

    edits: tuple[Edit, ...]
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    #: Whether a commit without an answer may have taken effect.
    maybe_committed: bool = False

    def pending(self) -> tuple[Edit, ...]:
        """Return the edits without an outcome."""
        return tuple(
            edit for edit in self.edits if edit.edit_id not in self.outcomes
        )

    def fail(self, fault: TableFault) -> None:
        """Set the outcome of all pending edits to a fault."""
        if self.maybe_committed:
            fault = EDIT_UNKNOWN.because(
                f'{fault.reason}; ask again with the same edit id',
            )
        for edit in self.pending():
            self.outcomes[edit.edit_id] = fault


@attrs.define
class Editor:
    """Commits edits to the table.

    Parameters
    ----------
    service : TableService
        Holds the table.
    clock : Clock
        Wall time of history entries; sleeps between attempts.
    rng : random.Random
        Jitter of the delay between attempts.
    metrics : Metrics
        Counts edits by outcome.
    publish : callable
        Called with the committed rows, to apply them locally at once.
    """

    service: TableService
    clock: Clock
    rng: random.Random = attrs.field(factory=random.Random)
    metrics: Metrics = attrs.field(factory=Metrics)
    publish: Callable[[tuple[Row, ...]], None] | None = None

    async def apply(self, edit: Edit) -> Outcome:
        """Commit an edit if the row still has the expected version.

        Parameters
        ----------
        edit : Edit
            The change.

        Returns
        -------
        Accepted or TableFault
            With EDIT_UNKNOWN the edit may have been committed; sending it
            again with the same edit id tells. With any other fault nothing
            changed.
        """
        outcomes = await self.apply_all((edit,))
        return outcomes[0]

    async def apply_all(self, edits: tuple[Edit, ...]) -> tuple[Outcome, ...]:
        """Commit edits of different rows in as few commits as possible.

        The edits are independent: a refused one doesn't affect the others.

        Parameters
        ----------
        edits : tuple of Edit
            At most ``MAX_BATCH_EDITS`` edits with distinct ids and rows.

        Returns
        -------
        tuple of Accepted or TableFault
            The outcome of each edit, in the same order.
        """
        batch = _Batch(edits)
        await self._apply_batch(batch)
        outcomes = tuple(batch.outcomes[edit.edit_id] for edit in edits)
        for outcome in outcomes:
            self._count(outcome)
        self._publish(edits, outcomes)
        return outcomes

    async def _apply_batch(self, batch: _Batch) -> None:
        for attempt in range(_COMMIT_ATTEMPTS):
            plans = await self._plan_pending(batch)
            if not plans:
                return
            fault = await self._commit(batch, plans)
            if fault is None:
                return
            retryable = fault in {CONFLICT, UNKNOWN}
            if len(plans) > 1 and (
                attempt >= _RETRIES_BEFORE_SPLIT or not retryable
            ):
                await self._apply_halves(batch)
                return
            if not retryable:
                batch.fail(_to_table_fault(fault))
                return
            await self._back_off(attempt)
        batch.fail(
            TABLE_UNAVAILABLE.because('other edits keep changing the same rows')
        )

    async def _apply_halves(self, batch: _Batch) -> None:
        # A commit of many rows fails if one check fails, so one account that
        # routers update all the time would block every edit of the batch.
        pending = batch.pending()
        middle = len(pending) // 2
        for part in (pending[:middle], pending[middle:]):
            half = _Batch(part, batch.outcomes, batch.maybe_committed)
            await self._apply_batch(half)

    async def _plan_pending(self, batch: _Batch) -> dict[str, EditPlan]:
        """Plan the pending edits; set the outcome of those already decided."""
        pending = batch.pending()
        keys = tuple(key for edit in pending for key in edit.row_keys())
        read = await self.service.read(keys)
        if isinstance(read, PlatformFault):
            batch.fail(TABLE_UNAVAILABLE.because(f'table service: {read.code}'))
            return {}
        plans: dict[str, EditPlan] = {}
        for edit, *stored in zip(
            pending, read[::3], read[1::3], read[2::3], strict=True
        ):
            outcome = await self._decide(edit, StoredRows(*stored))
            if isinstance(outcome, EditPlan):
                plans[edit.edit_id] = outcome
            else:
                batch.outcomes[edit.edit_id] = outcome
        return plans

    async def _decide(
        self,
        edit: Edit,
        stored: StoredRows,
    ) -> EditPlan | Outcome:
        # A client whose answer was lost sends the edit again with the same
        # id. The edit record is written in the same commit as the row, so it
        # proves that the edit was accepted, even if the row changed since.
        edit_record = stored.edit_record
        if edit_record.value is None:
            return plan_edit(edit, stored, self.clock.wall())
        reuse_fault = check_id_reuse(edit, edit_record)
        if reuse_fault is not None:
            return reuse_fault
        read = await self.service.read((edit_record.value['history'],))
        if isinstance(read, PlatformFault):
            return EDIT_UNKNOWN.because('ask again with the same edit id')
        entry = read[0].value or {}
        return Accepted(edit_record.version, entry.get('after'))

    async def _commit(
        self,
        batch: _Batch,
        plans: dict[str, EditPlan],
    ) -> PlatformFault | None:
        writes = tuple(
            w for edit_plan in plans.values() for w in edit_plan.writes
        )
        checks = tuple(
            c for edit_plan in plans.values() for c in edit_plan.checks
        )
        outcome = await self.service.commit(Commit(writes, checks))
        if isinstance(outcome, PlatformFault):
            batch.maybe_committed = batch.maybe_committed or outcome == UNKNOWN
            return outcome
        for edit_id, edit_plan in plans.items():
            batch.outcomes[edit_id] = Accepted(outcome, edit_plan.after)
        return None

    async def _back_off(self, attempt: int) -> None:
        limit = min(_FIRST_BACK_OFF_S * 2**attempt, _MAX_BACK_OFF_S)
        await self.clock.sleep(self.rng.uniform(0, limit))

    def _count(self, outcome: Outcome) -> None:
        code = outcome.code if isinstance(outcome, TableFault) else 'accepted'
        self.metrics.count('balsamreach_table_edits_total', outcome=code)

    def _publish(
        self,
        edits: tuple[Edit, ...],
        outcomes: tuple[Outcome, ...],
    ) -> None:
        rows = tuple(
            Row(edit.key, outcome.version, outcome.row)
            for edit, outcome in zip(edits, outcomes, strict=True)
            if isinstance(outcome, Accepted)
        )
        if rows and self.publish is not None:
            self.publish(rows)


def _to_table_fault(fault: PlatformFault) -> TableFault:
    if fault == INVALID:
        return BAD_ROW.because(
            'the table service rejects the edit as malformed'
        )
    return TABLE_UNAVAILABLE.because(f'table service: {fault.code}')
