"""The operators' interface: the table, budgets and the state of a router."""

import hmac
import json
import uuid
from typing import Any

import attrs
from tornado.web import Application, RequestHandler

from balsamreach.budget.account import account_key, decode_account
from balsamreach.budget.budgets import Budgets
from balsamreach.config.settings import Settings
from balsamreach.platform.base import Scan, TableService
from balsamreach.platform.faults import PlatformFault
from balsamreach.table import faults
from balsamreach.table.editor import Edit, Editor
from balsamreach.table.faults import TableFault
from balsamreach.table.rows import TABLE_PREFIX
from balsamreach.table.view import TableView, hash_key

_STATUS = {
    faults.BAD_ROW: 400,
    faults.STALE_EDIT: 409,
    faults.BELOW_TAKEN: 409,
    faults.NO_ROW: 404,
    faults.TABLE_AWAY: 503,
    faults.EDIT_UNKNOWN: 504,
}
_BEARER = 'Bearer '
_NO_CONTENT = 204


@attrs.frozen
class OperatorContext:
    """What handlers of the operators' interface work with."""

    cfg: Settings
    view: TableView
    service: TableService
    editor: Editor
    budgets: Budgets


class OperatorHandler(RequestHandler):
    """Base of the handlers that an operator key opens."""

    def initialize(self, context: OperatorContext) -> None:
        """Take the context that the application was made with."""
        self.context = context

    def prepare(self) -> None:
        """Refuse whoever has no operator key."""
        header = self.request.headers.get('Authorization', '')
        digest = hash_key(header.removeprefix(_BEARER).strip())
        keys = self.context.cfg.operators.keys
        if not any(hmac.compare_digest(digest, known) for known in keys):
            self.refuse(401, 'wrong_operator_key', 'send an operator key')

    def refuse(self, status: int, code: str, reason: str) -> None:
        """Answer with an error."""
        self.set_status(status)
        self.finish({'error': {'code': code, 'message': reason}})

    def refuse_fault(self, fault: TableFault) -> None:
        """Answer with an error of the table layer."""
        self.refuse(_STATUS[fault], fault.code, fault.reason)


class TableHandler(OperatorHandler):
    """``GET /table``: all rows as committed."""

    async def get(self) -> None:
        """List rows with their versions."""
        found: list[dict[str, Any]] = []
        after = ''
        more = True
        while more:
            page = await self.context.service.scan(
                Scan(TABLE_PREFIX, after=after),
            )
            if isinstance(page, PlatformFault):
                self.refuse_fault(faults.TABLE_AWAY.because(page.code))
                return
            found.extend(attrs.asdict(row) for row in page.rows)
            more = page.more
            after = page.rows[-1].key if page.rows else after
        self.finish({'rows': [_shown(row) for row in found]})


class RowHandler(OperatorHandler):
    """``/table/<team|target>/<name>``: one row."""

    async def get(self, kind: str, name: str) -> None:
        """Show a row as committed."""
        read = await self.context.service.read((_key(kind, name),))
        if isinstance(read, PlatformFault):
            self.refuse_fault(faults.TABLE_AWAY.because(read.code))
        elif read[0].value is None:
            self.refuse_fault(faults.NO_ROW.because(f'no {kind} {name}'))
        else:
            self.finish(_shown(attrs.asdict(read[0])))

    async def patch(self, kind: str, name: str) -> None:
        """Change fields of a row, conditional on the version seen."""
        body = self._body()
        if body is not None:
            await self._edit(kind, name, body, body.get('fields'))

    async def delete(self, kind: str, name: str) -> None:
        """Delete a row, conditional on the version seen."""
        body = self._body()
        if body is not None:
            await self._edit(kind, name, body, None)

    def _body(self) -> dict[str, Any] | None:
        try:
            body = json.loads(self.request.body)
        except ValueError:
            body = None
        if not isinstance(body, dict) or 'version' not in body:
            self.refuse(400, 'invalid_edit', 'send JSON with a version')
            return None
        return body

    async def _edit(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        fields: dict[str, Any] | None,
    ) -> None:
        edit = Edit(
            edit_id=str(body.get('edit_id') or uuid.uuid4().hex),
            author=str(body.get('author', 'operator')),
            key=_key(kind, name),
            version=int(body['version']),
            fields=fields,
        )
        outcome = await self.context.editor.apply(edit)
        if isinstance(outcome, TableFault):
            self.refuse_fault(outcome)
            return
        self.finish({'edit_id': edit.edit_id, **attrs.asdict(outcome)})


class BudgetHandler(OperatorHandler):
    """``GET /budgets/<team>``: a team's account."""

    async def get(self, team: str) -> None:
        """Show what is prepaid, spent and held."""
        read = await self.context.service.read((account_key(team),))
        if isinstance(read, PlatformFault):
            self.refuse_fault(faults.TABLE_AWAY.because(read.code))
            return
        if read[0].value is None:
            self.refuse_fault(faults.NO_ROW.because(f'no account of {team}'))
            return
        account = decode_account(read[0].value)
        ledger = self.context.budgets.ledgers.get(team)
        here = None
        if ledger is not None:
            here = {
                'granted': ledger.granted,
                'billed': ledger.billed,
                'reserved': ledger.reserved,
                'waiting_bills': len(ledger.waiting),
            }
        self.finish(
            {
                'team': team,
                'free': account.free,
                'this_router': here,
                **attrs.asdict(account),
            }
        )


def _key(kind: str, name: str) -> str:
    return f'{TABLE_PREFIX}{kind}/{name}'


def _shown(row: dict[str, Any]) -> dict[str, Any]:
    return {**row, 'key': row['key'].removeprefix(TABLE_PREFIX)}


def make_operators_app(context: OperatorContext) -> Application:
    """Return the application of the operators' listener."""
    arguments = {'context': context}
    return Application(
        [
            ('/table', TableHandler, arguments),
            ('/table/(team|target)/([^/]+)', RowHandler, arguments),
            ('/budgets/([^/]+)', BudgetHandler, arguments),
        ]
    )
