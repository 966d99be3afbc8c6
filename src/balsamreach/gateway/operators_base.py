"""What all handlers of the operators' interface share."""

import hmac
import json
from http import HTTPStatus
from typing import Any

import attrs
from tornado.web import RequestHandler

from balsamreach.budget.budgets import Budgets
from balsamreach.config.settings import Settings
from balsamreach.services.base import TableService
from balsamreach.table import faults
from balsamreach.table.editor import Editor
from balsamreach.table.faults import TableFault
from balsamreach.table.rows import TABLE_PREFIX
from balsamreach.table.status import TableStatus
from balsamreach.table.view import TableView, hash_key

#: HTTP status that tells an operator of a fault of the table layer.
STATUS_OF_FAULT = {
    faults.BAD_ROW: 400,
    faults.STALE_EDIT: 409,
    faults.BELOW_TAKEN: 409,
    faults.ID_TAKEN: 409,
    faults.NO_ROW: 404,
    faults.TABLE_UNAVAILABLE: 503,
    faults.EDIT_UNKNOWN: 504,
}
_RETRY_AFTER_S = '1'
_BEARER = 'Bearer '


@attrs.frozen
class OperatorContext:
    """What handlers of the operators' interface work with."""

    cfg: Settings
    view: TableView
    service: TableService
    editor: Editor
    budgets: Budgets
    status: TableStatus


class OperatorHandler(RequestHandler):
    """Base of the handlers that an operator key opens."""

    def initialize(self, context: OperatorContext) -> None:
        """Take the context that the application was made with."""
        self.context = context
        self.key_digest = ''

    def prepare(self) -> None:
        """Refuse whoever has no operator key."""
        header = self.request.headers.get('Authorization', '')
        secret = header.removeprefix(_BEARER).strip()
        digest = hash_key(secret)
        keys = self.context.cfg.operators.keys
        # A key found in the table is a team's, whatever the settings say.
        # A team that got hold of a key set for both by mistake could else
        # raise its own budget.
        team = self.context.view.team_by_secret(secret)
        known = [hmac.compare_digest(digest, key) for key in keys]
        if team is not None or not any(known):
            self.refuse(
                HTTPStatus.UNAUTHORIZED,
                'wrong_operator_key',
                'send an operator key as Authorization: Bearer KEY',
            )
        self.key_digest = digest

    def refuse(self, status: int, code: str, reason: str) -> None:
        """Answer with an error."""
        self.set_status(status)
        self.finish({'error': {'code': code, 'message': reason}})

    def refuse_fault(self, fault: TableFault) -> None:
        """Answer with an error of the table layer."""
        status = STATUS_OF_FAULT[fault]
        self.set_status(status)
        if fault == faults.TABLE_UNAVAILABLE:
            self.set_header('Retry-After', _RETRY_AFTER_S)
        self.finish(describe_fault(fault))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer in JSON also where tornado itself refuses."""
        self.finish({'error': {'code': 'http', 'message': self._reason}})

    def body(self) -> dict[str, Any] | None:
        """Return the JSON object of the body; refuse if there is none."""
        try:
            body = json.loads(self.request.body)
        except (ValueError, RecursionError):
            body = None
        if isinstance(body, dict):
            return body
        self.refuse(
            HTTPStatus.BAD_REQUEST, 'invalid_body', 'send a JSON object'
        )
        return None

    def whole(self, name: str, default: int) -> int:
        """Return a whole number from the query."""
        text = self.get_query_argument(name, '')
        return int(text) if text.isascii() and text.isdigit() else default


def describe_fault(fault: TableFault) -> dict[str, Any]:
    """Return the JSON of an error of the table layer.

    The row as it stands is added where an edit lost against it.
    """
    described: dict[str, Any] = {
        'error': {'code': fault.code, 'message': fault.reason},
    }
    if fault.row is not None:
        described['row'] = shown(attrs.asdict(fault.row))
    return described


def full_key(kind: str, name: str) -> str:
    """Return the table service's key of a row."""
    return f'{TABLE_PREFIX}{kind}/{name}'


def shown(row: dict[str, Any]) -> dict[str, Any]:
    """Return a row with the key that operators know it by."""
    return {**row, 'key': row['key'].removeprefix(TABLE_PREFIX)}
