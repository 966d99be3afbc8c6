"""Parser of JSON that other processes have written."""

import json
import math
from collections.abc import Iterable
from typing import Any

from balsamreach.faults import Fault

#: Maximum levels of nesting. Beyond a thousand, parsing fails, and a value of
#: some less may be parsed but can't be encoded again where more callers are
#: on the stack.
MAX_LEVELS = 64

#: Types of what the parser makes of objects and lists.
_CONTAINERS = (dict, list)


class JsonFault(Fault):
    """Fault of a text that should be JSON."""


#: The text is not JSON, or nested too deeply.
NOT_JSON = JsonFault('not_json')


def read_json(
    text: str | bytes, max_levels: int = MAX_LEVELS
) -> Any | JsonFault:
    """Parse JSON from outside; no text raises an error.

    Parameters
    ----------
    text : str or bytes
        The text; bytes in UTF-8.
    max_levels : int
        Maximum levels of nesting.

    Returns
    -------
    object or JsonFault
        The parsed value. NOT_JSON if the text is malformed, nested too
        deeply, or holds numbers that are not finite or of more digits than
        Python converts.
    """
    try:
        decoded = text if isinstance(text, str) else text.decode()
        parsed = _decoder.decode(decoded)
    except (ValueError, RecursionError) as exc:
        return NOT_JSON.because(str(exc))
    # Texts with so few brackets needn't be searched.
    if decoded.count('[') + decoded.count('{') <= max_levels:
        return parsed
    if _exceeds(max_levels, parsed):
        return NOT_JSON.because('nested too deeply')
    return parsed


def _read_finite(text: str) -> float:
    number = float(text)
    if math.isinf(number):
        raise ValueError(f'a number is too large: {text[:20]}')
    return number


def _reject_constant(name: str) -> float:
    raise ValueError(f'{name} is not JSON')


def _exceeds(max_levels: int, parsed: Any) -> bool:
    level = [[parsed]]
    for _ in range(max_levels + 1):
        level = [
            child
            for container in level
            for child in _children(container)
            if isinstance(child, _CONTAINERS)
        ]
        if not level:
            return False
    return True


def _children(container: Any) -> Iterable[Any]:
    return container.values() if isinstance(container, dict) else container


_decoder = json.JSONDecoder(
    parse_float=_read_finite, parse_constant=_reject_constant
)
