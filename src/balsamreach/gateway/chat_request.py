"""Parser and validator of chat completion requests."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import attrs

from balsamreach.config.settings import CallersSettings
from balsamreach.gateway.json_parser import parse_json
from balsamreach.gateway.prompts import Prompt, measure_prompt
from balsamreach.gateway.refusals import Refusal, invalid_request
from balsamreach.routing.weighted_split import WeightedSplit
from balsamreach.table.rows import ANY_MODEL, TeamRow

CHAT_PATH = '/v1/chat/completions'

_MAX_CHOICES = 128


@attrs.frozen
class ChatRequest:
    """The parts of a chat completion request that routing needs.

    Parameters
    ----------
    model : str
        Model that runs the request.
    stream, wants_usage : bool
        Whether the caller wants a stream, and token usage in it.
    max_completion_tokens : int
        Maximum completion tokens, summed over all choices.
    prompt : Prompt
        Token counts and prefix of the prompt.
    body : bytes
        Body to send to the target.
    """

    model: str
    stream: bool
    wants_usage: bool
    max_completion_tokens: int
    prompt: Prompt
    body: bytes

    @property
    def max_total_tokens(self) -> int:
        """Maximum tokens of prompt and completion together."""
        return self.prompt.max_tokens + self.max_completion_tokens

    @property
    def prompt_tokens(self) -> int:
        """Estimated tokens of the prompt."""
        return self.prompt.estimated_tokens

    @property
    def prefix(self) -> bytes:
        """Leading bytes of the prompt, for cache affinity."""
        return self.prompt.prefix


def parse_chat_request(
    raw: bytes,
    team: TeamRow,
    models: tuple[str, ...],
    cfg: CallersSettings,
    shares: WeightedSplit,
) -> ChatRequest | Refusal:
    """Validate and parse a chat completion request.

    Parameters
    ----------
    raw : bytes
        Body as the caller sent it.
    team : TeamRow
        Team of the caller.
    models : tuple of str
        Models that some engine serves.
    cfg : CallersSettings
        Limits of completion tokens and tokens per media part.
    shares : WeightedSplit
        Distributes ``auto`` requests among the team's models.

    Returns
    -------
    ChatRequest or Refusal
        A refusal names what is wrong with the request.
    """
    body = _parse_body(raw)
    if isinstance(body, Refusal):
        return body
    model = _choose_model(body, team, models, shares)
    if isinstance(model, Refusal):
        return model
    max_tokens = _read_max_tokens(body, team, cfg.most_completion)
    if isinstance(max_tokens, Refusal):
        return max_tokens
    prompt = measure_prompt(body, cfg.part_tokens)
    if isinstance(prompt, Refusal):
        return prompt
    return _build(body, model, max_tokens, prompt)


def _parse_body(raw: bytes) -> dict[str, Any] | Refusal:
    body = parse_json(raw)
    if isinstance(body, Refusal):
        return body
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        return invalid_request(
            'messages must be a list with at least one message'
        )
    if not all(isinstance(message, dict) for message in messages):
        return invalid_request('each message must be an object')
    if not isinstance(body.get('stream', False), (bool, type(None))):
        return invalid_request('stream must be true or false')
    if not isinstance(body.get('stream_options', {}), (dict, type(None))):
        return invalid_request('stream_options must be an object')
    return body


def _choose_model(
    body: Mapping[str, Any],
    team: TeamRow,
    models: tuple[str, ...],
    shares: WeightedSplit,
) -> str | Refusal:
    model = body.get('model')
    if not isinstance(model, str) or not model:
        return invalid_request('model must be a text')
    if model == ANY_MODEL:
        weights = team.models or dict.fromkeys(models, 1.0)
        # The share of a model that no target serves any more goes to the
        # other models; its requests would be refused otherwise.
        weights = {
            name: weight
            for name, weight in weights.items()
            if name in models and weight > 0
        }
        if not weights:
            return Refusal(
                HTTPStatus.BAD_REQUEST,
                'unknown_model',
                'no model is open to this team',
                relies_on_table=True,
            )
        return shares.pick(team.name, weights)
    if model not in models or (team.models and model not in team.models):
        return Refusal(
            HTTPStatus.NOT_FOUND,
            'unknown_model',
            f'no model {model!r} is open to this team',
            relies_on_table=True,
        )
    return model


def _read_max_tokens(
    body: Mapping[str, Any],
    team: TeamRow,
    maximum: int,
) -> int | Refusal:
    for name in ('max_completion_tokens', 'max_tokens'):
        if body.get(name) is not None:
            return _read_int(body, name, maximum)
    return min(team.max_tokens, maximum)


def _read_choices(body: Mapping[str, Any]) -> int | Refusal:
    # Every choice is generated in full and billed, including those that an
    # engine discards for best_of.
    counts = [1]
    for name in ('n', 'best_of'):
        if body.get(name) is None:
            continue
        count = _read_int(body, name, _MAX_CHOICES)
        if isinstance(count, Refusal):
            return count
        counts.append(count)
    return max(counts)


def _read_int(
    body: Mapping[str, Any],
    name: str,
    maximum: int,
) -> int | Refusal:
    number = body[name]
    if isinstance(number, bool) or not isinstance(number, int):
        return invalid_request(f'{name} must be a whole number')
    if not 1 <= number <= maximum:
        return invalid_request(f'{name} must be from 1 to {maximum}')
    return number


def _build(
    body: dict[str, Any],
    model: str,
    max_tokens: int,
    prompt: Prompt,
) -> ChatRequest | Refusal:
    choices = _read_choices(body)
    if isinstance(choices, Refusal):
        return choices
    stream = bool(body.get('stream'))
    options = body.get('stream_options') or {}
    upstream_body = {**body, 'model': model, 'max_tokens': max_tokens}
    upstream_body.pop('max_completion_tokens', None)
    if stream:
        upstream_body['stream_options'] = {**options, 'include_usage': True}
    return ChatRequest(
        model=model,
        stream=stream,
        wants_usage=bool(options.get('include_usage')),
        max_completion_tokens=max_tokens * choices,
        prompt=prompt,
        body=json.dumps(upstream_body).encode(),
    )
