"""The callers' interface: chat completions, models and plain services."""

import math
import posixpath
from urllib.parse import unquote

import attrs
from tornado.iostream import StreamClosedError
from tornado.web import Application

from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import MAYBE_RUN, DispatchFault
from balsamreach.gateway.base import (
    CallerContext,
    NotFoundHandler,
    ObservedHandler,
    log_nothing,
)
from balsamreach.gateway.chat import CHAT_PATH, ChatRequest, read_chat
from balsamreach.gateway.refusals import Refusal, error_event, from_fault
from balsamreach.requests.answers import End
from balsamreach.requests.faults import RequestFault
from balsamreach.requests.identity import RequestId, check_key, fingerprint
from balsamreach.table.rows import (
    ENGINE,
    PAUSED,
    PLAIN_SERVICE,
    TargetRow,
    TeamRow,
)
from balsamreach.telemetry import hops

_UNAUTHORIZED = 401
_FORBIDDEN = 403
_NOT_FOUND = 404
_BAD_REQUEST = 400
_UNSUPPORTED = 415
_BEARER = 'bearer '
_JSON = 'application/json'
_KEY_HEADER = 'Idempotency-Key'
_IDEMPOTENT_HEADER = 'Idempotent'
_TIMEOUT_HEADER = 'X-Request-Timeout'
_FLAGS = {'true': True, 'false': False}
_PASSED = ('Content-Type', 'Accept', 'Accept-Language')
_STARTING = Refusal(
    503,
    'router_starting',
    'this router has not caught up with the table yet',
    retry_after=1,
)


class CallerHandler(ObservedHandler):
    """Base of the handlers that a team's key opens."""

    def authenticate(self) -> TeamRow | Refusal:
        """Return the team whose key the request carries."""
        if not self.context.view.complete:
            # A router that starts in a zone that is cut off may have read an
            # old snapshot. By that it would serve a team that was paused
            # since, and call a new key wrong.
            return _STARTING
        header = self.request.headers.get('Authorization', '')
        if not header.lower().startswith(_BEARER):
            return Refusal(
                _UNAUTHORIZED,
                'missing_key',
                'send the team key as Authorization: Bearer KEY',
            )
        secret = header[len(_BEARER) :].strip()
        team = self.context.view.team_by_secret(secret)
        if team is None:
            return Refusal(_UNAUTHORIZED, 'wrong_key', 'no team has this key')
        self.team_name = team.name
        if team.state == PAUSED:
            return Refusal(
                _FORBIDDEN,
                'team_paused',
                f'team {team.name} is paused by its operators',
            )
        return team

    def identify(self, team: TeamRow) -> RequestId | Refusal:
        """Return the request's identity, minting a key if it has none."""
        given = self.request.headers.get(_KEY_HEADER)
        key = self.request_id if given is None else given
        fault = None if given is None else check_key(key)
        if isinstance(fault, RequestFault):
            return Refusal(_BAD_REQUEST, fault.code, fault.reason)
        self.minted = given is None
        self.name_request(key)
        digest = fingerprint(
            self.request.method or '',
            self.request.uri or '',
            self.request.body,
        )
        return RequestId(team.name, key, given is None, digest)

    def deadline(self) -> float | Refusal:
        """Return when the answer must be whole, by the caller's wish."""
        text = self.request.headers.get(_TIMEOUT_HEADER)
        longest = self.context.cfg.requests.default_deadline
        if text is None:
            return self.received + longest
        seconds = _read_seconds(text)
        if seconds is None:
            return _bad_header(_TIMEOUT_HEADER, 'a number of seconds above 0')
        return self.received + min(seconds, longest)

    def says_idempotent(self) -> bool | Refusal:
        """Return whether the caller lets the request run more than once."""
        text = self.request.headers.get(_IDEMPOTENT_HEADER, 'true')
        flag = _FLAGS.get(text.strip().lower())
        if flag is None:
            return _bad_header(_IDEMPOTENT_HEADER, 'true or false')
        return flag

    async def serve_call(self, call: Call | Refusal) -> None:
        """Run a call and answer with what comes of it."""
        if isinstance(call, Refusal):
            self.refuse(call)
            return
        # The request's task is made in here, so that it inherits the span.
        with hops.following(self.trail):
            answer = self.context.dispatcher.submit(call)
        if isinstance(answer, DispatchFault):
            self.refuse(from_fault(answer))
            return
        self.answer = answer
        answer.attach(self.sink)
        end = await answer.wait()
        self._finish_with(end)

    def on_connection_close(self) -> None:
        """Let go of the answer when the caller has gone."""
        super().on_connection_close()
        if self.answer is not None:
            self.answer.detach(self.sink)
            self.context.dispatcher.abandon(self.answer)

    def _finish_with(self, end: End) -> None:
        try:
            self._finish_checked(end)
        except StreamClosedError:
            self.on_connection_close()

    def _refusal(self, fault: DispatchFault) -> Refusal:
        refusal = from_fault(fault)
        if refusal.ran == MAYBE_RUN and self.minted:
            # The caller gave no key, so that the same words sent again are
            # a new request: it would run and be billed beside the first.
            return attrs.evolve(refusal, repeatable=False)
        return refusal

    def _finish_checked(self, end: End) -> None:
        self.sink.flush()
        if end.whole:
            self.finish()
            return
        assert isinstance(end.fault, DispatchFault)
        refusal = self._refusal(end.fault)
        if not self.sink.started:
            self.refuse(refusal)
            return
        self.refusal = refusal
        if self._sends_events():
            self.finish(error_event(refusal))
        else:
            # An error added to a half body would pass for a part of it. A
            # connection that closes early is what tells the caller.
            self.sink.cut()

    def _sends_events(self) -> bool:
        kind = str(self._headers.get('Content-Type', ''))
        return kind.startswith('text/event-stream')


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    kind = ENGINE

    async def post(self) -> None:
        """Run a chat completion."""
        await self.serve_call(self._read())

    def _read(self) -> Call | Refusal:
        team = self.authenticate()
        if isinstance(team, Refusal):
            return team
        kind = self.request.headers.get('Content-Type', _JSON)
        if kind.partition(';')[0].strip().lower() != _JSON:
            return Refusal(
                _UNSUPPORTED,
                'unsupported_content_type',
                'send the request as application/json',
            )
        req = self.identify(team)
        if isinstance(req, Refusal):
            return req
        chat = read_chat(
            self.request.body,
            team,
            self.context.view.models(),
            self.context.cfg.callers,
            self.context.shares,
        )
        if isinstance(chat, Refusal):
            return chat
        return self._make_call(team, req, chat)

    def _make_call(
        self,
        team: TeamRow,
        req: RequestId,
        chat: ChatRequest,
    ) -> Call | Refusal:
        idempotent = self.says_idempotent()
        if isinstance(idempotent, Refusal):
            return idempotent
        deadline = self.deadline()
        if isinstance(deadline, Refusal):
            return deadline
        return Call(
            req=req,
            team=team,
            kind=ENGINE,
            name=chat.model,
            method='POST',
            path=CHAT_PATH,
            headers={'Content-Type': _JSON, 'X-Priority': str(-team.priority)},
            body=chat.body,
            stream=chat.stream,
            wants_usage=chat.wants_usage,
            idempotent=idempotent,
            prefix=chat.prefix,
            most_tokens=chat.most_tokens,
            most_completion=chat.max_tokens,
            prompt_tokens=chat.prompt_tokens,
            deadline=deadline,
            trace=self.span,
        )


class ModelsHandler(CallerHandler):
    """``GET /v1/models`` and ``GET /v1/models/<name>``."""

    kind = 'models'

    def get(self, name: str | None = None) -> None:
        """List the models open to the team, or show one of them."""
        team = self.authenticate()
        if isinstance(team, Refusal):
            self.refuse(team)
            return
        models = [_describe(model) for model in self._names(team)]
        if name is None:
            self.finish({'object': 'list', 'data': models})
            return
        for model in models:
            if model['id'] == name:
                self.finish(model)
                return
        self.refuse(
            Refusal(
                _NOT_FOUND,
                'unknown_model',
                f'no model {name!r} is open to this team',
            )
        )

    def _names(self, team: TeamRow) -> tuple[str, ...]:
        names = self.context.view.models()
        if team.models:
            return tuple(name for name in names if name in team.models)
        return names


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
                _NOT_FOUND,
                'unknown_service',
                f'there is no service {service!r}',
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
        idempotent = self.says_idempotent()
        if isinstance(idempotent, Refusal):
            return idempotent
        deadline = self.deadline()
        if isinstance(deadline, Refusal):
            return deadline
        given = self.request.headers
        passed = {name: given[name] for name in _PASSED if name in given}
        return Call(
            req=req,
            team=team,
            kind=PLAIN_SERVICE,
            name=workers[0].service,
            method=self.request.method or '',
            path=_target_path(self.request.uri or ''),
            headers=passed | {_KEY_HEADER: req.key},
            body=self.request.body,
            stream=False,
            idempotent=idempotent and not _runs_once(workers, path),
            most_tokens=max(row.price for row in workers),
            deadline=deadline,
            trace=self.span,
        )


def _describe(model: str) -> dict[str, object]:
    return {
        'id': model,
        'object': 'model',
        'created': 0,
        'owned_by': 'balsamreach',
    }


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


def _read_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None


def _bad_header(name: str, form: str) -> Refusal:
    return Refusal(_BAD_REQUEST, 'invalid_header', f'{name}: write {form}')


def make_callers_app(context: CallerContext) -> Application:
    """Return the application of the callers' listener."""
    arguments = {'context': context}
    return Application(
        [
            (CHAT_PATH, ChatHandler, arguments),
            ('/v1/models(?:/(.+))?', ModelsHandler, arguments),
            ('/services/([^/]+)/(.*)', ServiceHandler, arguments),
        ],
        default_handler_class=NotFoundHandler,
        default_handler_args=arguments,
        log_function=log_nothing,
    )
