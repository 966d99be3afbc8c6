"""Reads a chat completion request into a call."""

import json
import random
from collections.abc import Mapping
from typing import Any

import attrs

from balsamreach.gateway.refusals import Refusal
from balsamreach.table.rows import ANY_MODEL, TeamRow

CHAT_PATH = '/v1/chat/completions'

_BAD_REQUEST = 400
_NOT_FOUND = 404
#: Tokens a chat template may add for each message.
_MESSAGE_OVERHEAD = 16
_BYTES_PER_TOKEN = 4
_PREFIX_LIMIT = 8192


@attrs.frozen
class ChatRequest:
    """The parts of a chat completion request that routing needs.

    Parameters
    ----------
    model : str
        Model that will run it.
    stream, wants_usage : bool
        What the caller asked for.
    max_tokens : int
        Completion tokens at most.
    prompt_bytes : int
        Length of all message contents.
    messages : int
        Number of messages.
    prefix : bytes
        Leading part of the prompt.
    body : bytes
        Body to send to the target.
    """

    model: str
    stream: bool
    wants_usage: bool
    max_tokens: int
    prompt_bytes: int
    messages: int
    prefix: bytes
    body: bytes

    @property
    def most_tokens(self) -> int:
        """Worst case: a token is at least one byte of the prompt."""
        overhead = _MESSAGE_OVERHEAD * self.messages
        return self.prompt_bytes + overhead + self.max_tokens

    @property
    def prompt_tokens(self) -> int:
        """Estimate of the prompt's tokens."""
        return max(1, self.prompt_bytes // _BYTES_PER_TOKEN)


def read_chat(
    raw: bytes,
    team: TeamRow,
    models: tuple[str, ...],
    rng: random.Random,
) -> ChatRequest | Refusal:
    """Check a chat completion request and read it.

    Parameters
    ----------
    raw : bytes
        Body as the caller sent it.
    team : TeamRow
        Team that calls.
    models : tuple of str
        Models that some engine serves.
    rng : random.Random
        For sharing ``auto`` requests among the team's models.

    Returns
    -------
    ChatRequest or Refusal
        A refusal names what is wrong with the request.
    """
    body = _parse(raw)
    if isinstance(body, Refusal):
        return body
    model = _choose_model(body, team, models, rng)
    if isinstance(model, Refusal):
        return model
    max_tokens = _max_tokens(body, team)
    if isinstance(max_tokens, Refusal):
        return max_tokens
    return _build(body, model, max_tokens)


def _bad(message: str, code: str = 'invalid_request') -> Refusal:
    return Refusal(_BAD_REQUEST, code, message)


def _parse(raw: bytes) -> dict[str, Any] | Refusal:
    try:
        body = json.loads(raw)
    except ValueError:
        return _bad('the body is not JSON', 'malformed_json')
    except RecursionError:
        return _bad('the body is nested too deeply', 'malformed_json')
    if not isinstance(body, dict):
        return _bad('the body must be a JSON object', 'malformed_json')
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        return _bad('messages must be a list with at least one message')
    if not all(isinstance(message, dict) for message in messages):
        return _bad('each message must be an object')
    if not isinstance(body.get('stream', False), (bool, type(None))):
        return _bad('stream must be true or false')
    return body


def _choose_model(
    body: Mapping[str, Any],
    team: TeamRow,
    models: tuple[str, ...],
    rng: random.Random,
) -> str | Refusal:
    model = body.get('model')
    if not isinstance(model, str) or not model:
        return _bad('model must be a text')
    if model == ANY_MODEL:
        allowed = dict.fromkeys(models, 1.0) | team.models
        shares = team.models or allowed
        if sum(shares.values()) <= 0:
            return _bad('no model is open to the team', 'unknown_model')
        return rng.choices(list(shares), list(shares.values()))[0]
    if model not in models or (team.models and model not in team.models):
        return Refusal(
            _NOT_FOUND,
            'unknown_model',
            f'no model {model!r} is open to this team',
        )
    return model


def _max_tokens(body: Mapping[str, Any], team: TeamRow) -> int | Refusal:
    for name in ('max_completion_tokens', 'max_tokens'):
        number = body.get(name)
        if number is None:
            continue
        if isinstance(number, bool) or not isinstance(number, int):
            return _bad(f'{name} must be a whole number')
        if number < 1:
            return _bad(f'{name} must be at least 1')
        return number
    return team.max_tokens


def _build(
    body: dict[str, Any],
    model: str,
    max_tokens: int,
) -> ChatRequest:
    stream = bool(body.get('stream'))
    options = body.get('stream_options') or {}
    wants_usage = isinstance(options, dict) and options.get('include_usage')
    prompt = _prompt_text(body['messages'])
    sent = {**body, 'model': model, 'max_tokens': max_tokens}
    sent.pop('max_completion_tokens', None)
    if stream:
        sent['stream_options'] = {'include_usage': True}
    return ChatRequest(
        model=model,
        stream=stream,
        wants_usage=bool(wants_usage),
        max_tokens=max_tokens,
        prompt_bytes=len(prompt),
        messages=len(body['messages']),
        prefix=prompt[:_PREFIX_LIMIT],
        body=json.dumps(sent).encode(),
    )


def _prompt_text(messages: list[dict[str, Any]]) -> bytes:
    texts = []
    for message in messages:
        content = message.get('content')
        texts.append(content if isinstance(content, str) else str(content))
    return '\n'.join(texts).encode('utf-8', 'replace')
