"""The callers' interface to chat completions."""

from http import HTTPStatus

from balsamreach.dispatch.call import Call
from balsamreach.gateway.caller_handler import CallerHandler
from balsamreach.gateway.chat import CHAT_PATH, ChatRequest, read_chat
from balsamreach.gateway.refusals import Refusal
from balsamreach.requests.identity import RequestId
from balsamreach.table.rows import ENGINE, TeamRow

_JSON = 'application/json'


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
                HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
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
        terms = self.terms()
        if isinstance(terms, Refusal):
            return terms
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
            idempotent=terms.idempotent,
            prefix=chat.prefix,
            reserved_tokens=chat.most_tokens,
            max_completion_tokens=chat.max_tokens,
            prompt_tokens=chat.prompt_tokens,
            deadline=self.received + terms.timeout,
            trace=self.span,
        )
