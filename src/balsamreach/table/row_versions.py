"""Versions of the rows in force and of those that were deleted."""

from collections.abc import Iterator
from itertools import islice

import attrs

from balsamreach.platform.base import Row

#: Deletions remembered for neighbours that are behind.
_TOMBSTONES = 4096


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
    _live: dict[str, int] = attrs.field(factory=dict)
    _deleted: dict[str, int] = attrs.field(factory=dict)

    def __contains__(self, key: object) -> bool:
        """Return whether a row of this key is in force."""
        return key in self._live

    def of(self, key: str) -> int:
        """Return the version of a row or its deletion, 0 if not known."""
        return self._live.get(key) or self._deleted.get(key, 0)

    def note(self, row: Row) -> None:
        """Remember the version of a row that came into force."""
        self.newest = max(self.newest, row.version)
        if row.value is None:
            self._live.pop(row.key, None)
            self._deleted[row.key] = row.version
            self._forget()
            return
        self._deleted.pop(row.key, None)
        self._live[row.key] = row.version

    def since(self, version: int) -> Iterator[str]:
        """Yield the keys written after a version, oldest write first."""
        # The usual question finds nothing new; it must not cost a walk
        # through all rows.
        if version >= self.newest:
            return
        found = [pair for pair in self._pairs() if pair[0] > version]
        found.sort()
        for _, key in found:
            yield key

    def up_to(self, version: int) -> tuple[str, ...]:
        """Return the keys of rows in force at or below a version."""
        return tuple(
            key for key, written in self._live.items() if written <= version
        )

    def count_since(self, version: int) -> int:
        """Return how many rows were written after a version."""
        return sum(written > version for written, _ in self._pairs())

    def _pairs(self) -> Iterator[tuple[int, str]]:
        for versions in (self._live, self._deleted):
            for key, written in versions.items():
                yield written, key

    def _forget(self) -> None:
        # A neighbour that was cut off asks for what changed since its own
        # version, deletions included. What is forgotten raises the floor: a
        # neighbour from below it has to read the whole table anew.
        beyond = len(self._deleted) - _TOMBSTONES
        for key in tuple(islice(self._deleted, max(beyond, 0))):
            self.floor = max(self.floor, self._deleted.pop(key))
