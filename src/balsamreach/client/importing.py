"""Import of a CSV file into the table, in batches of rows."""

from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any

import attrs

from balsamreach.client.csv_table import Line, read_table
from balsamreach.client.faults import BAD_FILE, ClientFault
from balsamreach.client.operators import OperatorsClient, read_fault

BATCH = 100
APPLIED = 'applied'
WOULD_APPLY = 'would apply'
UNCHANGED = 'unchanged'
CONFLICT = 'conflict'
REFUSED = 'refused'
_MAX_FAULTS = 50
_CONFLICT_CODES = frozenset(('stale_edit', 'below_taken', 'edit_id_taken'))


@attrs.frozen
class LineOutcome:
    """Result of importing one line.

    Parameters
    ----------
    line : Line
        The line.
    state : str
        ``applied``, ``would apply``, ``unchanged``, ``conflict`` or
        ``refused``.
    changes : dict
        Old and new value by field.
    reason : str
        Reason of a conflict or refusal.
    """

    line: Line
    state: str
    changes: dict[str, tuple[Any, Any]] = attrs.field(factory=dict)
    reason: str = ''


@attrs.define
class Import:
    """One import of a file.

    Parameters
    ----------
    client : OperatorsClient
        Client of a router.
    dry_run : bool
        Whether to only report the changes, without applying them.
    """

    client: OperatorsClient
    dry_run: bool = False

    def run(self, lines: Iterable[Line]) -> Iterator[LineOutcome | ClientFault]:
        """Yield the outcome of each line; a fault ends the import."""
        lines = iter(lines)
        while batch := list(islice(lines, BATCH)):
            outcomes = self._run_batch(batch)
            if isinstance(outcomes, ClientFault):
                yield outcomes
                return
            yield from outcomes

    def _run_batch(self, batch: list[Line]) -> list[LineOutcome] | ClientFault:
        answer = self.client.read_rows([line.key for line in batch])
        if isinstance(answer, ClientFault):
            return answer
        planned = [
            _plan_line(line, row)
            for line, row in zip(batch, answer['rows'], strict=True)
        ]
        if self.dry_run:
            return planned
        to_apply = [plan for plan in planned if plan.state == WOULD_APPLY]
        if not to_apply:
            return planned
        result = self.client.edit_all(
            [_make_edit(plan.line) for plan in to_apply]
        )
        if isinstance(result, ClientFault):
            return result
        outcomes = dict(zip(map(id, to_apply), result['outcomes'], strict=True))
        return [_add_outcome(plan, outcomes.get(id(plan))) for plan in planned]


def check_file(stream: Any) -> list[ClientFault]:
    """Return the errors in a file, up to a maximum number.

    The whole file is checked before the first row is sent, so that an error
    in the last line does not leave the import half done.
    """
    seen: dict[str, int] = {}
    faults: list[ClientFault] = []
    for line in read_table(stream):
        fault = (
            line
            if isinstance(line, ClientFault)
            else _duplicate_fault(line, seen)
        )
        if fault is not None:
            faults.append(fault)
        if len(faults) == _MAX_FAULTS:
            return faults
    return faults


def _duplicate_fault(line: Line, seen: dict[str, int]) -> ClientFault | None:
    earlier = seen.setdefault(line.key, line.number)
    if earlier == line.number:
        return None
    return BAD_FILE.because(
        f'line {line.number}: {line.key} is already in line {earlier}',
    )


def _plan_line(line: Line, row: dict[str, Any]) -> LineOutcome:
    current = row['value'] or {}
    changes = {
        name: (current.get(name), field)
        for name, field in line.fields.items()
        if current.get(name) != field
    }
    # A row that already matches the file is skipped whatever its version, so
    # that an interrupted import can simply be run again.
    if current and not changes:
        return LineOutcome(line, UNCHANGED)
    live_version = row['version'] if current else 0
    if line.version != live_version:
        return LineOutcome(line, CONFLICT, changes, _describe_conflict(row))
    return LineOutcome(line, WOULD_APPLY, changes)


def _describe_conflict(row: dict[str, Any]) -> str:
    if row['value'] is None:
        return (
            'the row was deleted since the export; empty its version to '
            'create it again'
        )
    version = row['version']
    return f'the row changed since the export and is at version {version}'


def _make_edit(line: Line) -> dict[str, Any]:
    return {'key': line.key, 'version': line.version, 'fields': line.fields}


def _add_outcome(
    plan: LineOutcome, outcome: dict[str, Any] | None
) -> LineOutcome:
    if outcome is None:
        return plan
    if 'error' not in outcome:
        return attrs.evolve(plan, state=APPLIED)
    stale = outcome['error']['code'] in _CONFLICT_CODES
    return attrs.evolve(
        plan,
        state=CONFLICT if stale else REFUSED,
        reason=read_fault(outcome).reason,
    )
