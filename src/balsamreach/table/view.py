"""The table in force at one router, indexed for requests."""

import hashlib
from collections.abc import Iterable, Iterator

import attrs

from balsamreach.platform.base import Row
from balsamreach.table.faults import TableFault
from balsamreach.table.rows import (
    ENGINE,
    TableRow,
    TargetRow,
    TeamRow,
    decode,
)


def hash_key(secret: str) -> str:
    """Return the form in which a team's or operator's key is kept."""
    return hashlib.sha256(secret.encode()).hexdigest()


@attrs.define
class TableView:
    """Rows in force, never older than any this router has applied before.

    Parameters
    ----------
    version : int
        Position in the table service's log up to which rows are applied.
    rejected : dict of str to TableFault
        Rows that could not be read; the version before stays in force.
    """

    version: int = 0
    teams: dict[str, TeamRow] = attrs.field(factory=dict)
    targets: dict[str, TargetRow] = attrs.field(factory=dict)
    rejected: dict[str, TableFault] = attrs.field(factory=dict)
    _versions: dict[str, int] = attrs.field(factory=dict)
    _by_hash: dict[str, str] = attrs.field(factory=dict)

    def apply(self, rows: Iterable[Row], version: int) -> None:
        """Bring rows into force, each only if newer than the one here.

        Parameters
        ----------
        rows : iterable of Row
            Changed rows in any order; deleted ones have no value.
        version : int
            Log position the rows reach up to.
        """
        for row in rows:
            # Two readers and several peers deliver rows in any order. An
            # older copy applied late would revert an accepted edit; the row
            # version shows it, and the comparison keeps it out.
            if row.version > self._versions.get(row.key, 0):
                self._versions[row.key] = row.version
                self._put(row)
        self.version = max(self.version, version)

    def row_version(self, key: str) -> int:
        """Return the version in force of a row, 0 if there is none."""
        return self._versions.get(key, 0)

    def team_by_secret(self, secret: str) -> TeamRow | None:
        """Return the team that a caller's key belongs to."""
        name = self._by_hash.get(hash_key(secret))
        return None if name is None else self.teams.get(name)

    def engines_for(self, model: str) -> Iterator[TargetRow]:
        """Yield the engines whose row lists a model."""
        for target in self.targets.values():
            if target.kind == ENGINE and model in target.models:
                yield target

    def workers_of(self, service: str) -> Iterator[TargetRow]:
        """Yield the targets of one service."""
        for target in self.targets.values():
            if target.service == service:
                yield target

    def models(self) -> tuple[str, ...]:
        """Return the names of all models that some engine serves."""
        names: set[str] = set()
        for target in self.targets.values():
            if target.kind == ENGINE:
                names.update(target.models)
        return tuple(sorted(names))

    def _put(self, row: Row) -> None:
        if row.value is None:
            self._forget(row.key)
            return
        typed = decode(row.key, row.value)
        if isinstance(typed, TableFault):
            self.rejected[row.key] = typed
            return
        self.rejected.pop(row.key, None)
        self._index(typed)

    def _index(self, row: TableRow) -> None:
        if isinstance(row, TargetRow):
            self.targets[row.name] = row
            return
        self._forget_keys(row.name)
        self.teams[row.name] = row
        self._by_hash.update(dict.fromkeys(row.key_hashes, row.name))

    def _forget(self, key: str) -> None:
        name = key.rsplit('/', 1)[-1]
        if key.startswith('table/team/'):
            self._forget_keys(name)
            self.teams.pop(name, None)
        else:
            self.targets.pop(name, None)

    def _forget_keys(self, team: str) -> None:
        known = self.teams.get(team)
        for digest in known.key_hashes if known else ():
            self._by_hash.pop(digest, None)
