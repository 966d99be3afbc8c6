"""Reads power rows and commits them conditionally."""

import uuid

import attrs

from balsamreach.power.faults import ROW_CONFLICT, ROW_UNAVAILABLE, PowerFault
from balsamreach.power.rows import PowerRow, decode, encode
from balsamreach.services.base import Check, Commit, Row, TableService, Write
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault


@attrs.frozen
class StoredRow:
    """A row with its version in the table service."""

    row: PowerRow
    version: int


@attrs.frozen
class PowerStore:
    """Power rows in the table service."""

    service: TableService

    async def read(self, service: str, zone: str) -> StoredRow | PowerFault:
        """Read a row; one that was never written is returned empty."""
        empty = PowerRow(service, zone)
        rows = await self.service.read((empty.key,))
        if isinstance(rows, PlatformFault):
            return ROW_UNAVAILABLE.because(rows.reason or rows.code)
        return _to_stored(rows[0], empty)

    async def commit(
        self,
        seen: StoredRow,
        changed: PowerRow,
    ) -> StoredRow | PowerFault:
        """Write a row unless it was changed since it was read.

        Returns
        -------
        StoredRow or PowerFault
            The row as stored, with a raised fencing number; ROW_CONFLICT or
            ROW_UNAVAILABLE if it must be treated as not written.
        """
        changed = attrs.evolve(
            changed,
            fence=seen.row.fence + 1,
            commit_id=uuid.uuid4().hex,
        )
        version = await self.service.commit(
            Commit(
                writes=(Write(changed.key, encode(changed)),),
                checks=(Check(changed.key, seen.version),),
            ),
        )
        if version == UNKNOWN:
            return await self._find_own_commit(changed)
        if version == CONFLICT:
            return ROW_CONFLICT.because(
                'the row was written by another decider'
            )
        if isinstance(version, PlatformFault):
            return ROW_UNAVAILABLE.because(version.reason or version.code)
        return StoredRow(changed, version)

    async def _find_own_commit(
        self, changed: PowerRow
    ) -> StoredRow | PowerFault:
        # The answer was lost. If the commit is there, it took effect. If not,
        # it may still take effect, and no order may depend on it: the next step
        # reads the row again.
        found = await self.read(changed.service, changed.zone)
        if isinstance(found, PowerFault):
            return found
        if found.row.commit_id == changed.commit_id:
            return found
        return ROW_CONFLICT.because(
            'the answer was lost and the row has another commit'
        )


def _to_stored(found: Row, empty: PowerRow) -> StoredRow | PowerFault:
    if found.value is None:
        return StoredRow(empty, 0)
    row = decode(found.value)
    if isinstance(row, PowerFault):
        return row
    return StoredRow(row, found.version)
