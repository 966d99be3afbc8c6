"""Operators' edits as conditional commits that are found again by their id."""

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
    Planned,
    Stored,
    check_reuse,
    plan,
)
from balsamreach.table.faults import (
    BAD_ROW,
    EDIT_UNKNOWN,
    TABLE_AWAY,
    TableFault,
)
from balsamreach.telemetry.metrics import Metrics

#: Most edits committed together.
LARGEST_BATCH = 100
_ATTEMPTS = 16
#: After so many conflicts a batch goes on in halves.
_WHOLE_ATTEMPTS = 2
_FIRST_PAUSE_S = 0.005
_LONGEST_PAUSE_S = 0.2

Outcome = Accepted | TableFault


@attrs.define
class _Batch:
    """Edits on their way, and what has become of them."""

    edits: tuple[Edit, ...]
    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    #: Whether a commit was sent that may still take effect.
    sent: bool = False

    def pending(self) -> tuple[Edit, ...]:
        """Return the edits whose outcome is open."""
        return tuple(
            edit for edit in self.edits if edit.edit_id not in self.outcomes
        )

    def fail(self, fault: TableFault) -> None:
        """Give up on what is pending."""
        if self.sent:
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
        Where the table is kept.
    clock : Clock
        Time for the history and for pauses between attempts.
    rng : random.Random
        Spreads the attempts of editors that collide.
    metrics : Metrics
        Counts edits by their outcome.
    publish : callable
        Takes rows that were just committed, to bring them into force.
    """

    service: TableService
    clock: Clock
    rng: random.Random = attrs.field(factory=random.Random)
    metrics: Metrics = attrs.field(factory=Metrics)
    publish: Callable[[tuple[Row, ...]], None] | None = None

    async def apply(self, edit: Edit) -> Outcome:
        """Commit an edit if the row still has the version it names.

        Parameters
        ----------
        edit : Edit
            The change.

        Returns
        -------
        Accepted or TableFault
            TABLE_AWAY and whatever names a flaw mean that nothing changed,
            EDIT_UNKNOWN that asking again with the same edit id tells.
        """
        outcomes = await self.apply_all((edit,))
        return outcomes[0]

    async def apply_all(self, edits: tuple[Edit, ...]) -> tuple[Outcome, ...]:
        """Commit edits of different rows, in as few commits as possible.

        Each edit stands for itself: one that is refused keeps none of the
        others from being accepted.

        Parameters
        ----------
        edits : tuple of Edit
            At most ``LARGEST_BATCH`` edits, each id and row only once.

        Returns
        -------
        tuple of Accepted or TableFault
            What became of each edit, in the order given.
        """
        batch = _Batch(edits)
        await self._settle(batch)
        outcomes = tuple(batch.outcomes[edit.edit_id] for edit in edits)
        for outcome in outcomes:
            self._count(outcome)
        self._publish(edits, outcomes)
        return outcomes

    async def _settle(self, batch: _Batch) -> None:
        for attempt in range(_ATTEMPTS):
            planned = await self._plan(batch)
            if not planned:
                return
            fault = await self._commit(batch, planned)
            if fault is None:
                return
            retried = fault in {CONFLICT, UNKNOWN}
            if len(planned) > 1 and (attempt >= _WHOLE_ATTEMPTS or not retried):
                await self._settle_halves(batch)
                return
            if not retried:
                batch.fail(_from_platform(fault))
                return
            await self._pause(attempt)
        batch.fail(TABLE_AWAY.because('others keep changing the same rows'))

    async def _settle_halves(self, batch: _Batch) -> None:
        # One busy account would otherwise hold up all edits that were sent
        # along with it.
        pending = batch.pending()
        middle = len(pending) // 2
        for part in (pending[:middle], pending[middle:]):
            half = _Batch(part, batch.outcomes, batch.sent)
            await self._settle(half)

    async def _plan(self, batch: _Batch) -> dict[str, Planned]:
        """Plan what is pending; note what is decided already."""
        pending = batch.pending()
        keys = tuple(key for edit in pending for key in edit.deciding())
        read = await self.service.read(keys)
        if isinstance(read, PlatformFault):
            batch.fail(TABLE_AWAY.because(f'table service: {read.code}'))
            return {}
        planned: dict[str, Planned] = {}
        for edit, *stored in zip(
            pending, read[::3], read[1::3], read[2::3], strict=True
        ):
            outcome = await self._decide(edit, Stored(*stored))
            if isinstance(outcome, Planned):
                planned[edit.edit_id] = outcome
            else:
                batch.outcomes[edit.edit_id] = outcome
        return planned

    async def _decide(self, edit: Edit, stored: Stored) -> Planned | Outcome:
        # An edit whose answer was lost is sent again with the same id; its
        # own record, written in the same commit, tells that it was
        # accepted, also if others changed the row since.
        earlier = stored.earlier
        if earlier.value is None:
            return plan(edit, stored, self.clock.wall())
        reused = check_reuse(edit, earlier)
        if reused is not None:
            return reused
        read = await self.service.read((earlier.value['history'],))
        if isinstance(read, PlatformFault):
            return EDIT_UNKNOWN.because('ask again with the same edit id')
        entry = read[0].value or {}
        return Accepted(earlier.version, entry.get('after'))

    async def _commit(
        self,
        batch: _Batch,
        planned: dict[str, Planned],
    ) -> PlatformFault | None:
        writes = tuple(w for part in planned.values() for w in part.writes)
        checks = tuple(c for part in planned.values() for c in part.checks)
        outcome = await self.service.commit(Commit(writes, checks))
        if isinstance(outcome, PlatformFault):
            batch.sent = batch.sent or outcome == UNKNOWN
            return outcome
        for edit_id, part in planned.items():
            batch.outcomes[edit_id] = Accepted(outcome, part.after)
        return None

    async def _pause(self, attempt: int) -> None:
        longest = min(_FIRST_PAUSE_S * 2**attempt, _LONGEST_PAUSE_S)
        await self.clock.sleep(self.rng.uniform(0, longest))

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


def _from_platform(fault: PlatformFault) -> TableFault:
    if fault == INVALID:
        return BAD_ROW.because('the table service calls the edit malformed')
    return TABLE_AWAY.because(f'table service: {fault.code}')
