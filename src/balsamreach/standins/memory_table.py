"""In-memory table service."""

import json
from collections.abc import Iterator
from typing import Any

import attrs
from sortedcontainers import SortedDict, SortedSet

from balsamreach.services.base import (
    ABSENT,
    Check,
    Commit,
    Page,
    Row,
    Scan,
    TableService,
    Write,
)
from balsamreach.services.faults import (
    CONFLICT,
    INVALID,
    UNKNOWN,
    PlatformFault,
)
from balsamreach.standins.conditions import PlatformConditions


@attrs.define
class MemoryTableService(TableService):
    """Table with a commit counter, checked commits and tombstones.

    Parameters
    ----------
    weather : PlatformConditions
        Simulated conditions.
    """

    weather: PlatformConditions
    _version: int = 0
    _rows: SortedDict = attrs.Factory(SortedDict)
    _changes: SortedSet = attrs.Factory(SortedSet)

    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a conditional commit."""
        fault = await self.weather.admit_write()
        if fault is not None:
            return fault
        error = _validation_error(change)
        if error:
            return INVALID.because(error)
        if self.conflicts(change.checks):
            return CONFLICT.because('a checked row has another version')
        self._apply(change.writes)
        if self.weather.consume_lost_answer():
            return UNKNOWN.because('the stand-in lost the answer')
        return self._version

    async def read(
        self, keys: tuple[str, ...]
    ) -> tuple[Row, ...] | PlatformFault:
        """Read rows by key in one consistent view."""
        fault = await self.weather.admit_read()
        if fault is not None:
            return fault
        return tuple(self._row(key) for key in keys)

    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Read one page of the rows whose keys start with a prefix."""
        fault = await self.weather.admit_read()
        if fault is not None:
            return fault
        if scan.limit < 1 or scan.since < 0:
            return INVALID.because('limit or since is out of range')
        if scan.since:
            return self._scan_changes(scan)
        return self._scan_rows(scan)

    def conflicts(self, checks: tuple[Check, ...]) -> tuple[Row, ...]:
        """Return the current rows of the checks that fail."""
        return tuple(
            self._row(check.key)
            for check in checks
            if not _holds(check, self._row(check.key))
        )

    def _row(self, key: str) -> Row:
        return self._rows.get(key) or Row(key, ABSENT, None)

    def _apply(self, writes: tuple[Write, ...]) -> None:
        self._version += 1
        self.weather.rows_written += len(writes)
        for write in writes:
            self._changes.discard((self._row(write.key).version, write.key))
            row = Row(write.key, self._version, _json_copy(write.value))
            self._rows[write.key] = row
            self._changes.add((self._version, write.key))

    def _scan_rows(self, scan: Scan) -> Page:
        rows: list[Row] = []
        for row in self._live_rows(scan):
            if len(rows) == scan.limit:
                return Page(tuple(rows), self._version, more=True)
            rows.append(row)
        return Page(tuple(rows), self._version)

    def _live_rows(self, scan: Scan) -> Iterator[Row]:
        start = max(scan.prefix, scan.after)
        for key in self._rows.irange(start):
            if not key.startswith(scan.prefix):
                return
            if key == scan.after:
                continue
            row = self._rows[key]
            if row.value is not None:
                yield row

    def _scan_changes(self, scan: Scan) -> Page:
        rows: list[Row] = []
        for version, key in self._changes.irange((scan.since + 1, '')):
            if not key.startswith(scan.prefix):
                continue
            # The next page starts after a version, so the rows of one commit
            # must be on one page: the rest of them would never be read.
            full = len(rows) >= scan.limit
            if full and rows[-1].version != version:
                return Page(tuple(rows), rows[-1].version, more=True)
            rows.append(self._rows[key])
        return Page(tuple(rows), self._version)


def _holds(check: Check, row: Row) -> bool:
    if check.version == ABSENT:
        return row.value is None
    return row.version == check.version


def _validation_error(change: Commit) -> str:
    keys = [write.key for write in change.writes]
    if not keys or not all(keys):
        return 'a commit writes at least one row, each with a key'
    if len(set(keys)) < len(keys):
        return 'a commit writes a row only once'
    if any(check.version < ABSENT for check in change.checks):
        return 'a checked version is negative'
    return ''


def _json_copy(row_value: Any) -> Any:
    # A caller may change its mapping later, which a real service would never
    # see; the copy also rejects values that JSON can't represent.
    return json.loads(json.dumps(row_value))
