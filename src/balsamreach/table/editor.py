"""Operators' edits as conditional commits that are found again by their id."""

from typing import Any

import attrs

from balsamreach.budget.account import account_key, decode_account, encode
from balsamreach.clock import Clock
from balsamreach.platform.base import (
    ABSENT,
    Check,
    Commit,
    Row,
    TableService,
    Write,
)
from balsamreach.platform.faults import CONFLICT, UNKNOWN, PlatformFault
from balsamreach.table import rows
from balsamreach.table.faults import (
    BAD_ROW,
    BELOW_TAKEN,
    EDIT_UNKNOWN,
    NO_ROW,
    STALE_EDIT,
    TABLE_AWAY,
    TableFault,
)
from balsamreach.table.rows import TableRow, TeamRow

EDIT_PREFIX = 'edit/'
#: Expected version of an edit that takes whatever version there is.
ANY_VERSION = -1
_ATTEMPTS = 8


@attrs.frozen
class Edit:
    """One operator's change of one row.

    Parameters
    ----------
    edit_id : str
        Chosen by the client and used again when it repeats the edit.
    author : str
        Who edits, for the history.
    key : str
        Key of the row.
    version : int
        Version that the operator saw; 0 for a new row.
    fields : dict or None
        Fields to change, the others stay; None deletes the row.
    """

    edit_id: str
    author: str
    key: str
    version: int
    fields: dict[str, Any] | None


@attrs.frozen
class Accepted:
    """An edit that is committed.

    Parameters
    ----------
    version : int
        Version of the row from now on.
    row : dict or None
        The row as committed.
    """

    version: int
    row: dict[str, Any] | None


@attrs.define
class Editor:
    """Commits edits to the table."""

    service: TableService
    clock: Clock

    async def apply(self, edit: Edit) -> Accepted | TableFault:
        """Commit an edit if the row still has the version it names.

        Parameters
        ----------
        edit : Edit
            The change.

        Returns
        -------
        Accepted or TableFault
            STALE_EDIT, BELOW_TAKEN, BAD_ROW and NO_ROW mean that nothing
            changed, EDIT_UNKNOWN that asking again with the same edit id
            tells.
        """
        for _ in range(_ATTEMPTS):
            stored = await self._read(edit)
            if isinstance(stored, PlatformFault):
                return TABLE_AWAY.because(f'table service: {stored.code}')
            row, account, earlier = stored
            # An edit whose answer was lost is sent again with the same id;
            # its own record, written in the same commit, tells that it was
            # accepted, also if others changed the row since.
            if earlier.value is not None:
                return Accepted(earlier.version, earlier.value['after'])
            change = self._change(edit, row, account)
            if isinstance(change, TableFault):
                return change
            outcome = await self.service.commit(change)
            if not isinstance(outcome, PlatformFault):
                return Accepted(outcome, change.writes[0].value)
            if outcome not in {CONFLICT, UNKNOWN}:
                return TABLE_AWAY.because(f'table service: {outcome.code}')
        return EDIT_UNKNOWN.because('ask again with the same edit id')

    async def _read(self, edit: Edit) -> tuple[Row, ...] | PlatformFault:
        name = edit.key.rsplit('/', 1)[-1]
        return await self.service.read(
            (edit.key, account_key(name), EDIT_PREFIX + edit.edit_id),
        )

    def _change(
        self,
        edit: Edit,
        row: Row,
        account: Row,
    ) -> Commit | TableFault:
        if edit.version not in {ANY_VERSION, _live_version(row)}:
            return STALE_EDIT.because(
                f'{edit.key} is at version {_live_version(row)}',
            )
        after = _merge(edit, row)
        if isinstance(after, TableFault):
            return after
        encoded = None if after is None else rows.encode(after)
        writes = [Write(edit.key, encoded), self._record(edit, row, encoded)]
        checks = [
            Check(edit.key, _live_version(row)),
            Check(EDIT_PREFIX + edit.edit_id, ABSENT),
        ]
        if isinstance(after, TeamRow):
            funded = _fund(after, account)
            if isinstance(funded, TableFault):
                return funded
            writes.append(funded)
            checks.append(Check(account.key, _live_version(account)))
        return Commit(tuple(writes), tuple(checks))

    def _record(
        self,
        edit: Edit,
        row: Row,
        after: dict[str, Any] | None,
    ) -> Write:
        return Write(
            EDIT_PREFIX + edit.edit_id,
            {
                'key': edit.key,
                'author': edit.author,
                'at': self.clock.wall(),
                'before': row.value,
                'after': after,
            },
        )


def _live_version(row: Row) -> int:
    return ABSENT if row.value is None else row.version


def _merge(edit: Edit, row: Row) -> TableRow | TableFault | None:
    if edit.fields is None:
        if row.value is None:
            return NO_ROW.because(f'there is no row {edit.key}')
        return None
    if not _is_row_key(edit.key):
        return BAD_ROW.because('a key is team/NAME or target/NAME')
    return rows.decode(edit.key, {**(row.value or {}), **edit.fields})


def _is_row_key(key: str) -> bool:
    return key.startswith((rows.TEAM_PREFIX, rows.TARGET_PREFIX))


def _fund(team: TeamRow, account: Row) -> Write | TableFault:
    stored = decode_account(account.value)
    # Tokens that routers hold may be spent already without our knowing, so
    # a budget below what was handed out could be passed.
    if team.prepaid < stored.taken:
        return BELOW_TAKEN.because(
            f'{stored.taken} tokens of {team.name} are spent or allotted',
        )
    funded = attrs.evolve(stored, prepaid=team.prepaid)
    return Write(account.key, encode(funded))
