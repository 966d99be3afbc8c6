"""The state of every target as this router sees it."""

from collections.abc import Callable, Iterable, Iterator, Mapping, Set

import attrs

from balsamreach.table.rows import ACTIVE, TargetRow
from balsamreach.targets.cache_feed import CacheFeed
from balsamreach.targets.holds import GOING, UNREAD, Hold
from balsamreach.targets.reports import LoadReport

_LEAST_SHARE = 0.1
_PAST_STARTS = 16
_RETIRED = 1024
_WARM_TIME = 30.0
#: Most of thousands of targets are in other zones and never report to this
#: router. What they have in common is kept once: a set, a report and a list
#: of starts of its own for each took ten times the memory of the rest.
_NO_STARTS: frozenset[str] = frozenset()
_NO_REPORT = LoadReport()


@attrs.define(eq=False)
class Target:
    """One target.

    Parameters
    ----------
    row : TargetRow
        What operators set.
    in_flight : int
        Requests of this router that it has not ended.
    used : bool
        Whether a request of this router went there since the last poll.
    report : LoadReport
        Its newest report.
    left : frozenset of str
        Incarnations that were marked as leaving; a mark is never undone.
    suspended_until : float
        Monotonic seconds until which no request is sent after failures.
    retry_at : float
        Monotonic seconds until which the target itself wants no requests.
    failures : int
        Polls in a row that failed also on a new connection.
    warm_from : float
        Monotonic seconds at which its share of requests began to grow.
    warm_time : float
        Seconds until it gets its whole weight.
    hold : Hold or None
        What the power row in force says of its host.
    """

    row: TargetRow
    in_flight: int = 0
    report: LoadReport = _NO_REPORT
    left: Set[str] = _NO_STARTS
    suspended_until: float = 0
    retry_at: float = 0
    failures: int = 0
    warm_from: float = float('-inf')
    warm_time: float = _WARM_TIME
    hold: Hold | None = None
    used: bool = False
    _cache: CacheFeed | None = None
    _past: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """Name of the target's row."""
        return self.row.name

    @property
    def cache(self) -> CacheFeed:
        """Where this router stands in its cache events."""
        if self._cache is None:
            self._cache = CacheFeed()
        return self._cache

    @property
    def leaving(self) -> bool:
        """Whether it must get no new work."""
        if self.row.state != ACTIVE or self.marked:
            return True
        return self.hold is not None and self.hold.keeps_off(self.report)

    @property
    def marked(self) -> bool:
        """Whether the start believed to be running is leaving."""
        if not self.report.incarnation:
            # With marks but no report yet, this router, perhaps just
            # restarted, cannot tell which start it would send to. The
            # first report, a second away, decides.
            return self.report.leaving or bool(self.left)
        return self.report.leaving or self.report.incarnation in self.left

    def mark_leaving(self, incarnation: str) -> bool:
        """Mark one start as leaving, for good; True if that is news."""
        if not incarnation or incarnation in self.left:
            return False
        self.left |= {incarnation}
        if len(self.left) > 2 * _PAST_STARTS:
            self.left &= {self.report.incarnation, incarnation, *self._past}
        return True

    def has_left(self, incarnation: str) -> bool:
        """Return whether this start gets nothing more from this router."""
        same = self.report.incarnation == incarnation
        return same and incarnation in self.left

    def take_hold(self, hold: Hold | None) -> None:
        """Bring what the power row says of the host into force."""
        self.hold = hold
        if hold is not None and hold.state in GOING:
            self.mark_leaving(hold.incarnation)

    def take_report(self, report: LoadReport, now: float) -> bool:
        """Take a report in; False if it is out of date.

        A report of an earlier start that arrives late, such as through a
        peer that was paused, would bring that start's leaving mark back
        over its successor. It shows as a host that stays unused after its
        restart; starts that were succeeded are remembered to prevent it.
        """
        known = self.report
        if report.incarnation in self._past:
            return False
        if report.incarnation != known.incarnation:
            self._succeed(known.incarnation, now)
        elif report.taken_at < known.taken_at:
            return False
        self.report = report
        if report.leaving:
            self.mark_leaving(report.incarnation)
        return True

    def effective_weight(self, now: float) -> float:
        """Return its weight, reduced while it warms up."""
        return self.row.weight * self.warm_share(now)

    def warm_share(self, now: float) -> float:
        """Return the share of its capacity that it may use, at most 1."""
        if self.warm_time <= 0:
            return 1
        share = (now - self.warm_from) / self.warm_time
        return min(1, max(_LEAST_SHARE, share))

    def _succeed(self, incarnation: str, now: float) -> None:
        if incarnation:
            self._past = (*self._past, incarnation)[-_PAST_STARTS:]
            self.retry_at = 0
        # The very first report, soon after this router's own start, says
        # nothing about how long the target has been running.
        held = self.hold is not None and self.hold.state != UNREAD
        if incarnation or held:
            self.warm_from = now
        if self._cache is not None:
            self._cache.restart()


#: Called with the row before, if any, and the target that is in force now.
Watcher = Callable[[TargetRow | None, Target | None], None]


@attrs.define
class Targets:
    """All targets by name.

    Parameters
    ----------
    by_name : dict of str to Target
        Targets in force.
    warm_time : float
        Seconds in which the share of a new or recovered target grows.
    watchers : list of callable
        Called for each row that came, changed or went.
    """

    by_name: dict[str, Target] = attrs.field(factory=dict)
    warm_time: float = _WARM_TIME
    watchers: list[Watcher] = attrs.field(factory=list)
    _retired: list[Target] = attrs.field(factory=list)
    _holds: dict[str, Hold] = attrs.field(factory=dict)
    _unread: Hold | None = None

    def hold_all(self) -> None:
        """Give no target work until ``release`` is called."""
        self._unread = Hold(UNREAD)
        self.apply_holds({})

    def release(self, holds: dict[str, Hold]) -> None:
        """Let targets work again, except those held by name."""
        if self._unread is not None:
            self._unread = None
            self.apply_holds(holds)

    def apply_holds(self, holds: dict[str, Hold]) -> None:
        """Bring what the power rows say of hosts into force."""
        self._holds = holds
        for target in self.by_name.values():
            target.take_hold(holds.get(target.name, self._unread))

    def update(self, rows: Iterable[TargetRow]) -> None:
        """Bring the rows in force into the registry, and no others."""
        changed: dict[str, TargetRow | None] = {row.name: row for row in rows}
        for name in self.by_name.keys() - changed.keys():
            changed[name] = None
        self.put(changed)

    def put(self, changed: Mapping[str, TargetRow | None]) -> None:
        """Bring changed rows into the registry; None for those deleted."""
        for name, row in changed.items():
            known = self.by_name.get(name)
            before = None if known is None else known.row
            if row is not before and row != before:
                self._put(name, row, known)
                now = self.by_name.get(name)
                for watcher in self.watchers:
                    watcher(before, now)
        self._forget_retired()

    def among(self, rows: Iterable[TargetRow]) -> Iterator[Target]:
        """Yield the targets of some rows that may get new work."""
        for row in rows:
            target = self.by_name.get(row.name)
            if target is not None and not target.leaving and row.weight > 0:
                yield target

    def at_address(self, address: str) -> tuple[Target, ...]:
        """Return the targets in force that one host carries."""
        return tuple(
            target
            for target in self.by_name.values()
            if target.row.address == address
        )

    def in_flight_at(self, address: str) -> int:
        """Return own requests at a host, through rows now gone as well."""
        every = (*self.by_name.values(), *self._retired)
        return sum(
            target.in_flight
            for target in every
            if target.row.address == address
        )

    def _put(
        self,
        name: str,
        row: TargetRow | None,
        known: Target | None,
    ) -> None:
        # A target that moved to another address is another process: its
        # load and leaving marks say nothing of the new one.
        if row and known and known.row.address == row.address:
            known.row = row
            return
        if known is not None:
            self._retired.append(self.by_name.pop(name))
        if row is not None:
            self.by_name[name] = self._make(row)

    def _forget_retired(self) -> None:
        if len(self._retired) <= _RETIRED:
            return
        # One with requests in progress stays however old it is: forgotten,
        # its host would look idle and be switched off under them.
        busy = [target for target in self._retired if target.in_flight]
        idle = [target for target in self._retired if not target.in_flight]
        self._retired = busy + idle[-_RETIRED:]

    def _make(self, row: TargetRow) -> Target:
        made = Target(row, warm_time=self.warm_time)
        made.take_hold(self._holds.get(row.name, self._unread))
        # A row that is deleted and written again within a minute must not
        # bring work back to a start that was on its way out, or backs off.
        for old in self._retired:
            if old.row.address == row.address:
                made.left |= old.left
                made.retry_at = max(made.retry_at, old.retry_at)
        return made
