"""Strict JSON parser, so that router and target parse a body alike."""

import json
import math
from http import HTTPStatus
from typing import Any

from balsamreach.gateway.refusals import Refusal

#: Deeper than any client library nests. The limit of an engine's parser
#: differs between engines, and a deeper body could crash one of them.
MOST_DEPTH = 64


def read_json(raw: bytes) -> dict[str, Any] | Refusal:
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
            object_pairs_hook=_unique,
            parse_constant=_no_constant,
            parse_float=_finite,
        )
    except RecursionError:
        return _malformed('the body is nested too deeply')
    except ValueError as exc:
        return _malformed(f'the body is not JSON: {exc}')
    if not isinstance(body, dict):
        return _malformed('the body must be a JSON object')
    if _is_deep(body):
        return _malformed('the body is nested too deeply')
    return body


def _malformed(message: str) -> Refusal:
    return Refusal(HTTPStatus.BAD_REQUEST, 'malformed_json', message)


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # With duplicate keys, the router could reserve tokens by one value while
    # the engine uses the other.
    body = dict(pairs)
    if len(body) < len(pairs):
        raise ValueError('an object has a duplicate key')
    return body


def _no_constant(name: str) -> float:
    raise ValueError(f'{name} is not a JSON number')


def _finite(text: str) -> float:
    number = float(text)
    if math.isinf(number):
        raise ValueError(f'{text} is too large')
    return number


def _is_deep(body: dict[str, Any]) -> bool:
    level: list[Any] = [body]
    for _ in range(MOST_DEPTH):
        level = [
            inner
            for outer in level
            for inner in _inside(outer)
            if isinstance(inner, (dict, list))
        ]
        if not level:
            return False
    return True


def _inside(outer: Any) -> Any:
    return outer.values() if isinstance(outer, dict) else outer
