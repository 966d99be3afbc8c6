"""Parses entries of the platform's list of targets."""

from collections.abc import Mapping
from typing import Any

from balsamreach.placement.entry_bounds import MAX_COLD_S, is_sound
from balsamreach.placement.relay_targets import TargetEntry

_MS = 1000
#: Whether a target is leaving, by its state.
_STATES = {'ready': False, 'draining': True}

Fields = Mapping[str, Any]


def read_target(
    target_id: str,
    fields: Fields | None,
    version: int,
) -> TargetEntry | None:
    """Parse a target's entry.

    The platform calls a target a server, and each start of it an instance.

    Parameters
    ----------
    target_id : str
        Key of the entry.
    fields : mapping or None
        JSON object of the entry; None if it has none.
    version : int
        Version of the store at which the entry was written.

    Returns
    -------
    TargetEntry or None
        None if the entry is invalid. Anyone can write entries, so fields may
        be missing, unknown or of another type.
    """
    if fields is None:
        return None
    entry = TargetEntry(
        target_id=target_id,
        service=fields.get('service'),
        address=fields.get('address'),
        zone=fields.get('zone'),
        leaving=_read_leaving(fields.get('state')),
        slots=fields.get('slots'),
        cold_for=_read_cold_time(fields.get('cold_left_ms', 0)),
        version=version,
        born=fields.get('born', 0),
        release=fields.get('version', ''),
    )
    return entry if is_sound(entry) else None


def _read_leaving(state: object) -> bool | None:
    # Lists and objects are not hashable and can't be looked up.
    return _STATES.get(state) if isinstance(state, str) else None


def _read_cold_time(milliseconds: object) -> float | None:
    if isinstance(milliseconds, bool):
        return None
    if not isinstance(milliseconds, int | float):
        return None
    # Dividing an integer of hundreds of digits would fail.
    is_in_bounds = 0 <= milliseconds <= MAX_COLD_S * _MS
    return milliseconds / _MS if is_in_bounds else None
