"""Simulated callers: requests, outcomes and retries."""

import asyncio
import json
import time
from typing import Any

import attrs
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from balsamreach.standins.engine_text import words_of
from bench.fleet import api_key_of
from bench.processes import Process

_REQUEST_TIMEOUT_S = 30
_MAX_CONNECTIONS = 2000
_DATA = 'data: '
_DONE = 'data: [DONE]'
_OK = 200


@attrs.frozen
class CallerRequest:
    """One request of a caller.

    Parameters
    ----------
    team, key : str
        Team of the caller, and idempotency key of the request.
    words : int
        Number of words in the requested answer.
    non_idempotent : bool
        Whether it goes to a plain service and must not run twice.
    """

    team: str
    key: str
    words: int = 4
    non_idempotent: bool = False

    @property
    def prompt(self) -> str:
        """Prompt, unique to this request."""
        return f'{self.team} {self.key} words={self.words}'

    @property
    def max_tokens(self) -> int:
        """Approximate maximum of tokens that the request can use."""
        return 3 * (len(self.prompt) + self.words)

    def http_request(self, router: Process) -> HTTPRequest:
        """Return the HTTP request to a router."""
        path = '/services/desk/confirmations' if self.non_idempotent else _CHAT
        return HTTPRequest(
            f'http://{router.address}{path}',
            method='POST',
            body=json.dumps(self._body()),
            headers={
                'Authorization': f'Bearer {api_key_of(self.team)}',
                'Content-Type': 'application/json',
                'Idempotency-Key': self.key,
            },
            connect_timeout=2,
            request_timeout=_REQUEST_TIMEOUT_S,
        )

    def is_answered_by(self, body: bytes) -> bool:
        """Return whether a body is the complete answer to this request."""
        if self.non_idempotent:
            return self.prompt in json.loads(body)['body']
        events = body.decode().split('\n\n')
        contents = [_content_of(event) for event in events]
        has_end = _DONE in events
        return has_end and ''.join(contents).split() == words_of(self.prompt)

    def _body(self) -> dict[str, Any]:
        return {
            'model': 'model-a',
            'stream': True,
            'max_tokens': self.words,
            'messages': [{'role': 'user', 'content': self.prompt}],
        }


_CHAT = '/v1/chat/completions'


@attrs.define
class Outcome:
    """Final result of a request.

    Parameters
    ----------
    request : CallerRequest
        The request.
    router : str
        Name of the last router tried.
    status : int
        HTTP status; 0 if the connection broke.
    code, ran : str
        Error code of a refusal, and whether the request ran (``no`` if not).
    is_complete : bool
        Whether the complete answer to this request arrived.
    cut : bool
        Whether an open connection broke, or sent an error, before the answer
        was complete.
    unreached : bool
        Whether the connection was refused.
    tries : int
        Number of tries.
    cuts : int
        Number of tries that were cut.
    began_at : float
        Start of the first try on the monotonic clock.
    took_s : float
        Duration of the last try, in seconds.
    """

    request: CallerRequest
    router: str
    status: int = 0
    code: str = ''
    ran: str = ''
    is_complete: bool = False
    cut: bool = False
    unreached: bool = False
    tries: int = 1
    cuts: int = 0
    began_at: float = 0
    took_s: float = 0

    @property
    def not_run(self) -> bool:
        """Whether the router reported that the request was not run."""
        return self.ran == 'no'

    @property
    def refused(self) -> bool:
        """Whether the caller got an error code instead of a full answer."""
        return bool(self.code)


@attrs.define
class CallerClient:
    """HTTP client that sends requests for the scenarios."""

    _client: SimpleAsyncHTTPClient = attrs.field(
        factory=lambda: SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CONNECTIONS,
        ),
    )

    async def send(self, request: CallerRequest, router: Process) -> Outcome:
        """Send a request once and return its outcome."""
        outcome = Outcome(request, router.name, began_at=time.monotonic())
        try:
            await self._fetch(outcome, request.http_request(router))
        except ConnectionRefusedError:
            outcome.unreached = True
        except (HTTPError, OSError):
            outcome.cut = True
        outcome.cuts += outcome.cut
        outcome.took_s = time.monotonic() - outcome.began_at
        return outcome

    async def send_with_retries(
        self,
        request: CallerRequest,
        routers: list[Process],
        tries: int = 4,
    ) -> Outcome:
        """Send a request to the routers in turn until one answers.

        A broken connection, or a refusal that reports the request as not run,
        is retried at the next router with the same idempotency key.
        """
        outcome = await self.send(request, routers[0])
        for number in range(1, tries):
            if outcome.is_complete or (outcome.status and not outcome.not_run):
                break
            await asyncio.sleep(0.2 * number)
            router = routers[number % len(routers)]
            previous = outcome
            outcome = await self.send(request, router)
            outcome.tries = number + 1
            outcome.began_at = previous.began_at
            outcome.cuts += previous.cuts
        return outcome

    async def _fetch(self, outcome: Outcome, request: HTTPRequest) -> None:
        reply = await self._client.fetch(request, raise_error=False)
        # Tornado's client reports a broken connection or a timeout as 599.
        if reply.code == 599:
            outcome.cut = True
            return
        outcome.status = reply.code
        if reply.code == _OK:
            _parse_answer(outcome, reply.body)
            return
        outcome.ran = reply.headers.get('X-Balsamreach-Ran', '')
        outcome.code = json.loads(reply.body)['error']['code']


def _parse_answer(outcome: Outcome, body: bytes) -> None:
    outcome.is_complete = outcome.request.is_answered_by(body)
    error = _error_of(body)
    if error is not None:
        # The router broke the stream off and sent an error event instead.
        outcome.cut = True
        outcome.code = error['code']
        outcome.ran = error['ran']


def _error_of(body: bytes) -> dict[str, str] | None:
    previous = body.rstrip().rpartition(b'\n\n')[2].decode()
    if not previous.startswith(_DATA) or previous == _DONE:
        return None
    return json.loads(previous.removeprefix(_DATA)).get('error')


def _content_of(event: str) -> str:
    if not event.startswith(_DATA) or event == _DONE:
        return ''
    choices = json.loads(event.removeprefix(_DATA)).get('choices')
    return choices[0]['delta'].get('content', '') if choices else ''
