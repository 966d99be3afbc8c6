"""Converters of the fields of table rows, for ``attrs.field``.

Input of an unexpected type is returned unchanged, for the validators to refuse.
"""

import sys
from functools import lru_cache
from typing import Any


def intern_string(value: Any) -> Any:
    """Intern a string that many rows have in common."""
    return sys.intern(value) if isinstance(value, str) else value


def to_weights(value: Any) -> Any:
    """Return weights by name; names in a list get equal weights."""
    if isinstance(value, (list, tuple)):
        names = [entry for entry in value if isinstance(entry, str)]
        equal = tuple((entry, 1) for entry in names)
        return _shared_weights(equal) if len(names) == len(value) else value
    if not isinstance(value, dict):
        return value
    numeric = all(map(_is_number, value.values()))
    return _shared_weights(tuple(value.items())) if numeric else value


@lru_cache(maxsize=4096)
def _shared_weights(weights: tuple[tuple[str, float], ...]) -> dict[str, float]:
    # Thousands of rows list the same few models, and a dict for each row took
    # a third of the memory of the table. Rows are immutable, so equal weights
    # can share one dict.
    return {sys.intern(name): weight for name, weight in weights}


def to_tuple(value: Any) -> Any:
    """Return a list as a tuple; a string is not split into characters."""
    return tuple(value) if isinstance(value, (list, tuple)) else value


def _is_number(value: Any) -> bool:
    # True equals 1, so the cache would turn it into 1 before it is validated.
    return isinstance(value, (int, float)) and not isinstance(value, bool)
