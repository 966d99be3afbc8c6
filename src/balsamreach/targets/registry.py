"""The state of every target as this router sees it."""

from collections.abc import Iterable, Iterator

import attrs

from balsamreach.table.rows import ACTIVE, TargetRow


@attrs.frozen
class LoadReport:
    """A target's own lagging report.

    Parameters
    ----------
    running, queued, slots : int
        Requests running, waiting, and able to run at once.
    incarnation : str
        The target's start that reports.
    leaving : bool
        Whether the target says that it is leaving.
    taken_at : float
        Monotonic seconds at which the report held true.
    """

    running: int = 0
    queued: int = 0
    slots: int = 0
    incarnation: str = ''
    leaving: bool = False
    taken_at: float = 0


@attrs.define(eq=False)
class Target:
    """One target.

    Parameters
    ----------
    row : TargetRow
        What operators set.
    in_flight : int
        Requests of this router that it has not ended.
    report : LoadReport
        Its newest report.
    left : set of str
        Incarnations that were marked as leaving; a mark is never undone.
    suspended_until : float
        Monotonic seconds until which no request is sent after failures.
    """

    row: TargetRow
    in_flight: int = 0
    report: LoadReport = attrs.field(factory=LoadReport)
    left: set[str] = attrs.field(factory=set)
    suspended_until: float = 0

    @property
    def name(self) -> str:
        """Name of the target's row."""
        return self.row.name

    @property
    def leaving(self) -> bool:
        """Whether it must get no new work."""
        if self.row.state != ACTIVE:
            return True
        return self.report.leaving or self.report.incarnation in self.left

    def mark_leaving(self, incarnation: str) -> None:
        """Mark one start of the target as leaving, for good."""
        self.left.add(incarnation)


@attrs.define
class Targets:
    """All targets by name."""

    by_name: dict[str, Target] = attrs.field(factory=dict)
    revision: int = 0

    def update(self, rows: Iterable[TargetRow]) -> None:
        """Bring the rows in force into the registry."""
        wanted = {row.name: row for row in rows}
        known_rows = {name: old.row for name, old in self.by_name.items()}
        # Indexes over the targets are rebuilt when this number changes.
        self.revision += known_rows != wanted
        for name in set(self.by_name) - set(wanted):
            self.by_name.pop(name)
        for name, row in wanted.items():
            known = self.by_name.get(name)
            # A target that moved to another address is another process: its
            # load and leaving marks say nothing of the new one.
            if known is None or known.row.address != row.address:
                self.by_name[name] = Target(row)
            else:
                known.row = row

    def among(self, rows: Iterable[TargetRow]) -> Iterator[Target]:
        """Yield the targets of some rows that may get new work."""
        for row in rows:
            target = self.by_name.get(row.name)
            if target is not None and not target.leaving and row.weight > 0:
                yield target
