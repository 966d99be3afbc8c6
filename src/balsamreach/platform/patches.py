"""Patches between two versions of a row's JSON object.

A configuration of hundreds of kilobytes may change in a few entries ten times
a second. Sending it in full to each router of a zone would saturate the links
of small hosts for seconds.
"""

from collections.abc import Mapping
from itertools import compress, count
from operator import ne
from typing import Any

Fields = Mapping[str, Any]

#: Field that identifies the entries of a list.
_NAME = 'name'
_CHANGED = 'changed'
_DROPPED = 'dropped'
_LISTS = 'lists'
_PUT = 'put'


def make_patch(before: Fields, after: Fields) -> dict[str, Any]:
    """Return the patch that turns one object into another.

    Parameters
    ----------
    before, after : mapping
        JSON objects. Lists of objects with unique names are compared entry
        by entry, all other fields as a whole.

    Returns
    -------
    dict
        The patch, a JSON object for ``apply_patch``.
    """
    changed: dict[str, Any] = {}
    lists: dict[str, Any] = {}
    for field in after:
        patch = _diff_list(before.get(field), after[field])
        if patch is None:
            if field not in before or before[field] != after[field]:
                changed[field] = after[field]
        elif any(patch.values()):
            lists[field] = patch
    dropped = sorted(set(before).difference(after))
    return {_CHANGED: changed, _DROPPED: dropped, _LISTS: lists}


def apply_patch(before: Fields, patch: Fields) -> dict[str, Any]:
    """Return the patched object; ``before`` is not modified.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError
        If the patch is invalid or does not fit this object.
    """
    after = dict(before) | patch[_CHANGED]
    for field in patch[_DROPPED]:
        after.pop(field)
    for field, changes in patch[_LISTS].items():
        after[field] = _apply_list(before[field], changes)
    return after


def _diff_list(before: Any, after: Any) -> dict[str, Any] | None:
    """Return the patch of a list; None if the list must be sent in full."""
    if not isinstance(before, list) or not isinstance(after, list):
        return None
    if len(before) == len(after):
        positions = list(compress(count(), map(ne, before, after)))
        if _same_names(before, after, positions):
            return {
                _PUT: [after[position] for position in positions],
                _DROPPED: [],
            }
    return _diff_by_name(before, after)


def _same_names(
    before: list[Any], after: list[Any], positions: list[int]
) -> bool:
    """Return whether the entries at the positions kept their names."""
    if not positions:
        return True
    names = _unique_names(after)
    old = _unique_names([before[position] for position in positions])
    return bool(names and old) and old == [
        names[position] for position in positions
    ]


def _diff_by_name(before: list[Any], after: list[Any]) -> dict[str, Any] | None:
    old, new = _unique_names(before), _unique_names(after)
    if old is None or new is None:
        return None
    known = dict(zip(old, before, strict=True))
    differs = map(ne, map(known.get, new), after)
    present = set(new)
    patch = {
        _PUT: list(compress(after, differs)),
        _DROPPED: [name for name in old if name not in present],
    }
    # A patch appends new entries, so it can't express any other order.
    kept = [name for name in old if name in present]
    added = [name for name in new if name not in known]
    return patch if [*kept, *added] == new else None


def _apply_list(before: Any, changes: Fields) -> list[Any]:
    entries = {entry[_NAME]: entry for entry in before}
    for name in changes[_DROPPED]:
        entries.pop(name)
    entries.update((entry[_NAME], entry) for entry in changes[_PUT])
    return list(entries.values())


def _unique_names(entries: list[Any]) -> list[str] | None:
    """Return the names of a list's entries; None if they are not unique."""
    if not _all_of_type(dict, entries):
        return None
    names = [entry.get(_NAME) for entry in entries]
    if not _all_of_type(str, names) or len(set(names)) != len(names):
        return None
    return names


def _all_of_type(expected: type, values: list[Any]) -> bool:
    return set(map(type, values)) <= {expected}
