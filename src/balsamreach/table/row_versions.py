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
    # By what comes before a row's name in its key, then by the name: the
    # same text as the row's own. Whole keys took 72 bytes more a row.
    _live: dict[str, dict[str, int]] = attrs.field(factory=dict)
    _deleted: dict[str, int] = attrs.field(factory=dict)

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
        found = [pair for pair in self._pairs() if pair[0] > version]
        found.sort()
        for _, key in found:
            yield key

    def up_to(self, version: int) -> tuple[str, ...]:
        """Return the keys of rows in force at or below a version."""
        return tuple(
            key for written, key in self._live_pairs() if written <= version
        )

    def count_since(self, version: int) -> int:
        """Return how many rows were written after a version."""
        return sum(written > version for written, _ in self._pairs())

    def _of_live(self, key: str) -> int:
        start, slash, name = key.rpartition('/')
        return self._live.get(start + slash, {}).get(name, 0)

    def _pairs(self) -> Iterator[tuple[int, str]]:
        yield from self._live_pairs()
        for key, written in self._deleted.items():
            yield written, key

    def _live_pairs(self) -> Iterator[tuple[int, str]]:
        for start, versions in self._live.items():
            for name, written in versions.items():
                yield written, start + name

    def _forget(self) -> None:
        # A neighbour that was cut off asks for what changed since its own
        # version, deletions included. What is forgotten raises the floor: a
        # neighbour from below it has to read the whole table anew.
        beyond = len(self._deleted) - _TOMBSTONES
        for key in tuple(islice(self._deleted, max(beyond, 0))):
            self.floor = max(self.floor, self._deleted.pop(key))
