"""Indexes of the rows in force, so that requests need no full scan."""

import attrs

from balsamreach.table.rows import (
    ENGINE,
    TARGET_PREFIX,
    TEAM_PREFIX,
    TargetRow,
    TeamRow,
)


@attrs.define
class TeamIndex:
    """Teams by name and by the SHA-256 digests of their keys."""

    by_name: dict[str, TeamRow] = attrs.field(factory=dict)
    _owner_by_digest: dict[str, str] = attrs.field(factory=dict)
    _owners_of_shared: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def put(self, team: TeamRow) -> None:
        """Add a team or replace the one with the same name."""
        self.remove(team.name)
        self.by_name[team.name] = team
        for digest in team.key_hashes:
            self._set_owners(digest, {*self._owners_of(digest), team.name})

    def remove(self, name: str) -> None:
        """Remove a team if it exists."""
        team = self.by_name.pop(name, None)
        for digest in team.key_hashes if team else ():
            self._set_owners(digest, self._owners_of(digest) - {name})

    def by_digest(self, digest: str) -> TeamRow | None:
        """Return the team with a key of this digest."""
        owner = self._owner_by_digest.get(digest)
        return None if owner is None else self.by_name[owner]

    def _owners_of(self, digest: str) -> set[str]:
        owner = self._owner_by_digest.get(digest)
        return set(
            self._owners_of_shared.get(digest, (owner,) if owner else ())
        )

    def _set_owners(self, digest: str, owners: set[str]) -> None:
        # An operator may put one key into two teams' rows by mistake. All
        # routers must bill the same team in whatever order they read the rows,
        # so the first team by name owns the key.
        self._owner_by_digest.pop(digest, None)
        self._owners_of_shared.pop(digest, None)
        if owners:
            self._owner_by_digest[digest] = min(owners)
        if len(owners) > 1:
            self._owners_of_shared[digest] = tuple(owners)


@attrs.define
class TargetIndex:
    """Targets by name, by model and by service."""

    by_name: dict[str, TargetRow] = attrs.field(factory=dict)
    by_model: dict[str, dict[str, TargetRow]] = attrs.field(factory=dict)
    by_service: dict[str, dict[str, TargetRow]] = attrs.field(factory=dict)

    def put(self, target: TargetRow) -> None:
        """Add a target or replace the one with the same name."""
        self.remove(target.name)
        self.by_name[target.name] = target
        self.by_service.setdefault(target.service, {})[target.name] = target
        if target.kind == ENGINE:
            for model in target.models:
                self.by_model.setdefault(model, {})[target.name] = target

    def remove(self, name: str) -> None:
        """Remove a target if it exists."""
        target = self.by_name.pop(name, None)
        if target is None:
            return
        _remove_entry(self.by_service, target.service, name)
        for model in target.models if target.kind == ENGINE else ():
            _remove_entry(self.by_model, model, name)


@attrs.define
class Indexes:
    """The index of each kind of row."""

    teams: TeamIndex = attrs.field(factory=TeamIndex)
    targets: TargetIndex = attrs.field(factory=TargetIndex)

    def for_key(self, key: str) -> TeamIndex | TargetIndex:
        """Return the index for the row with this key."""
        if key.startswith(TEAM_PREFIX):
            return self.teams
        if key.startswith(TARGET_PREFIX):
            return self.targets
        # Rows of a kind from a later release are kept as rejected. The empty
        # index keeps them from changing targets with the same name.
        return TargetIndex()


def _remove_entry(
    index: dict[str, dict[str, TargetRow]],
    entry: str,
    name: str,
) -> None:
    remaining = index[entry]
    remaining.pop(name)
    if not remaining:
        index.pop(entry)
