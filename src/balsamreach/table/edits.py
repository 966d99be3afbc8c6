"""What operators ask for, and what a single edit writes."""

import json
import re
from typing import Any

import attrs
import xxhash

from balsamreach.budget.account import account_key, decode_account, encode
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

#: Expected version of an edit that takes whatever version there is.
ANY_VERSION = -1
_ID = re.compile(r'[A-Za-z0-9._-]{1,64}')


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
    top_up : int
        Tokens to add to what a team has prepaid, whatever that is by then;
        ``fields`` is not looked at.
    """

    edit_id: str
    author: str
    key: str
    version: int
    fields: dict[str, Any] | None
    top_up: int = 0

    def digest(self) -> str:
        """Return what tells this edit from another under the same id."""
        asked = (self.key, self.version, self.fields, self.top_up)
        text = json.dumps(asked, sort_keys=True)
        return xxhash.xxh3_64_hexdigest(text.encode())

    def deciding(self) -> tuple[str, ...]:
        """Return the keys of all rows that decide on this edit."""
        name = self.key.rpartition('/')[-1]
        return (self.key, account_key(name), EDIT_PREFIX + self.edit_id)


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


@attrs.frozen
class Stored:
    """The rows that decide on an edit, read at one instant."""

    row: Row
    account: Row
    earlier: Row


@attrs.frozen
class Planned:
    """What an edit writes, and under which conditions.

    Parameters
    ----------
    after : dict or None
        The row once the edit is committed.
    """

    after: dict[str, Any] | None
    writes: tuple[Write, ...]
    checks: tuple[Check, ...]


def plan(edit: Edit, stored: Stored, at: float) -> Planned | TableFault:
    """Work out what an edit writes.

    Parameters
    ----------
    edit : Edit
        The change.
    stored : Stored
        The rows it starts from.
    at : float
        Wall time for the history.

    Returns
    -------
    Planned or TableFault
        A fault means that the edit is refused.
    """
    flaw = _flaw(edit)
    if flaw:
        return BAD_ROW.because(flaw)
    row = stored.row
    if edit.version not in {ANY_VERSION, live_version(row)}:
        return STALE_EDIT.because(
            f'{edit.key} is at version {live_version(row)}',
        ).against(row)
    after = _merge(edit, row)
    if isinstance(after, TableFault):
        return after
    encoded = None if after is None else rows.encode(after)
    funding = _fund(edit, after, stored)
    if isinstance(funding, TableFault):
        return funding
    checks = [Check(edit.key, live_version(row))]
    checks.append(Check(stored.earlier.key, ABSENT))
    if funding:
        checks.append(Check(funding[0].key, live_version(stored.account)))
    writes = (Write(edit.key, encoded), *_record(edit, row, encoded, at))
    return Planned(encoded, (*writes, *funding), tuple(checks))


def live_version(row: Row) -> int:
    """Return the version by which a check finds the row unchanged."""
    return ABSENT if row.value is None else row.version


def check_reuse(edit: Edit, earlier: Row) -> TableFault | None:
    """Return ID_TAKEN if the edit's id stands for another edit."""
    if earlier.value is None or earlier.value['digest'] == edit.digest():
        return None
    return ID_TAKEN.because(
        f'edit id {edit.edit_id} was used for another edit; take a new one',
    )


def _flaw(edit: Edit) -> str:
    if not _ID.fullmatch(edit.edit_id):
        return 'edit_id: must be 1 to 64 letters, digits and . _ -'
    if not rows.fields_of(edit.key):
        return f'{edit.key}: a key is team/NAME or target/NAME'
    if edit.top_up and not edit.key.startswith(rows.TEAM_PREFIX):
        return f'{edit.key}: top_up: only teams have a budget'
    return ''


def _merge(edit: Edit, row: Row) -> TableRow | TableFault | None:
    if row.value is None and (edit.fields is None or edit.top_up):
        return NO_ROW.because(f'there is no row {edit.key}')
    current = row.value or {}
    if edit.top_up:
        raised = {'prepaid': current['prepaid'] + edit.top_up}
        return rows.decode(edit.key, {**current, **raised})
    if edit.fields is None:
        return None
    return rows.decode(edit.key, {**current, **edit.fields})


def _fund(
    edit: Edit,
    team: TableRow | None,
    stored: Stored,
) -> tuple[Write, ...] | TableFault:
    if not isinstance(team, TeamRow):
        return ()
    current = stored.row.value or {}
    account = decode_account(stored.account.value)
    # Routers draw on a busy team's account all the time. An edit that
    # leaves the budget as it is stays out of their way.
    unchanged = current.get('prepaid') == team.prepaid
    if unchanged and stored.account.value is not None:
        return ()
    # An absolute budget set without having seen the row would undo a top-up
    # that came meanwhile.
    if current and edit.version == ANY_VERSION and not edit.top_up:
        return STALE_EDIT.because(
            'prepaid: name the version you saw, or use a top-up',
        ).against(stored.row)
    # Tokens that routers hold may be spent already without our knowing, so
    # a budget below what was handed out could be passed.
    if team.prepaid < account.taken:
        return BELOW_TAKEN.because(
            f'{account.taken} tokens of {team.name} are spent or held by '
            'routers; lower it by an edit of its own, which calls them back',
        ).against(stored.row)
    funded = attrs.evolve(account, prepaid=team.prepaid)
    return (Write(stored.account.key, encode(funded)),)


def _record(
    edit: Edit,
    row: Row,
    after: dict[str, Any] | None,
    at: float,
) -> tuple[Write, ...]:
    entry = history_key(edit.key, row.version)
    return (
        Write(
            EDIT_PREFIX + edit.edit_id,
            {'history': entry, 'digest': edit.digest(), 'at': at},
        ),
        Write(
            entry,
            {
                'edit_id': edit.edit_id,
                'author': edit.author,
                'at': at,
                'before': row.value,
                'after': after,
            },
        ),
    )
