"""The operators' interface to the table's rows, their edits and history."""

from http import HTTPStatus

import attrs

from balsamreach.gateway.operators_base import (
    OperatorHandler,
    describe_fault,
    full_key,
    shown,
)
from balsamreach.gateway.operators_edits import Reading, describe_outcome
from balsamreach.gateway.operators_lowering import apply_edit
from balsamreach.services.base import Scan
from balsamreach.services.faults import PlatformFault
from balsamreach.table import faults
from balsamreach.table.editor import MAX_BATCH_EDITS
from balsamreach.table.edits import Accepted
from balsamreach.table.faults import TableFault
from balsamreach.table.history import read_history
from balsamreach.table.rows import TABLE_PREFIX

LARGEST_PAGE = 1000
_HISTORY_PAGE = 20


class TableHandler(OperatorHandler):
    """``GET /table``: rows as committed, page by page."""

    async def get(self) -> None:
        """List rows with their versions from a key on."""
        after = self.get_query_argument('after', '')
        wanted = self.whole('limit', LARGEST_PAGE)
        prefix = TABLE_PREFIX + self.get_query_argument('prefix', '')
        page = await self.context.service.scan(
            Scan(
                prefix,
                after=TABLE_PREFIX + after if after else '',
                limit=min(max(wanted, 1), LARGEST_PAGE),
            ),
        )
        if isinstance(page, PlatformFault):
            self.refuse_fault(faults.TABLE_UNAVAILABLE.because(page.code))
            return
        rows = [shown(attrs.asdict(row)) for row in page.rows]
        self.finish({'rows': rows, 'more': page.more})


class RowHandler(OperatorHandler):
    """``/table/<team|target>/<name>``: one row."""

    async def get(self, kind: str, name: str) -> None:
        """Show a row as committed."""
        read = await self.context.service.read((full_key(kind, name),))
        if isinstance(read, PlatformFault):
            self.refuse_fault(faults.TABLE_UNAVAILABLE.because(read.code))
        elif read[0].value is None:
            self.refuse_fault(faults.NO_ROW.because(f'no {kind} {name}'))
        else:
            self.finish(shown(attrs.asdict(read[0])))

    async def patch(self, kind: str, name: str) -> None:
        """Change fields of a row or top its budget up."""
        body = self.body()
        if body is not None:
            await self._edit(full_key(kind, name), body)

    async def delete(self, kind: str, name: str) -> None:
        """Delete a row, conditional on the version seen."""
        body = self.body()
        if body is not None:
            await self._edit(full_key(kind, name), body | {'delete': True})

    async def _edit(self, key: str, body: dict[str, object]) -> None:
        edit = Reading(self.key_digest).read(key, body)
        if isinstance(edit, TableFault):
            self.refuse_fault(edit)
            return
        outcome = await apply_edit(self.context, edit)
        if isinstance(outcome, TableFault):
            self.refuse_fault(outcome)
            return
        self.finish(describe_outcome(edit, outcome))


class RowsHandler(OperatorHandler):
    """``POST /rows``: rows by key, absent ones with no value."""

    async def post(self) -> None:
        """Show rows as committed at one instant."""
        body = self.body()
        if body is None:
            return
        keys = body.get('keys')
        if not _is_key_list(keys):
            self.refuse(
                HTTPStatus.BAD_REQUEST,
                'invalid_keys',
                f'keys: must be a list of 1 to {MAX_BATCH_EDITS} texts',
            )
            return
        read = await self.context.service.read(
            tuple(TABLE_PREFIX + key for key in keys),
        )
        if isinstance(read, PlatformFault):
            self.refuse_fault(faults.TABLE_UNAVAILABLE.because(read.code))
            return
        self.finish({'rows': [shown(attrs.asdict(row)) for row in read]})


class EditsHandler(OperatorHandler):
    """``POST /edits``: several edits in one request."""

    async def post(self) -> None:
        """Apply edits of different rows and tell of each what became."""
        body = self.body()
        if body is None:
            return
        sent = body.get('edits')
        flaw = _flaw_in_batch(sent)
        if flaw:
            self.refuse(HTTPStatus.BAD_REQUEST, 'invalid_batch', flaw)
            return
        self.finish({'outcomes': await self._apply(sent)})

    async def _apply(self, sent: list[dict[str, object]]) -> list[object]:
        reading = Reading(self.key_digest)
        edits = [
            reading.read(TABLE_PREFIX + str(edit['key']), edit) for edit in sent
        ]
        sound = tuple(
            edit for edit in edits if not isinstance(edit, TableFault)
        )
        applied = await self.context.editor.apply_all(sound)
        outcomes = iter(zip(sound, applied, strict=True))
        return [
            describe_fault(edit)
            if isinstance(edit, TableFault)
            else _describe(*next(outcomes))
            for edit in edits
        ]


class HistoryHandler(OperatorHandler):
    """``GET /history?key=team/NAME``: who changed a row."""

    async def get(self) -> None:
        """List edits of a row, newest first."""
        page = await read_history(
            self.context.service,
            self.get_query_argument('key'),
            self.get_query_argument('after', ''),
            self.whole('limit', _HISTORY_PAGE),
        )
        if isinstance(page, TableFault):
            self.refuse_fault(page)
            return
        self.finish(attrs.asdict(page))


def _describe(edit: object, outcome: Accepted | TableFault) -> object:
    if isinstance(outcome, TableFault):
        return describe_fault(outcome)
    return describe_outcome(edit, outcome)


def _is_key_list(keys: object) -> bool:
    if not isinstance(keys, list) or not 0 < len(keys) <= MAX_BATCH_EDITS:
        return False
    return all(isinstance(key, str) for key in keys)


def _flaw_in_batch(sent: object) -> str:
    if not isinstance(sent, list) or not 0 < len(sent) <= MAX_BATCH_EDITS:
        return f'edits: must be a list of 1 to {MAX_BATCH_EDITS} edits'
    if not all(isinstance(edit, dict) and 'key' in edit for edit in sent):
        return 'edits: each must be a JSON object with a key'
    for name in ('key', 'edit_id'):
        named = [str(edit[name]) for edit in sent if name in edit]
        if len(set(named)) < len(named):
            return f'{name}: each must differ within one request'
    return ''
