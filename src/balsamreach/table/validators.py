"""Validators of the fields of table rows, for ``attrs.field``."""

import ipaddress
import math
import re
from typing import Any

import attrs

_MAX_NAME_LENGTH = 128
_MAX_ENTRIES = 1000
_MAX_PORT = 65535
#: With larger budgets, sums could exceed the 64-bit integers used elsewhere.
_MAX_NUMBER = 2**53
_DIGEST = re.compile(r'[0-9a-f]{64}')


def number(row: Any, field: attrs.Attribute, value: Any) -> None:
    """Accept a finite number from 0 to 2^53."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f'{field.name}: must be a number')
    # Python's JSON parser accepts NaN. All comparisons with it are false, so
    # it would silently disable a weight or limit.
    if not math.isfinite(value) or not 0 <= value <= _MAX_NUMBER:
        raise ValueError(f'{field.name}: must be from 0 to 2^53')


def integer(row: Any, field: attrs.Attribute, value: Any) -> None:
    """Accept an integer from 0 to 2^53."""
    if not isinstance(value, int):
        raise TypeError(f'{field.name}: must be a whole number')
    number(row, field, value)


def name(row: Any, field: attrs.Attribute, value: Any) -> None:
    """Accept a printable string of 1 to 128 characters without a slash."""
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_NAME_LENGTH:
        raise ValueError(f'{field.name}: must be a text of 1 to 128 characters')
    if '/' in value or not value.isprintable():
        raise ValueError(
            f'{field.name}: must contain no slash and no control character',
        )


def boolean(row: Any, field: attrs.Attribute, value: Any) -> None:
    """Accept a bool."""
    if not isinstance(value, bool):
        raise TypeError(f'{field.name}: must be true or false')


def address(row: Any, field: attrs.Attribute, value: Any) -> None:
    """Accept ``ip:port`` with an IP address as host."""
    host, _, port = str(value).rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        raise ValueError(
            f'{field.name}: must be an IP number and a port, like '
            '127.0.0.1:8000',
        ) from None
    digits = port.isascii() and port.isdigit()
    if not digits or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'{field.name}: must end in a port from 1 to 65535')


def weights(row: Any, field: attrs.Attribute, value: Any) -> None:
    """Accept a mapping of names to weights."""
    if not isinstance(value, dict) or len(value) > _MAX_ENTRIES:
        raise TypeError(f'{field.name}: must map names to weights')
    for entry, weight in value.items():
        name(row, field, entry)
        number(row, field, weight)


def strings(row: Any, field: attrs.Attribute, value: Any) -> None:
    """Accept a tuple of printable strings."""
    if not isinstance(value, tuple) or len(value) > _MAX_ENTRIES:
        raise TypeError(f'{field.name}: must be a list of texts')
    for entry in value:
        if not isinstance(entry, str) or not entry.isprintable():
            raise TypeError(f'{field.name}: must be a list of texts')


def digests(row: Any, field: attrs.Attribute, value: Any) -> None:
    """Accept a tuple of SHA-256 digests in lowercase hex."""
    strings(row, field, value)
    for entry in value:
        if not _DIGEST.fullmatch(entry):
            raise ValueError(
                f'{field.name}: must contain SHA-256 digests of 64 lowercase '
                'hex digits, never a key itself',
            )


@attrs.frozen
class OneOf:
    """Validator that accepts only the listed strings."""

    choices: tuple[str, ...]

    def __call__(self, row: Any, field: attrs.Attribute, value: Any) -> None:
        """Raise ValueError for any other value."""
        if value not in self.choices:
            listed = ', '.join(self.choices)
            raise ValueError(f'{field.name}: must be one of {listed}')


def one_of(*choices: str) -> OneOf:
    """Return a validator that accepts only the listed strings."""
    return OneOf(choices)
