"""The callers' interface to plain services."""

import posixpath
from http import HTTPStatus
from urllib.parse import unquote

from balsamreach.dispatch.call import Call
from balsamreach.gateway.caller_handler import KEY_HEADER, CallerHandler
from balsamreach.gateway.refusals import Refusal
from balsamreach.requests.identity import RequestId
from balsamreach.table.rows import PLAIN_SERVICE, TargetRow, TeamRow

#: Headers that a target gets as the caller sent them.
_PASSED = ('Content-Type', 'Accept', 'Accept-Language')


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
        """Serve every method alike."""
        await self.serve_call(self._read(*self.path_args))

    def _read(self, service: str, path: str) -> Call | Refusal:
        team = self.authenticate()
        if isinstance(team, Refusal):
            return team
        workers = [
            row
            for row in self.context.view.workers_of(service)
            if row.kind == PLAIN_SERVICE
        ]
        if not workers:
            return Refusal(
                HTTPStatus.NOT_FOUND,
                'unknown_service',
                f'there is no service {service!r}',
                by_table=True,
            )
        req = self.identify(team)
        if isinstance(req, Refusal):
            return req
        return self._make_call(team, req, workers, path)

    def _make_call(
        self,
        team: TeamRow,
        req: RequestId,
        workers: list[TargetRow],
        path: str,
    ) -> Call | Refusal:
        terms = self.terms()
        if isinstance(terms, Refusal):
            return terms
        given = self.request.headers
        passed = {name: given[name] for name in _PASSED if name in given}
        return Call(
            req=req,
            team=team,
            kind=PLAIN_SERVICE,
            name=workers[0].service,
            method=self.request.method or '',
            path=_target_path(self.request.uri or ''),
            headers=passed | {KEY_HEADER: req.key},
            body=self.request.body,
            stream=False,
            idempotent=terms.idempotent and not _runs_once(workers, path),
            reserved_tokens=max(row.price for row in workers),
            deadline=self.received + terms.timeout,
            trace=self.span,
        )


def _target_path(uri: str) -> str:
    # The path goes on as the caller wrote it: a decoded one could name
    # something else at the target.
    _empty, _services, _name, rest = uri.split('/', 3)
    return f'/{rest}'


def _runs_once(workers: list[TargetRow], path: str) -> bool:
    # A target takes "//certificate" or "./certificate" for "certificate".
    # If only the plain spelling counted, another one would run twice.
    plain = posixpath.normpath(f'/{unquote(path)}').lstrip('/').lower()
    return any(
        plain.startswith(start.strip('/').lower())
        for row in workers
        for start in row.non_idempotent
    )
