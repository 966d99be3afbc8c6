"""The callers' interface: chat completions, models and plain services."""

import random

import attrs
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.dispatcher import Dispatcher
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.gateway.chat import CHAT_PATH, ChatRequest, read_chat
from balsamreach.gateway.refusals import (
    Refusal,
    error_event,
    from_fault,
    send_refusal,
)
from balsamreach.gateway.sinks import HandlerSink
from balsamreach.requests.answers import Answer, End
from balsamreach.requests.faults import RequestFault
from balsamreach.requests.identity import (
    RequestId,
    check_key,
    fingerprint,
    mint_key,
)
from balsamreach.table.rows import ENGINE, PAUSED, PLAIN_SERVICE, TeamRow
from balsamreach.table.view import TableView

_UNAUTHORIZED = 401
_FORBIDDEN = 403
_NOT_FOUND = 404
_BAD_REQUEST = 400
_UNSUPPORTED = 415
_BEARER = 'Bearer '
_JSON = 'application/json'
_KEY_HEADER = 'Idempotency-Key'


@attrs.frozen
class CallerContext:
    """What handlers of the callers' interface work with."""

    cfg: Settings
    view: TableView
    dispatcher: Dispatcher
    clock: Clock
    rng: random.Random


class CallerHandler(RequestHandler):
    """Base of the handlers that a team's key opens."""

    def initialize(self, context: CallerContext) -> None:
        """Take the context that the application was made with."""
        self.context = context
        self.answer: Answer | None = None
        self.sink = HandlerSink(self)

    def authenticate(self) -> TeamRow | Refusal:
        """Return the team whose key the request carries."""
        header = self.request.headers.get('Authorization', '')
        if not header.startswith(_BEARER):
            return Refusal(
                _UNAUTHORIZED,
                'missing_key',
                'send the team key as Authorization: Bearer KEY',
            )
        secret = header.removeprefix(_BEARER).strip()
        team = self.context.view.team_by_secret(secret)
        if team is None:
            return Refusal(_UNAUTHORIZED, 'wrong_key', 'no team has this key')
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
        key = mint_key() if given is None else given
        fault = None if given is None else check_key(key)
        if isinstance(fault, RequestFault):
            return Refusal(_BAD_REQUEST, fault.code, fault.reason)
        digest = fingerprint(
            self.request.method or '',
            self.request.uri or '',
            self.request.body,
        )
        return RequestId(team.name, key, given is None, digest)

    async def serve_call(self, call: Call) -> None:
        """Run a call and answer with what comes of it."""
        self.set_header('X-Request-Id', call.req.key)
        answer = self.context.dispatcher.submit(call)
        if isinstance(answer, DispatchFault):
            send_refusal(self, from_fault(answer))
            return
        self.answer = answer
        answer.attach(self.sink)
        end = await answer.wait()
        self._finish_with(end)

    def on_connection_close(self) -> None:
        """Let go of the answer when the caller has gone."""
        if self.answer is not None:
            self.answer.detach(self.sink)
            self.context.dispatcher.abandon(self.answer)

    def _finish_with(self, end: End) -> None:
        try:
            self._finish_checked(end)
        except StreamClosedError:
            self.on_connection_close()

    def _finish_checked(self, end: End) -> None:
        self.sink.flush()
        if end.whole:
            self.finish()
            return
        assert isinstance(end.fault, DispatchFault)
        refusal = from_fault(end.fault)
        if self.sink.started:
            self.finish(error_event(refusal))
        else:
            send_refusal(self, refusal)


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Run a chat completion."""
        call = self._read()
        if isinstance(call, Refusal):
            send_refusal(self, call)
            return
        await self.serve_call(call)

    def _read(self) -> Call | Refusal:
        team = self.authenticate()
        if isinstance(team, Refusal):
            return team
        kind = self.request.headers.get('Content-Type', _JSON)
        if not kind.lower().startswith(_JSON):
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
            self.context.rng,
        )
        if isinstance(chat, Refusal):
            return chat
        return self._make_call(team, req, chat)

    def _make_call(
        self,
        team: TeamRow,
        req: RequestId,
        chat: ChatRequest,
    ) -> Call:
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
            idempotent=_says_idempotent(self, default=True),
            prefix=chat.prefix,
            most_tokens=chat.most_tokens,
            most_completion=chat.max_tokens,
            prompt_tokens=chat.prompt_tokens,
            deadline=_deadline(self),
        )


class ModelsHandler(CallerHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the models open to the team."""
        team = self.authenticate()
        if isinstance(team, Refusal):
            send_refusal(self, team)
            return
        names = self.context.view.models()
        if team.models:
            names = tuple(name for name in names if name in team.models)
        models = [
            {'id': name, 'object': 'model', 'owned_by': 'balsamreach'}
            for name in names
        ]
        self.finish({'object': 'list', 'data': models})


class ServiceHandler(CallerHandler):
    """``/services/<name>/<path>``: calls of plain services."""

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
        call = self._read(*self.path_args)
        if isinstance(call, Refusal):
            send_refusal(self, call)
            return
        await self.serve_call(call)

    def _read(self, service: str, path: str) -> Call | Refusal:
        team = self.authenticate()
        if isinstance(team, Refusal):
            return team
        workers = tuple(self.context.view.workers_of(service))
        workers = tuple(row for row in workers if row.kind == PLAIN_SERVICE)
        if not workers:
            return Refusal(
                _NOT_FOUND,
                'unknown_service',
                f'there is no service {service!r}',
            )
        req = self.identify(team)
        if isinstance(req, Refusal):
            return req
        single = any(
            path.startswith(start.lstrip('/'))
            for row in workers
            for start in row.non_idempotent
        )
        query = f'?{self.request.query}' if self.request.query else ''
        return Call(
            req=req,
            team=team,
            kind=PLAIN_SERVICE,
            name=service,
            method=self.request.method or '',
            path=f'/{path}{query}',
            headers=_passed_headers(self, req),
            body=self.request.body,
            stream=False,
            idempotent=not single and _says_idempotent(self, default=True),
            most_tokens=max(row.price for row in workers),
            deadline=_deadline(self),
        )


def _passed_headers(
    handler: RequestHandler,
    req: RequestId,
) -> dict[str, str]:
    names = ('Content-Type', 'Accept', 'Accept-Language')
    given = handler.request.headers
    passed = {name: given[name] for name in names if name in given}
    return passed | {_KEY_HEADER: req.key}


def _says_idempotent(handler: RequestHandler, *, default: bool) -> bool:
    header = handler.request.headers.get('Idempotent', '').lower()
    return default if not header else header != 'false'


def _deadline(handler: CallerHandler) -> float:
    return (
        handler.context.clock.now()
        + handler.context.cfg.requests.default_deadline
    )


def make_callers_app(context: CallerContext) -> Application:
    """Return the application of the callers' listener."""
    arguments = {'context': context}
    return Application(
        [
            (CHAT_PATH, ChatHandler, arguments),
            ('/v1/models', ModelsHandler, arguments),
            ('/services/([^/]+)/(.*)', ServiceHandler, arguments),
        ]
    )
