"""Operators' edits, and the writes and checks that commit one."""

import json
import re
from typing import Any

import attrs
import xxhash

from balsamreach.budget.account import (
    account_key,
    decode_account,
    encode_record,
)
from balsamreach.services.base import ABSENT, Check, Row, Write
from balsamreach.table import rows
from balsamreach.table.faults import (
    BAD_ROW,
    BELOW_TAKEN,
    ID_TAKEN,
    NO_ROW,
    STALE_EDIT,
    TableFault,
)
from balsamreach.table.history import EDIT_PREFIX, history_key
from balsamreach.table.rows import TableRow, TeamRow

#: Expected version of an edit that applies to any version.
ANY_VERSION = -1
_EDIT_ID = re.compile(r'[A-Za-z0-9._-]{1,64}')


@attrs.frozen
class Edit:
    """A change of one row by an operator.

    Parameters
    ----------
    edit_id : str
        Chosen by the client, which uses it again to repeat the edit.
    author : str
        Who made the edit, for the history.
    key : str
        Key of the row.
    version : int
        Version that the operator saw; 0 for a new row.
    fields : dict or None
        Fields to change; the others stay. None deletes the row.
    top_up : int
        Tokens to add to the team's current ``prepaid``. If not 0, ``fields``
        is ignored.
    """

    edit_id: str
    author: str
    key: str
    version: int
    fields: dict[str, Any] | None
    top_up: int = 0

    def digest(self) -> str:
        """Return a hash that detects another edit under the same id."""
        content = (self.key, self.version, self.fields, self.top_up)
        text = json.dumps(content, sort_keys=True)
        return xxhash.xxh3_64_hexdigest(text.encode())

    def row_keys(self) -> tuple[str, ...]:
        """Return the keys of the row, the account and the edit record."""
        name = self.key.rpartition('/')[-1]
        return (self.key, account_key(name), EDIT_PREFIX + self.edit_id)


@attrs.frozen
class Accepted:
    """A committed edit.

    Parameters
    ----------
    version : int
        New version of the row.
    row : dict or None
        Committed value of the row, None if it was deleted.
    """

    version: int
    row: dict[str, Any] | None


@attrs.frozen
class StoredRows:
    """The rows that an edit depends on, read in one call."""

    row: Row
    account: Row
    edit_record: Row


@attrs.frozen
class EditPlan:
    """Writes of an edit and the checks under which they are committed.

    Parameters
    ----------
    after : dict or None
        New value of the row, None to delete it.
    """

    after: dict[str, Any] | None
    writes: tuple[Write, ...]
    checks: tuple[Check, ...]


def plan_edit(
    edit: Edit,
    stored: StoredRows,
    now: float,
) -> EditPlan | TableFault:
    """Compute the writes and checks of an edit.

    Parameters
    ----------
    edit : Edit
        The change.
    stored : StoredRows
        Current rows.
    now : float
        Wall time for the history, in seconds.

    Returns
    -------
    EditPlan or TableFault
        The plan, or the fault with which the edit is refused.
    """
    error = _validate(edit)
    if error:
        return BAD_ROW.because(error)
    row = stored.row
    if edit.version not in {ANY_VERSION, expected_version(row)}:
        return STALE_EDIT.because(
            f'{edit.key} is at version {expected_version(row)}',
        ).against(row)
    after = _merge(edit, row)
    if isinstance(after, TableFault):
        return after
    encoded = None if after is None else rows.encode(after)
    account_writes = _plan_account_writes(edit, after, stored)
    if isinstance(account_writes, TableFault):
        return account_writes
    checks = [Check(edit.key, expected_version(row))]
    checks.append(Check(stored.edit_record.key, ABSENT))
    if account_writes:
        checks.append(
            Check(account_writes[0].key, expected_version(stored.account))
        )
    writes = (
        Write(edit.key, encoded),
        *_plan_record_writes(edit, row, encoded, now),
    )
    return EditPlan(encoded, (*writes, *account_writes), tuple(checks))


def expected_version(row: Row) -> int:
    """Return the version that a check expects: ABSENT for a deleted row."""
    return ABSENT if row.value is None else row.version


def check_id_reuse(edit: Edit, edit_record: Row) -> TableFault | None:
    """Return ID_TAKEN if the edit id belongs to another edit."""
    if (
        edit_record.value is None
        or edit_record.value['digest'] == edit.digest()
    ):
        return None
    return ID_TAKEN.because(
        f'edit id {edit.edit_id} was used for another edit; use a new one',
    )


def _validate(edit: Edit) -> str:
    if not _EDIT_ID.fullmatch(edit.edit_id):
        return 'edit_id: must be 1 to 64 letters, digits or . _ -'
    if not rows.field_names(edit.key):
        return f'{edit.key}: must be team/NAME or target/NAME'
    if edit.top_up and not edit.key.startswith(rows.TEAM_PREFIX):
        return f'{edit.key}: top_up: only teams have a budget'
    return ''


def _merge(edit: Edit, row: Row) -> TableRow | TableFault | None:
    if row.value is None and (edit.fields is None or edit.top_up):
        return NO_ROW.because(f'there is no row {edit.key}')
    current = row.value or {}
    if edit.top_up:
        changed = {'prepaid': current['prepaid'] + edit.top_up}
        return rows.decode(edit.key, {**current, **changed})
    if edit.fields is None:
        return None
    return rows.decode(edit.key, {**current, **edit.fields})


def _plan_account_writes(
    edit: Edit,
    team: TableRow | None,
    stored: StoredRows,
) -> tuple[Write, ...] | TableFault:
    if not isinstance(team, TeamRow):
        return ()
    current = stored.row.value or {}
    account = decode_account(stored.account.value)
    # Routers update a busy team's account all the time. Edits that leave
    # the budget unchanged don't check it, to avoid conflicts.
    unchanged = current.get('prepaid') == team.prepaid
    if unchanged and stored.account.value is not None:
        return ()
    # Without an expected version, an absolute budget would overwrite a
    # concurrent top-up.
    if current and edit.version == ANY_VERSION and not edit.top_up:
        return STALE_EDIT.because(
            'prepaid: name the version you saw, or use a top-up',
        ).against(stored.row)
    # Routers may have spent the tokens they hold without having reported it
    # yet, so spending could exceed a budget below ``taken``.
    if team.prepaid < account.taken:
        return BELOW_TAKEN.because(
            f'{account.taken} tokens of {team.name} are spent or held by '
            'routers; lower it by an edit of its own, which recalls them',
        ).against(stored.row)
    new_account = attrs.evolve(account, prepaid=team.prepaid)
    return (Write(stored.account.key, encode_record(new_account)),)


def _plan_record_writes(
    edit: Edit,
    row: Row,
    after: dict[str, Any] | None,
    now: float,
) -> tuple[Write, ...]:
    entry_key = history_key(edit.key, row.version)
    return (
        Write(
            EDIT_PREFIX + edit.edit_id,
            {'history': entry_key, 'digest': edit.digest(), 'at': now},
        ),
        Write(
            entry_key,
            {
                'edit_id': edit.edit_id,
                'author': edit.author,
                'at': now,
                'before': row.value,
                'after': after,
            },
        ),
    )
