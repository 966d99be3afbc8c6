"""Entries of the list of targets, as stored there."""

import re
from collections.abc import Mapping
from typing import Any

from balsamreach.placement.places import TargetEntry

_MS = 1000
#: States of a target, and whether it is leaving in each.
_STATES = {'ready': False, 'draining': True}
_ADDRESS = re.compile(r'\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}')
_LAST_PORT = 65535
#: Milliseconds beyond which nobody means a time to warm up: a day. A whole
#: number of any length may stand there, and one can't be divided.
_LONGEST_COLD_MS = 86_400_000

Fields = Mapping[str, Any]


def read_target(
    target_id: str,
    fields: Fields | None,
    version: int,
) -> TargetEntry | None:
    """Read a target's entry in the list.

    The platform calls targets servers, and each start of one an instance.

    Parameters
    ----------
    target_id : str
        Key of the entry.
    fields : mapping or None
        Its object; None where there is none.
    version : int
        Number of the change that wrote it.

    Returns
    -------
    TargetEntry or None
        None where the entry names no target to use: anybody may have
        written it, with fields missing, of another type, or unknown.
    """
    if fields is None or not _is_sound(fields):
        return None
    return TargetEntry(
        target_id=target_id,
        service=fields['service'],
        address=fields['address'],
        zone=fields['zone'],
        leaving=_STATES[fields['state']],
        slots=fields['slots'],
        cold_for=fields.get('cold_left_ms', 0) / _MS,
        version=version,
        born=fields.get('born', 0),
    )


def _is_sound(fields: Fields) -> bool:
    return all(
        (
            _is_name(fields.get('service')),
            _is_address(fields.get('address')),
            isinstance(fields.get('zone'), str),
            _is_state(fields.get('state')),
            _is_count(fields.get('slots'), least=1),
            _is_amount(fields.get('cold_left_ms', 0)),
            _is_count(fields.get('born', 0)),
        ),
    )


def _is_name(value: object) -> bool:
    return isinstance(value, str) and bool(value)


def _is_state(value: object) -> bool:
    # Lists and objects can't be looked up.
    return isinstance(value, str) and value in _STATES


def _is_address(value: object) -> bool:
    if not isinstance(value, str) or not _ADDRESS.fullmatch(value):
        return False
    return 0 < int(value.rpartition(':')[2]) <= _LAST_PORT


def _is_count(value: object, least: int = 0) -> bool:
    # A truth value is a whole number to Python, though nobody means one.
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return value >= least


def _is_amount(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 <= value <= _LONGEST_COLD_MS
