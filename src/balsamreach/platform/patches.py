"""Differences between two versions of a row's object.

Load pattern: a configuration of hundreds of kilobytes of which a few entries
change, ten times a second. Sent whole to each router of a zone it fills the
links of small hosts for seconds.
"""

from collections.abc import Mapping
from itertools import compress, count
from operator import ne
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
        patch = _patch_list(before.get(field), after[field])
        if patch is None:
            if field not in before or before[field] != after[field]:
                changed[field] = after[field]
        elif any(patch.values()):
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
    if not isinstance(before, list) or not isinstance(after, list):
        return None
    if len(before) == len(after):
        places = list(compress(count(), map(ne, before, after)))
        if _keep_names(before, after, places):
            return {_PUT: [after[place] for place in places], _DROPPED: []}
    return _patch_names(before, after)


def _keep_names(before: list[Any], after: list[Any], places: list[int]) -> bool:
    """Return whether only what stands at some places changed, not its name."""
    if not places:
        return True
    names = _names(after)
    old = _names([before[place] for place in places])
    return bool(names and old) and old == [names[place] for place in places]


def _patch_names(before: list[Any], after: list[Any]) -> dict[str, Any] | None:
    old, new = _names(before), _names(after)
    if old is None or new is None:
        return None
    known = dict(zip(old, before, strict=True))
    differs = map(ne, map(known.get, new), after)
    present = set(new)
    patch = {
        _PUT: list(compress(after, differs)),
        _DROPPED: [name for name in old if name not in present],
    }
    # New entries go to the end; a list in another order is none of these.
    kept = [name for name in old if name in present]
    added = [name for name in new if name not in known]
    return patch if [*kept, *added] == new else None


def _apply_list(before: Any, changes: Fields) -> list[Any]:
    entries = {entry[_NAME]: entry for entry in before}
    for name in changes[_DROPPED]:
        entries.pop(name)
    entries.update((entry[_NAME], entry) for entry in changes[_PUT])
    return list(entries.values())


def _names(entries: list[Any]) -> list[str] | None:
    """Return the names of a list's entries, None where they tell none apart."""
    if not _hold(dict, entries):
        return None
    names = [entry.get(_NAME) for entry in entries]
    if not _hold(str, names) or len(set(names)) != len(names):
        return None
    return names


def _hold(kind: type, found: list[Any]) -> bool:
    return set(map(type, found)) <= {kind}
