"""Validators and converters of the fields of table rows."""

import ipaddress
import math
import re
from typing import Any

import attrs

_NAME_LIMIT = 128
_LONGEST_LIST = 1000
_LARGEST_PORT = 65535
#: Above this, sums of budgets would pass what others keep in 64 bits.
_LARGEST_COUNT = 2**53
_DIGEST = re.compile(r'[0-9a-f]{64}')


def number(row: Any, field: attrs.Attribute, given: Any) -> None:
    """Accept a finite number that is not negative."""
    if isinstance(given, bool) or not isinstance(given, (int, float)):
        raise TypeError(f'{field.name}: must be a number')
    # JSON as Python reads it knows NaN, which compares false with all and
    # would turn a weight or limit off without a word.
    if not math.isfinite(given) or not 0 <= given <= _LARGEST_COUNT:
        raise ValueError(f'{field.name}: must be from 0 to 2^53')


def count(row: Any, field: attrs.Attribute, given: Any) -> None:
    """Accept a whole number that is not negative."""
    if not isinstance(given, int):
        raise TypeError(f'{field.name}: must be a whole number')
    number(row, field, given)


def name(row: Any, field: attrs.Attribute, given: Any) -> None:
    """Accept a short printable text without a slash."""
    if not isinstance(given, str) or not 0 < len(given) <= _NAME_LIMIT:
        raise ValueError(f'{field.name}: must be a text of 1 to 128 letters')
    if '/' in given or not given.isprintable():
        raise ValueError(
            f'{field.name}: must hold no slash and no control character',
        )


def flag(row: Any, field: attrs.Attribute, given: Any) -> None:
    """Accept true or false."""
    if not isinstance(given, bool):
        raise TypeError(f'{field.name}: must be true or false')


def address(row: Any, field: attrs.Attribute, given: Any) -> None:
    """Accept ``ip:port`` whose host is an IP number."""
    host, _, port = str(given).rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        raise ValueError(
            f'{field.name}: must be an IP number and a port, like '
            '127.0.0.1:8000',
        ) from None
    digits = port.isascii() and port.isdigit()
    if not digits or not 0 < int(port) <= _LARGEST_PORT:
        raise ValueError(f'{field.name}: must end in a port from 1 to 65535')


def weights(row: Any, field: attrs.Attribute, given: Any) -> None:
    """Accept weights by name."""
    if not isinstance(given, dict) or len(given) > _LONGEST_LIST:
        raise TypeError(f'{field.name}: must map names to weights')
    for entry, weight in given.items():
        name(row, field, entry)
        number(row, field, weight)


def texts(row: Any, field: attrs.Attribute, given: Any) -> None:
    """Accept a list of printable texts."""
    if not isinstance(given, tuple) or len(given) > _LONGEST_LIST:
        raise TypeError(f'{field.name}: must be a list of texts')
    for entry in given:
        if not isinstance(entry, str) or not entry.isprintable():
            raise TypeError(f'{field.name}: must be a list of texts')


def digests(row: Any, field: attrs.Attribute, given: Any) -> None:
    """Accept a list of SHA-256 digests in hex."""
    texts(row, field, given)
    for entry in given:
        if not _DIGEST.fullmatch(entry):
            raise ValueError(
                f'{field.name}: must hold SHA-256 digests of 64 small hex '
                'digits, never a key itself',
            )


@attrs.frozen
class OneOf:
    """Accepts only the texts given."""

    choices: tuple[str, ...]

    def __call__(self, row: Any, field: attrs.Attribute, given: Any) -> None:
        """Raise ValueError for any other text."""
        if given not in self.choices:
            listed = ', '.join(self.choices)
            raise ValueError(f'{field.name}: must be one of {listed}')


def one_of(*choices: str) -> OneOf:
    """Return a validator that accepts only the texts given."""
    return OneOf(choices)
