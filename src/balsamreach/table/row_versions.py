"""Versions of the rows in force and of those that were deleted."""

import bisect
from collections import deque
from collections.abc import Iterator, Sequence
from itertools import islice

import attrs

from balsamreach.services.base import Row

#: Deletions remembered for neighbours that are behind.
_TOMBSTONES = 4096
#: Last writes remembered in their order, so that a neighbour a little behind
#: costs no walk through all rows.
_RECENT = 2048

#: Version, beginning of the key and its end, in order.
Listing = Sequence[tuple[int, str, str]]


@attrs.define
class RowVersions:
    """Version of each row by key.

    Parameters
    ----------
    floor : int
        Deletions at or below it are no longer remembered.
    newest : int
        Highest version noted.
    """

    floor: int = 0
    newest: int = 0
    # By what comes before a row's name in its key, then by the name: the
    # same text as the row's own. Whole keys took 72 bytes more a row.
    _live: dict[str, dict[str, int]] = attrs.field(factory=dict)
    _deleted: dict[str, int] = attrs.field(factory=dict)
    _recent: deque[tuple[int, str]] = attrs.field(factory=deque)
    # Every write beyond this version is among the recent ones.
    _recent_from: int = 0
    # All rows as they were when one that is far behind began to ask.
    _listed: Listing = ()

    def __contains__(self, key: object) -> bool:
        """Return whether a row of this key is in force."""
        return isinstance(key, str) and self._of_live(key) > 0

    def of(self, key: str) -> int:
        """Return the version of a row or its deletion, 0 if not known."""
        return self._of_live(key) or self._deleted.get(key, 0)

    def note(self, row: Row, name: str) -> None:
        """Remember the version of a row that came into force.

        Parameters
        ----------
        row : Row
            The row.
        name : str
            The end of its key; kept in place of one more copy.
        """
        self.newest = max(self.newest, row.version)
        self._recent.append((row.version, row.key))
        if len(self._recent) > _RECENT:
            dropped, _ = self._recent.popleft()
            self._recent_from = max(self._recent_from, dropped)
        listed_to = _written(self._listed[-1]) if self._listed else 0
        if row.version <= listed_to or listed_to < self._recent_from:
            self._listed = ()
        live = self._live.setdefault(row.key.removesuffix(name), {})
        live.pop(name, None)
        if row.value is None:
            self._deleted[row.key] = row.version
            self._forget()
            return
        self._deleted.pop(row.key, None)
        live[name] = row.version

    def since(self, version: int) -> Iterator[str]:
        """Yield the keys written after a version, oldest write first."""
        # The usual question finds nothing new; it must not cost a walk
        # through all rows.
        if version >= self.newest:
            return
        if version >= self._recent_from:
            yield from self._among_recent(version)
            return
        # A whole copy is asked for page by page. A walk through all rows for
        # each page would hold up the streams of the router that is asked.
        listed = self._listed or self._list()
        if not listed:
            return
        self._listed = listed
        begin = bisect.bisect_right(listed, version, key=_written)
        for written, start, name in islice(listed, begin, None):
            if self.of(start + name) == written:
                yield start + name
        yield from self._among_recent(max(version, _written(listed[-1])))
        self._listed = ()

    def up_to(self, version: int) -> tuple[str, ...]:
        """Return the keys of rows in force at or below a version."""
        return tuple(
            start + name
            for start, versions in self._live.items()
            for name, written in versions.items()
            if written <= version
        )

    def count_since(self, version: int) -> int:
        """Return how many rows were written after a version."""
        return sum(1 for _ in self.since(version))

    def _of_live(self, key: str) -> int:
        start, slash, name = key.rpartition('/')
        return self._live.get(start + slash, {}).get(name, 0)

    def _among_recent(self, version: int) -> Iterator[str]:
        # A row written twice is there twice; the last one counts.
        found = [
            pair
            for pair in self._recent
            if pair[0] > version and self.of(pair[1]) == pair[0]
        ]
        found.sort()
        for _, key in found:
            yield key

    def _list(self) -> Listing:
        gone = ((written, key, '') for key, written in self._deleted.items())
        live = (
            (written, start, name)
            for start, versions in self._live.items()
            for name, written in versions.items()
        )
        return sorted((*gone, *live))

    def _forget(self) -> None:
        # A neighbour that was cut off asks for what changed since its own
        # version, deletions included. What is forgotten raises the floor: a
        # neighbour from below it has to read the whole table anew.
        beyond = len(self._deleted) - _TOMBSTONES
        for key in tuple(islice(self._deleted, max(beyond, 0))):
            self.floor = max(self.floor, self._deleted.pop(key))


def _written(entry: tuple[int, str, str]) -> int:
    return entry[0]
