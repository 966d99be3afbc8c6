"""Reads a chat completion request into a call."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import attrs

from balsamreach.config.settings import CallersSettings
from balsamreach.gateway.bodies import read_json
from balsamreach.gateway.prompts import Prompt, measure_prompt
from balsamreach.gateway.refusals import Refusal, invalid_request
from balsamreach.routing.weighted_split import WeightedSplit
from balsamreach.table.rows import ANY_MODEL, TeamRow

CHAT_PATH = '/v1/chat/completions'

_MOST_CHOICES = 128


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
        Completion tokens at most, over all choices.
    prompt : Prompt
        What the prompt may cost and how it begins.
    body : bytes
        Body to send to the target.
    """

    model: str
    stream: bool
    wants_usage: bool
    max_tokens: int
    prompt: Prompt
    body: bytes

    @property
    def most_tokens(self) -> int:
        """Worst case of prompt and completion together."""
        return self.prompt.most_tokens + self.max_tokens

    @property
    def prompt_tokens(self) -> int:
        """Estimate of the prompt's tokens."""
        return self.prompt.likely_tokens

    @property
    def prefix(self) -> bytes:
        """Leading part of the prompt."""
        return self.prompt.prefix


def read_chat(
    raw: bytes,
    team: TeamRow,
    models: tuple[str, ...],
    cfg: CallersSettings,
    shares: WeightedSplit,
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
    cfg : CallersSettings
        Bounds of what is asked for.
    shares : WeightedSplit
        For sharing ``auto`` requests among the team's models.

    Returns
    -------
    ChatRequest or Refusal
        A refusal names what is wrong with the request.
    """
    body = _parse(raw)
    if isinstance(body, Refusal):
        return body
    model = _choose_model(body, team, models, shares)
    if isinstance(model, Refusal):
        return model
    max_tokens = _max_tokens(body, team, cfg.most_completion)
    if isinstance(max_tokens, Refusal):
        return max_tokens
    prompt = measure_prompt(body, cfg.part_tokens)
    if isinstance(prompt, Refusal):
        return prompt
    return _build(body, model, max_tokens, prompt)


def _parse(raw: bytes) -> dict[str, Any] | Refusal:
    body = read_json(raw)
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
        # A model that no target serves any more would turn its share of the
        # requests away; the other models take it over.
        weights = {
            name: weight
            for name, weight in weights.items()
            if name in models and weight > 0
        }
        if not weights:
            return Refusal(
                HTTPStatus.BAD_REQUEST,
                'unknown_model',
                'no model is open to the team',
                by_table=True,
            )
        return shares.pick(team.name, weights)
    if model not in models or (team.models and model not in team.models):
        return Refusal(
            HTTPStatus.NOT_FOUND,
            'unknown_model',
            f'no model {model!r} is open to this team',
            by_table=True,
        )
    return model


def _max_tokens(
    body: Mapping[str, Any],
    team: TeamRow,
    most: int,
) -> int | Refusal:
    for name in ('max_completion_tokens', 'max_tokens'):
        if body.get(name) is not None:
            return _read_count(body, name, most)
    return min(team.max_tokens, most)


def _choices(body: Mapping[str, Any]) -> int | Refusal:
    # Every choice is generated whole and billed, also those that an engine
    # drops in favour of the best.
    counts = [1]
    for name in ('n', 'best_of'):
        if body.get(name) is None:
            continue
        count = _read_count(body, name, _MOST_CHOICES)
        if isinstance(count, Refusal):
            return count
        counts.append(count)
    return max(counts)


def _read_count(
    body: Mapping[str, Any],
    name: str,
    most: int,
) -> int | Refusal:
    number = body[name]
    if isinstance(number, bool) or not isinstance(number, int):
        return invalid_request(f'{name} must be a whole number')
    if not 1 <= number <= most:
        return invalid_request(f'{name} must be from 1 to {most}')
    return number


def _build(
    body: dict[str, Any],
    model: str,
    max_tokens: int,
    prompt: Prompt,
) -> ChatRequest | Refusal:
    choices = _choices(body)
    if isinstance(choices, Refusal):
        return choices
    stream = bool(body.get('stream'))
    options = body.get('stream_options') or {}
    sent = {**body, 'model': model, 'max_tokens': max_tokens}
    sent.pop('max_completion_tokens', None)
    if stream:
        sent['stream_options'] = {**options, 'include_usage': True}
    return ChatRequest(
        model=model,
        stream=stream,
        wants_usage=bool(options.get('include_usage')),
        max_tokens=max_tokens * choices,
        prompt=prompt,
        body=json.dumps(sent).encode(),
    )
