"""Versions of the rows in force and of deleted rows."""

import bisect
from collections import deque
from collections.abc import Iterator, Sequence
from itertools import islice

import attrs

from balsamreach.services.base import Row

#: Maximum number of deletions kept for neighbours that are behind.
_MAX_TOMBSTONES = 4096
#: Number of latest writes kept in order, so that the rows for a neighbour a
#: little behind are found without a scan of all rows.
_MAX_RECENT = 2048

#: Version, key prefix and name of each row, sorted by version.
SortedRows = Sequence[tuple[int, str, str]]


@attrs.define
class RowVersions:
    """Versions of rows by key.

    Parameters
    ----------
    floor : int
        Deletions at or below this version may have been dropped.
    newest : int
        Highest recorded version.
    """

    floor: int = 0
    newest: int = 0
    # By key prefix, then by name. The name is the same string object as in the
    # row; whole keys took 72 bytes more per row.
    _live: dict[str, dict[str, int]] = attrs.field(factory=dict)
    _deleted: dict[str, int] = attrs.field(factory=dict)
    _recent: deque[tuple[int, str]] = attrs.field(factory=deque)
    # All writes after this version are in ``_recent``.
    _recent_from: int = 0
    # All rows, sorted when a neighbour far behind requested its first page.
    _sorted_rows: SortedRows = ()

    def __contains__(self, key: object) -> bool:
        """Return whether a row with this key is in force."""
        return isinstance(key, str) and self._live_version(key) > 0

    def of(self, key: str) -> int:
        """Return the version of a row or its deletion, 0 if unknown."""
        return self._live_version(key) or self._deleted.get(key, 0)

    def record(self, row: Row, name: str) -> None:
        """Record the version of an applied row.

        Parameters
        ----------
        row : Row
            The row.
        name : str
            Last part of its key; stored as it is, to avoid another copy.
        """
        self.newest = max(self.newest, row.version)
        self._recent.append((row.version, row.key))
        if len(self._recent) > _MAX_RECENT:
            dropped, _ = self._recent.popleft()
            self._recent_from = max(self._recent_from, dropped)
        sorted_up_to = (
            _entry_version(self._sorted_rows[-1]) if self._sorted_rows else 0
        )
        if row.version <= sorted_up_to or sorted_up_to < self._recent_from:
            self._sorted_rows = ()
        live = self._live.setdefault(row.key.removesuffix(name), {})
        live.pop(name, None)
        if row.value is None:
            self._deleted[row.key] = row.version
            self._drop_tombstones()
            return
        self._deleted.pop(row.key, None)
        live[name] = row.version

    def keys_since(self, version: int) -> Iterator[str]:
        """Yield the keys written after a version, oldest first."""
        # The usual request finds nothing new and must not scan all rows.
        if version >= self.newest:
            return
        if version >= self._recent_from:
            yield from self._recent_since(version)
            return
        # A whole copy is requested page by page. A scan of all rows for each
        # page would block the streams of the router that answers.
        sorted_rows = self._sorted_rows or self._sort_rows()
        if not sorted_rows:
            return
        self._sorted_rows = sorted_rows
        first = bisect.bisect_right(sorted_rows, version, key=_entry_version)
        for row_version, prefix, name in islice(sorted_rows, first, None):
            if self.of(prefix + name) == row_version:
                yield prefix + name
        yield from self._recent_since(
            max(version, _entry_version(sorted_rows[-1]))
        )
        self._sorted_rows = ()

    def keys_up_to(self, version: int) -> tuple[str, ...]:
        """Return the keys of rows in force with at most this version."""
        return tuple(
            prefix + name
            for prefix, versions in self._live.items()
            for name, row_version in versions.items()
            if row_version <= version
        )

    def count_since(self, version: int) -> int:
        """Return the number of rows written after a version."""
        return sum(1 for _ in self.keys_since(version))

    def _live_version(self, key: str) -> int:
        prefix, slash, name = key.rpartition('/')
        return self._live.get(prefix + slash, {}).get(name, 0)

    def _recent_since(self, version: int) -> Iterator[str]:
        # A row written twice is listed twice; only its last write counts.
        found = [
            pair
            for pair in self._recent
            if pair[0] > version and self.of(pair[1]) == pair[0]
        ]
        found.sort()
        for _, key in found:
            yield key

    def _sort_rows(self) -> SortedRows:
        deleted = (
            (row_version, key, '') for key, row_version in self._deleted.items()
        )
        live = (
            (row_version, prefix, name)
            for prefix, versions in self._live.items()
            for name, row_version in versions.items()
        )
        return sorted((*deleted, *live))

    def _drop_tombstones(self) -> None:
        # A neighbour that was cut off requests all changes since its version,
        # including deletions. Dropping one raises the floor: a neighbour below
        # it has to fetch the whole table.
        excess = len(self._deleted) - _MAX_TOMBSTONES
        for key in tuple(islice(self._deleted, max(excess, 0))):
            self.floor = max(self.floor, self._deleted.pop(key))


def _entry_version(entry: tuple[int, str, str]) -> int:
    return entry[0]
