"""Handler of calls to plain services."""

import posixpath
from http import HTTPStatus
from urllib.parse import unquote

from balsamreach.dispatch.call import Call
from balsamreach.gateway.caller_handler import (
    IDEMPOTENCY_KEY_HEADER,
    CallerHandler,
)
from balsamreach.gateway.refusals import Refusal
from balsamreach.requests.identity import RequestId
from balsamreach.table.rows import PLAIN_SERVICE, TargetRow, TeamRow

#: Headers that are forwarded to the target unchanged.
_FORWARDED_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')


class ServiceHandler(CallerHandler):
    """``/services/<name>/<path>``: calls of plain services."""

    kind = PLAIN_SERVICE
    SUPPORTED_METHODS = (
        'GET',
        'HEAD',
        'POST',
        'DELETE',
        'PATCH',
        'PUT',
        'OPTIONS',
    )

    async def prepare(self) -> None:
        """Run the call, whatever its method."""
        await self.serve_call(self._read_call(*self.path_args))

    def _read_call(self, service: str, path: str) -> Call | Refusal:
        team = self.authenticate()
        if isinstance(team, Refusal):
            return team
        targets = [
            row
            for row in self.context.view.targets_of_service(service)
            if row.kind == PLAIN_SERVICE
        ]
        if not targets:
            return Refusal(
                HTTPStatus.NOT_FOUND,
                'unknown_service',
                f'there is no service {service!r}',
                relies_on_table=True,
            )
        req = self.identify(team)
        if isinstance(req, Refusal):
            return req
        return self._make_call(team, req, targets, path)

    def _make_call(
        self,
        team: TeamRow,
        req: RequestId,
        targets: list[TargetRow],
        path: str,
    ) -> Call | Refusal:
        options = self.call_options()
        if isinstance(options, Refusal):
            return options
        given = self.request.headers
        forwarded = {
            name: given[name] for name in _FORWARDED_HEADERS if name in given
        }
        return Call(
            req=req,
            team=team,
            kind=PLAIN_SERVICE,
            name=targets[0].service,
            method=self.request.method or '',
            path=_target_path(self.request.uri or ''),
            headers=forwarded | {IDEMPOTENCY_KEY_HEADER: req.key},
            body=self.request.body,
            stream=False,
            idempotent=options.idempotent
            and not _is_non_idempotent(targets, path),
            reserved_tokens=max(row.price for row in targets),
            deadline=self.received_at + options.timeout,
            trace=self.span,
        )


def _target_path(uri: str) -> str:
    # The path is forwarded as the caller wrote it, because a decoded path
    # could name another resource at the target.
    _empty, _services, _name, rest = uri.split('/', 3)
    return f'/{rest}'


def _is_non_idempotent(targets: list[TargetRow], path: str) -> bool:
    # A target treats "//certificate" and "./certificate" as "certificate".
    # Without normalization, a request with such a path could run twice.
    normalized = posixpath.normpath(f'/{unquote(path)}').lstrip('/').lower()
    return any(
        normalized.startswith(prefix.strip('/').lower())
        for row in targets
        for prefix in row.non_idempotent
    )
