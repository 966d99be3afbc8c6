"""Reads power rows and commits them conditionally."""

import uuid

import attrs

from balsamreach.power.faults import OVERTAKEN, ROW_AWAY, PowerFault
from balsamreach.power.rows import PowerRow, decode, encode
from balsamreach.services.base import Check, Commit, Row, TableService, Write
from balsamreach.services.faults import CONFLICT, UNKNOWN, PlatformFault


@attrs.frozen
class Stored:
    """A row with the version under which the table service has it."""

    row: PowerRow
    version: int


@attrs.frozen
class PowerStore:
    """Power rows in the table service."""

    service: TableService

    async def read(self, service: str, zone: str) -> Stored | PowerFault:
        """Read a row; one that was never written counts as empty."""
        empty = PowerRow(service, zone)
        rows = await self.service.read((empty.key,))
        if isinstance(rows, PlatformFault):
            return ROW_AWAY.because(rows.reason or rows.code)
        return _stored(rows[0], empty)

    async def commit(
        self,
        seen: Stored,
        changed: PowerRow,
    ) -> Stored | PowerFault:
        """Write a row if nobody else did since it was read.

        Returns
        -------
        Stored or PowerFault
            The row as stored, under a raised fencing number; OVERTAKEN or
            ROW_AWAY if it must be taken as not written.
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
            return await self._find(changed)
        if version == CONFLICT:
            return OVERTAKEN.because('the row was written by another')
        if isinstance(version, PlatformFault):
            return ROW_AWAY.because(version.reason or version.code)
        return Stored(changed, version)

    async def _find(self, changed: PowerRow) -> Stored | PowerFault:
        # The answer was lost. If the commit is there, it took effect; if
        # not, it may still, and nothing must be ordered on its strength:
        # the next step reads the row anew.
        found = await self.read(changed.service, changed.zone)
        if isinstance(found, PowerFault):
            return found
        if found.row.commit_id == changed.commit_id:
            return found
        return OVERTAKEN.because('the answer was lost and the row is another')


def _stored(found: Row, empty: PowerRow) -> Stored | PowerFault:
    if found.value is None:
        return Stored(empty, 0)
    row = decode(found.value)
    if isinstance(row, PowerFault):
        return row
    return Stored(row, found.version)
