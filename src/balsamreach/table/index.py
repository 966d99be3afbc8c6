"""Indexes of the rows in force, so that no request goes through them all."""

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
    """Teams by name and by the digests of their keys."""

    by_name: dict[str, TeamRow] = attrs.field(factory=dict)
    _owner: dict[str, str] = attrs.field(factory=dict)
    _rivals: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def put(self, team: TeamRow) -> None:
        """Add a team or replace the one of the same name."""
        self.remove(team.name)
        self.by_name[team.name] = team
        for digest in team.key_hashes:
            self._own(digest, {*self._owners(digest), team.name})

    def remove(self, name: str) -> None:
        """Remove a team if it is there."""
        team = self.by_name.pop(name, None)
        for digest in team.key_hashes if team else ():
            self._own(digest, self._owners(digest) - {name})

    def by_digest(self, digest: str) -> TeamRow | None:
        """Return the team that a digest belongs to."""
        owner = self._owner.get(digest)
        return None if owner is None else self.by_name[owner]

    def _owners(self, digest: str) -> set[str]:
        owner = self._owner.get(digest)
        return set(self._rivals.get(digest, (owner,) if owner else ()))

    def _own(self, digest: str, owners: set[str]) -> None:
        # One key in two teams' rows is a slip of an operator. All routers
        # must then bill the same team whatever order they read the rows
        # in, so the first by name holds.
        self._owner.pop(digest, None)
        self._rivals.pop(digest, None)
        if owners:
            self._owner[digest] = min(owners)
        if len(owners) > 1:
            self._rivals[digest] = tuple(owners)


@attrs.define
class TargetIndex:
    """Targets by name, by model and by service."""

    by_name: dict[str, TargetRow] = attrs.field(factory=dict)
    by_model: dict[str, dict[str, TargetRow]] = attrs.field(factory=dict)
    by_service: dict[str, dict[str, TargetRow]] = attrs.field(factory=dict)

    def put(self, target: TargetRow) -> None:
        """Add a target or replace the one of the same name."""
        self.remove(target.name)
        self.by_name[target.name] = target
        self.by_service.setdefault(target.service, {})[target.name] = target
        if target.kind == ENGINE:
            for model in target.models:
                self.by_model.setdefault(model, {})[target.name] = target

    def remove(self, name: str) -> None:
        """Remove a target if it is there."""
        target = self.by_name.pop(name, None)
        if target is None:
            return
        _drop(self.by_service, target.service, name)
        for model in target.models if target.kind == ENGINE else ():
            _drop(self.by_model, model, name)


@attrs.define
class Indexes:
    """The index of each kind of row."""

    teams: TeamIndex = attrs.field(factory=TeamIndex)
    targets: TargetIndex = attrs.field(factory=TargetIndex)

    def of(self, key: str) -> TeamIndex | TargetIndex:
        """Return the index that a row belongs to by its key."""
        if key.startswith(TEAM_PREFIX):
            return self.teams
        if key.startswith(TARGET_PREFIX):
            return self.targets
        # A kind that only a later release knows is kept as rejected; it
        # must not touch the targets that happen to have the same name.
        return TargetIndex()


def _drop(
    index: dict[str, dict[str, TargetRow]],
    entry: str,
    name: str,
) -> None:
    left = index[entry]
    left.pop(name)
    if not left:
        index.pop(entry)
