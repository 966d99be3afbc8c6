"""The table in force at one router, indexed for requests."""

import hashlib
from collections.abc import Callable, Container, Iterable, Iterator, Mapping

import attrs

from balsamreach.services.base import Row
from balsamreach.table import rows
from balsamreach.table.faults import TableFault
from balsamreach.table.index import Indexes
from balsamreach.table.row_versions import RowVersions
from balsamreach.table.rows import TargetRow, TeamRow

#: Called with the rows that just came into force.
Watcher = Callable[[tuple[Row, ...]], None]


def hash_key(secret: str) -> str:
    """Return the form in which a team's or operator's key is kept."""
    return hashlib.sha256(secret.encode()).hexdigest()


@attrs.frozen
class Rejected:
    """A row that could not be read here, kept for others who may."""

    row: Row
    fault: TableFault


@attrs.define
class TableView:
    """Rows in force, never older than any this router has applied before.

    Every key whose last commit is at or below ``version`` stands here as
    that commit left it. Newer rows may be in force as well, ahead of the
    log, where an edit came straight from the router that accepted it.

    Parameters
    ----------
    version : int
        Position in the table service's log up to which rows are applied.
    complete : bool
        Whether the whole table has been read once, so that a missing row
        means that there is none.
    rejected : dict of str to Rejected
        Rows that could not be read; the version before stays in force.
    watchers : list of callable
        Called after rows came into force.
    versions : RowVersions
        Version of each row, and of rows that were deleted.
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
        """Bring rows into force, each only if newer than the one here.

        Parameters
        ----------
        changed : iterable of Row
            Changed rows in any order; deleted ones have no value.
        version : int
            Log position the rows reach up to; 0 for rows ahead of the log.

        Returns
        -------
        tuple of Row
            The rows that were new.
        """
        # Two readers and several peers deliver rows in any order. An older
        # copy applied late would revert an accepted edit or bring a deleted
        # row back; what the log position covers is known here already, so
        # only a row beyond it can be news.
        fresh = tuple(
            row
            for row in changed
            if row.version > max(self.version, self.versions.of(row.key))
        )
        self._put_all(fresh)
        self.version = max(self.version, version)
        return fresh

    def prune(self, listed: Container[str], version: int) -> None:
        """Drop rows that a whole reading of the table does not list.

        Parameters
        ----------
        listed : container of str
            Keys of all rows that there were.
        version : int
            Log position of the reading; newer rows stay.
        """
        # A row may have come here ahead of the log, and its deletion not at
        # all. A whole reading shows no deletions: without this the row
        # would stay in force for good, below a position that covers it.
        gone = tuple(
            Row(key, version, None)
            for key in self.versions.up_to(version)
            if key not in listed
        )
        self._put_all(gone)
        self.versions.floor = max(self.versions.floor, version)

    def rows_since(self, version: int) -> Iterator[Row]:
        """Yield rows written after a version, deleted ones too, in order."""
        for key in self.versions.since(version):
            yield Row(key, self.versions.of(key), self._value_of(key))

    def team_by_secret(self, secret: str) -> TeamRow | None:
        """Return the team that a caller's key belongs to."""
        return self._indexes.teams.by_digest(hash_key(secret))

    def engines_for(self, model: str) -> Iterator[TargetRow]:
        """Yield the engines whose row lists a model."""
        yield from self._indexes.targets.by_model.get(model, {}).values()

    def workers_of(self, service: str) -> Iterator[TargetRow]:
        """Yield the targets of one service."""
        yield from self._indexes.targets.by_service.get(service, {}).values()

    def models(self) -> tuple[str, ...]:
        """Return the names of all models that some engine serves."""
        return tuple(sorted(self._indexes.targets.by_model))

    def _value_of(self, key: str) -> Mapping[str, object] | None:
        if key in self.rejected:
            return self.rejected[key].row.value
        index = self._indexes.of(key)
        row = index.by_name.get(_name_of(key))
        return None if row is None else rows.encode(row)

    def _put_all(self, fresh: tuple[Row, ...]) -> None:
        for row in fresh:
            self._put(row)
        for watcher in self.watchers if fresh else ():
            watcher(fresh)

    def _put(self, row: Row) -> None:
        self.rejected.pop(row.key, None)
        name = _name_of(row.key)
        if row.value is None:
            self.versions.note(row, name)
            self._indexes.of(row.key).remove(name)
            return
        typed = rows.decode(row.key, row.value)
        if isinstance(typed, TableFault):
            self.versions.note(row, name)
            self.rejected[row.key] = Rejected(row, typed)
            return
        self.versions.note(row, typed.name)
        self._indexes.of(row.key).put(typed)


def _name_of(key: str) -> str:
    return key.rpartition('/')[-1]


def adopt(view: TableView, other: TableView) -> None:
    """Bring a view to a whole one that was read anew, unless it is older."""
    if other.version < view.version:
        return
    view.prune(other.versions, other.version)
    view.apply(other.rows_since(0), other.version)
