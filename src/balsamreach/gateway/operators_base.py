"""Base class and context of the handlers of the operators' interface."""

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

#: HTTP status of each fault of the table layer.
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
    """Services that the handlers of the operators' interface use."""

    cfg: Settings
    view: TableView
    service: TableService
    editor: Editor
    budgets: Budgets
    status: TableStatus


class OperatorHandler(RequestHandler):
    """Base of the handlers that require an operator key."""

    def initialize(self, context: OperatorContext) -> None:
        """Store the context."""
        self.context = context
        self.key_digest = ''

    def prepare(self) -> None:
        """Refuse a request without a valid operator key."""
        header = self.request.headers.get('Authorization', '')
        secret = header.removeprefix(_BEARER).strip()
        digest = hash_key(secret)
        keys = self.context.cfg.operators.keys
        # A key in the table is a team's, whatever the settings say. If the
        # same key was set for both by mistake, the team could otherwise
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
        """Send an error."""
        self.set_status(status)
        self.finish({'error': {'code': code, 'message': reason}})

    def refuse_fault(self, fault: TableFault) -> None:
        """Send the error for a fault of the table layer."""
        status = STATUS_OF_FAULT[fault]
        self.set_status(status)
        if fault == faults.TABLE_UNAVAILABLE:
            self.set_header('Retry-After', _RETRY_AFTER_S)
        self.finish(describe_fault(fault))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error raised by Tornado as JSON."""
        self.finish({'error': {'code': 'http', 'message': self._reason}})

    def json_body(self) -> dict[str, Any] | None:
        """Parse the body as a JSON object; send a refusal if it isn't one."""
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

    def int_argument(self, name: str, default: int) -> int:
        """Return a non-negative integer from the query, or the default."""
        text = self.get_query_argument(name, '')
        return int(text) if text.isascii() and text.isdigit() else default


def describe_fault(fault: TableFault) -> dict[str, Any]:
    """Return the JSON object for a fault of the table layer.

    It includes the current row if the edit conflicts with it.
    """
    described: dict[str, Any] = {
        'error': {'code': fault.code, 'message': fault.reason},
    }
    if fault.row is not None:
        described['row'] = with_short_key(attrs.asdict(fault.row))
    return described


def row_key(kind: str, name: str) -> str:
    """Return the key of a row in the table service."""
    return f'{TABLE_PREFIX}{kind}/{name}'


def with_short_key(row: dict[str, Any]) -> dict[str, Any]:
    """Return a row with its key in the form used by operators."""
    return {**row, 'key': row['key'].removeprefix(TABLE_PREFIX)}
