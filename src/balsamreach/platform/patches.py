"""Differences between two versions of a row's object.

Load pattern: a configuration of hundreds of kilobytes of which a few entries
change, ten times a second. Sent whole to each router of a zone it fills the
links of small hosts for seconds.
"""

from collections.abc import Mapping
from typing import Any

Fields = Mapping[str, Any]

#: Tells the entries of a list apart.
_NAME = 'name'
_CHANGED = 'changed'
_DROPPED = 'dropped'
_LISTS = 'lists'
_PUT = 'put'


def make_patch(before: Fields, after: Fields) -> dict[str, Any]:
    """Return what makes an object of the one before.

    Parameters
    ----------
    before, after : mapping
        JSON objects. Lists of objects with names are compared entry by
        entry, all else as a whole.

    Returns
    -------
    dict
        A JSON object for ``apply_patch``.
    """
    changed: dict[str, Any] = {}
    lists: dict[str, Any] = {}
    for field in after:
        if field in before and before[field] == after[field]:
            continue
        patch = _patch_list(before.get(field), after[field])
        if patch is None:
            changed[field] = after[field]
        else:
            lists[field] = patch
    dropped = sorted(set(before).difference(after))
    return {_CHANGED: changed, _DROPPED: dropped, _LISTS: lists}


def apply_patch(before: Fields, patch: Fields) -> dict[str, Any]:
    """Return the object that a patch makes.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError
        If the patch is none, or none for this object.
    """
    after = dict(before) | patch[_CHANGED]
    for field in patch[_DROPPED]:
        after.pop(field)
    for field, changes in patch[_LISTS].items():
        after[field] = _apply_list(before[field], changes)
    return after


def _patch_list(before: Any, after: Any) -> dict[str, Any] | None:
    """Return the patch of a list, None where it must be sent whole."""
    old, new = _by_name(before), _by_name(after)
    if old is None or new is None:
        return None
    patch = {
        _PUT: [entry for name, entry in new.items() if old.get(name) != entry],
        _DROPPED: [name for name in old if name not in new],
    }
    # New entries go to the end; a list in another order is none of these.
    kept = [name for name in old if name in new]
    added = [name for name in new if name not in old]
    return patch if [*kept, *added] == list(new) else None


def _apply_list(before: Any, changes: Fields) -> list[Any]:
    entries = {entry[_NAME]: entry for entry in before}
    for name in changes[_DROPPED]:
        entries.pop(name)
    entries.update((entry[_NAME], entry) for entry in changes[_PUT])
    return list(entries.values())


def _by_name(entries: Any) -> dict[str, Any] | None:
    if not isinstance(entries, list):
        return None
    named = all(
        isinstance(entry, dict) and isinstance(entry.get(_NAME), str)
        for entry in entries
    )
    if not named:
        return None
    found = {entry[_NAME]: entry for entry in entries}
    return found if len(found) == len(entries) else None
