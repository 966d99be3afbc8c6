"""Handlers of the table's rows, edits and history for operators."""

from http import HTTPStatus

import attrs

from balsamreach.gateway.operators_base import (
    OperatorHandler,
    describe_fault,
    row_key,
    with_short_key,
)
from balsamreach.gateway.operators_edits import EditParser, describe_outcome
from balsamreach.gateway.operators_lowering import apply_edit
from balsamreach.services.base import Scan
from balsamreach.services.faults import PlatformFault
from balsamreach.table import faults
from balsamreach.table.editor import MAX_BATCH_EDITS
from balsamreach.table.edits import Accepted
from balsamreach.table.faults import TableFault
from balsamreach.table.history import read_history
from balsamreach.table.rows import TABLE_PREFIX

MAX_PAGE_ROWS = 1000
_DEFAULT_HISTORY_ENTRIES = 20


class TableHandler(OperatorHandler):
    """``GET /table``: committed rows, in pages."""

    async def get(self) -> None:
        """Send the rows that follow the key ``after``."""
        after = self.get_query_argument('after', '')
        requested = self.int_argument('limit', MAX_PAGE_ROWS)
        prefix = TABLE_PREFIX + self.get_query_argument('prefix', '')
        page = await self.context.service.scan(
            Scan(
                prefix,
                after=TABLE_PREFIX + after if after else '',
                limit=min(max(requested, 1), MAX_PAGE_ROWS),
            ),
        )
        if isinstance(page, PlatformFault):
            self.refuse_fault(faults.TABLE_UNAVAILABLE.because(page.code))
            return
        rows = [with_short_key(attrs.asdict(row)) for row in page.rows]
        self.finish({'rows': rows, 'more': page.more})


class RowHandler(OperatorHandler):
    """``/table/<team|target>/<name>``: one row."""

    async def get(self, kind: str, name: str) -> None:
        """Send the committed row."""
        read = await self.context.service.read((row_key(kind, name),))
        if isinstance(read, PlatformFault):
            self.refuse_fault(faults.TABLE_UNAVAILABLE.because(read.code))
        elif read[0].value is None:
            self.refuse_fault(faults.NO_ROW.because(f'no {kind} {name}'))
        else:
            self.finish(with_short_key(attrs.asdict(read[0])))

    async def patch(self, kind: str, name: str) -> None:
        """Change fields of a row or top up its budget."""
        body = self.json_body()
        if body is not None:
            await self._edit(row_key(kind, name), body)

    async def delete(self, kind: str, name: str) -> None:
        """Delete a row if its version is the one given in the body."""
        body = self.json_body()
        if body is not None:
            await self._edit(row_key(kind, name), body | {'delete': True})

    async def _edit(self, key: str, body: dict[str, object]) -> None:
        edit = EditParser(self.key_digest).parse(key, body)
        if isinstance(edit, TableFault):
            self.refuse_fault(edit)
            return
        outcome = await apply_edit(self.context, edit)
        if isinstance(outcome, TableFault):
            self.refuse_fault(outcome)
            return
        self.finish(describe_outcome(edit, outcome))


class RowsHandler(OperatorHandler):
    """``POST /rows``: rows by key; a missing row has a null value."""

    async def post(self) -> None:
        """Send the rows, all as committed at the same instant."""
        body = self.json_body()
        if body is None:
            return
        keys = body.get('keys')
        if not _is_key_list(keys):
            self.refuse(
                HTTPStatus.BAD_REQUEST,
                'invalid_keys',
                f'keys: must be a list of 1 to {MAX_BATCH_EDITS} strings',
            )
            return
        read = await self.context.service.read(
            tuple(TABLE_PREFIX + key for key in keys),
        )
        if isinstance(read, PlatformFault):
            self.refuse_fault(faults.TABLE_UNAVAILABLE.because(read.code))
            return
        self.finish(
            {'rows': [with_short_key(attrs.asdict(row)) for row in read]}
        )


class EditsHandler(OperatorHandler):
    """``POST /edits``: several edits in one request."""

    async def post(self) -> None:
        """Apply edits of different rows and send the outcome of each."""
        body = self.json_body()
        if body is None:
            return
        sent = body.get('edits')
        error = _batch_error(sent)
        if error:
            self.refuse(HTTPStatus.BAD_REQUEST, 'invalid_batch', error)
            return
        self.finish({'outcomes': await self._apply(sent)})

    async def _apply(self, sent: list[dict[str, object]]) -> list[object]:
        parser = EditParser(self.key_digest)
        edits = [
            parser.parse(TABLE_PREFIX + str(edit['key']), edit) for edit in sent
        ]
        valid = tuple(
            edit for edit in edits if not isinstance(edit, TableFault)
        )
        applied = await self.context.editor.apply_all(valid)
        outcomes = iter(zip(valid, applied, strict=True))
        return [
            describe_fault(edit)
            if isinstance(edit, TableFault)
            else _describe(*next(outcomes))
            for edit in edits
        ]


class HistoryHandler(OperatorHandler):
    """``GET /history?key=team/NAME``: the edits of a row."""

    async def get(self) -> None:
        """Send the edits of a row, newest first."""
        page = await read_history(
            self.context.service,
            self.get_query_argument('key'),
            self.get_query_argument('after', ''),
            self.int_argument('limit', _DEFAULT_HISTORY_ENTRIES),
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


def _batch_error(sent: object) -> str:
    if not isinstance(sent, list) or not 0 < len(sent) <= MAX_BATCH_EDITS:
        return f'edits: must be a list of 1 to {MAX_BATCH_EDITS} edits'
    if not all(isinstance(edit, dict) and 'key' in edit for edit in sent):
        return 'edits: each must be a JSON object with a key'
    for name in ('key', 'edit_id'):
        values = [str(edit[name]) for edit in sent if name in edit]
        if len(set(values)) < len(values):
            return f'{name}: must be unique within one request'
    return ''
