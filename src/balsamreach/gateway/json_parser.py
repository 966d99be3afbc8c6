"""Strict JSON parser, so that router and target parse a body alike."""

import json
import math
from http import HTTPStatus
from typing import Any

from balsamreach.gateway.refusals import Refusal

#: Deeper than any client library nests. The limit of an engine's parser
#: differs between engines, and a deeper body could crash one of them.
MAX_DEPTH = 64


def parse_json(raw: bytes) -> dict[str, Any] | Refusal:
    """Parse a JSON object.

    Parameters
    ----------
    raw : bytes
        Body as the caller sent it.

    Returns
    -------
    dict or Refusal
        A refusal for malformed JSON and for input on which JSON parsers
        differ: an encoding other than UTF-8, duplicate keys, NaN, infinite
        numbers and deep nesting.
    """
    try:
        text = raw.decode('utf-8')
    except UnicodeDecodeError:
        return _malformed('the body is not UTF-8')
    try:
        body = json.loads(
            text,
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
            parse_float=_parse_finite_float,
        )
    except RecursionError:
        return _malformed('the body is nested too deeply')
    except ValueError as exc:
        return _malformed(f'the body is not JSON: {exc}')
    if not isinstance(body, dict):
        return _malformed('the body must be a JSON object')
    if _exceeds_max_depth(body):
        return _malformed('the body is nested too deeply')
    return body


def _malformed(message: str) -> Refusal:
    return Refusal(HTTPStatus.BAD_REQUEST, 'malformed_json', message)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # With duplicate keys, the router could reserve tokens by one value while
    # the engine uses the other.
    body = dict(pairs)
    if len(body) < len(pairs):
        raise ValueError('an object has a duplicate key')
    return body


def _reject_constant(name: str) -> float:
    raise ValueError(f'{name} is not a JSON number')


def _parse_finite_float(text: str) -> float:
    number = float(text)
    if math.isinf(number):
        raise ValueError(f'{text} is too large')
    return number


def _exceeds_max_depth(body: dict[str, Any]) -> bool:
    level: list[Any] = [body]
    for _ in range(MAX_DEPTH):
        level = [
            child
            for container in level
            for child in _children(container)
            if isinstance(child, (dict, list))
        ]
        if not level:
            return False
    return True


def _children(container: Any) -> Any:
    return container.values() if isinstance(container, dict) else container
