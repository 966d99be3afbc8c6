"""Converters of the fields of table rows; what is odd they leave as it is."""

import sys
from functools import lru_cache
from typing import Any


def read_word(given: Any) -> Any:
    """Read a text that many rows have in common, and keep it once."""
    return sys.intern(given) if isinstance(given, str) else given


def read_weights(given: Any) -> Any:
    """Read weights by name; a plain list weighs all alike."""
    if isinstance(given, (list, tuple)):
        names = [entry for entry in given if isinstance(entry, str)]
        even = tuple((entry, 1) for entry in names)
        return _shared(even) if len(names) == len(given) else given
    if not isinstance(given, dict):
        return given
    plain = all(map(_is_number, given.values()))
    return _shared(tuple(given.items())) if plain else given


@lru_cache(maxsize=4096)
def _shared(weights: tuple[tuple[str, float], ...]) -> dict[str, float]:
    # Thousands of rows list the same few models. A mapping of its own for
    # each took a third of the memory of the table in force. Rows are never
    # changed, so they can have one in common.
    return {sys.intern(name): weight for name, weight in weights}


def read_texts(given: Any) -> Any:
    """Read a list of texts; a single text is no list of its letters."""
    return tuple(given) if isinstance(given, (list, tuple)) else given


def _is_number(given: Any) -> bool:
    # True equals 1 and would be taken for a weight where 1 was before.
    return isinstance(given, (int, float)) and not isinstance(given, bool)
