"""The rows in force at one router, indexed for requests."""

import hashlib
from collections.abc import Callable, Container, Iterable, Iterator, Mapping

import attrs

from balsamreach.services.base import Row
from balsamreach.table import rows
from balsamreach.table.faults import TableFault
from balsamreach.table.index import Indexes
from balsamreach.table.row_versions import RowVersions
from balsamreach.table.rows import TargetRow, TeamRow

#: Called with the rows that were just applied.
Watcher = Callable[[tuple[Row, ...]], None]


def hash_key(secret: str) -> str:
    """Return the digest under which a team's or operator's key is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


@attrs.frozen
class Rejected:
    """A row that can't be decoded here, kept for other routers that can."""

    row: Row
    fault: TableFault


@attrs.define
class TableView:
    """The rows in force at one router; a row is never replaced by an older one.

    The view reflects the last commit of every row at or below ``version``. It
    may also hold newer rows, ahead of the log, that came directly from the
    router that committed them.

    Parameters
    ----------
    version : int
        Position in the table service's log up to which all rows are applied.
    complete : bool
        Whether the whole table has been read, so that a row that is missing
        here doesn't exist.
    rejected : dict of str to Rejected
        Rows that can't be decoded, by key. Their last valid version stays in
        force.
    watchers : list of callable
        Called after rows were applied.
    versions : RowVersions
        Versions of rows, including deleted ones.
    """

    version: int = 0
    complete: bool = False
    rejected: dict[str, Rejected] = attrs.field(factory=dict)
    watchers: list[Watcher] = attrs.field(factory=list)
    versions: RowVersions = attrs.field(factory=RowVersions)
    _indexes: Indexes = attrs.field(factory=Indexes)

    @property
    def teams(self) -> dict[str, TeamRow]:
        """Teams by name."""
        return self._indexes.teams.by_name

    @property
    def targets(self) -> dict[str, TargetRow]:
        """Targets by name."""
        return self._indexes.targets.by_name

    def apply(self, changed: Iterable[Row], version: int) -> tuple[Row, ...]:
        """Apply rows that are newer than the ones here.

        Parameters
        ----------
        changed : iterable of Row
            Changed rows in any order; deleted rows have no value.
        version : int
            Log position that the rows cover; 0 for rows ahead of the log.

        Returns
        -------
        tuple of Row
            The rows that were newer.
        """
        # Readers and peers deliver rows in any order. An older row applied
        # late would revert a committed edit or restore a deleted row. Rows up
        # to the log position are known here, so only a later one can be new.
        newer = tuple(
            row
            for row in changed
            if row.version > max(self.version, self.versions.of(row.key))
        )
        self._apply_all(newer)
        self.version = max(self.version, version)
        return newer

    def prune(self, listed: Container[str], version: int) -> None:
        """Remove rows that a full read of the table doesn't list.

        Parameters
        ----------
        listed : container of str
            Keys of all rows in the table.
        version : int
            Log position of the full read; newer rows stay.
        """
        # A row may have been applied ahead of the log and its deletion never
        # received. A full read contains no deletions, so without this the row
        # would stay in force forever, below a position that covers it.
        deleted = tuple(
            Row(key, version, None)
            for key in self.versions.keys_up_to(version)
            if key not in listed
        )
        self._apply_all(deleted)
        self.versions.floor = max(self.versions.floor, version)

    def rows_since(self, version: int) -> Iterator[Row]:
        """Yield rows written after a version, oldest first, with deletions."""
        for key in self.versions.keys_since(version):
            yield Row(key, self.versions.of(key), self._value_of(key))

    def team_by_secret(self, secret: str) -> TeamRow | None:
        """Return the team that a key belongs to."""
        return self._indexes.teams.by_digest(hash_key(secret))

    def engines_for(self, model: str) -> Iterator[TargetRow]:
        """Yield the engines that serve a model."""
        yield from self._indexes.targets.by_model.get(model, {}).values()

    def targets_of_service(self, service: str) -> Iterator[TargetRow]:
        """Yield the targets of one service."""
        yield from self._indexes.targets.by_service.get(service, {}).values()

    def models(self) -> tuple[str, ...]:
        """Return the names of all models served by any engine."""
        return tuple(sorted(self._indexes.targets.by_model))

    def _value_of(self, key: str) -> Mapping[str, object] | None:
        if key in self.rejected:
            return self.rejected[key].row.value
        index = self._indexes.for_key(key)
        row = index.by_name.get(_row_name(key))
        return None if row is None else rows.encode(row)

    def _apply_all(self, changed: tuple[Row, ...]) -> None:
        for row in changed:
            self._apply_row(row)
        for watcher in self.watchers if changed else ():
            watcher(changed)

    def _apply_row(self, row: Row) -> None:
        self.rejected.pop(row.key, None)
        name = _row_name(row.key)
        if row.value is None:
            self.versions.record(row, name)
            self._indexes.for_key(row.key).remove(name)
            return
        decoded = rows.decode(row.key, row.value)
        if isinstance(decoded, TableFault):
            self.versions.record(row, name)
            self.rejected[row.key] = Rejected(row, decoded)
            return
        self.versions.record(row, decoded.name)
        self._indexes.for_key(row.key).put(decoded)


def _row_name(key: str) -> str:
    return key.rpartition('/')[-1]


def apply_copy(view: TableView, copy: TableView) -> None:
    """Replace a view's rows with those of a whole copy, unless it is older.

    Rows newer than the copy stay.
    """
    if copy.version < view.version:
        return
    view.prune(copy.versions, copy.version)
    view.apply(copy.rows_since(0), copy.version)
