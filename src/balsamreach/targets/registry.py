"""The state of every target as this router knows it."""

from collections.abc import Callable, Iterable, Iterator, Mapping, Set

import attrs

from balsamreach.table.rows import ACTIVE, TargetRow
from balsamreach.targets.cache_feed import CacheFeed
from balsamreach.targets.power_holds import LEAVING_STATES, UNREAD, PowerHold
from balsamreach.targets.reports import LoadReport

_MIN_SHARE = 0.1
_MAX_PAST = 16
_MAX_RETIRED = 1024
_WARM_TIME = 30.0
#: Of thousands of targets, most are in other zones and never report to this
#: router. They share these initial values, because a set, a report and a list
#: of incarnations for each took ten times the memory of the rest.
_NO_INCARNATIONS: frozenset[str] = frozenset()
_NO_REPORT = LoadReport()


@attrs.define(eq=False)
class Target:
    """One target.

    Parameters
    ----------
    row : TargetRow
        Its row in the table of the operators.
    in_flight : int
        Requests of this router that have not ended there.
    used : bool
        Whether this router has sent it a request since the last poll.
    report : LoadReport
        Its newest report.
    left : frozenset of str
        Incarnations marked as leaving; a mark is permanent.
    suspended_until : float
        Monotonic seconds until which no request is sent after failures.
    retry_at : float
        Monotonic seconds until which the target has asked for no requests.
    failures : int
        Consecutive polls that failed on a new connection as well.
    warm_from : float
        Monotonic seconds at which its warm-up began.
    warm_time : float
        Duration of the warm-up, in seconds.
    hold : PowerHold or None
        Restriction by the power row of its host; None if it has none.
    """

    row: TargetRow
    in_flight: int = 0
    report: LoadReport = _NO_REPORT
    leaving_incarnations: Set[str] = _NO_INCARNATIONS
    suspended_until: float = 0
    retry_at: float = 0
    failures: int = 0
    warm_up_started: float = float('-inf')
    warm_time: float = _WARM_TIME
    hold: PowerHold | None = None
    used_since_poll: bool = False
    _cache: CacheFeed | None = None
    _past_incarnations: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """Name of the target's row."""
        return self.row.name

    @property
    def cache(self) -> CacheFeed:
        """Position of this router in its cache events."""
        if self._cache is None:
            self._cache = CacheFeed()
        return self._cache

    @property
    def leaving(self) -> bool:
        """Whether it must get no new requests."""
        if self.row.state != ACTIVE or self.marked:
            return True
        return self.hold is not None and self.hold.blocks(self.report)

    @property
    def marked(self) -> bool:
        """Whether the known incarnation is leaving."""
        if not self.report.incarnation:
            # With marks but no report yet, this router, which may have just
            # restarted, can't tell which incarnation runs there. Any mark
            # counts until the first report, which is about a second away.
            return self.report.leaving or bool(self.leaving_incarnations)
        return (
            self.report.leaving
            or self.report.incarnation in self.leaving_incarnations
        )

    def mark_leaving(self, incarnation: str) -> bool:
        """Mark an incarnation as leaving; return whether the mark is new."""
        if not incarnation or incarnation in self.leaving_incarnations:
            return False
        self.leaving_incarnations |= {incarnation}
        if len(self.leaving_incarnations) > 2 * _MAX_PAST:
            self.leaving_incarnations &= {
                self.report.incarnation,
                incarnation,
                *self._past_incarnations,
            }
        return True

    def is_closed_for(self, incarnation: str) -> bool:
        """Return whether an incarnation gets no more requests from here."""
        is_known = self.report.incarnation == incarnation
        return is_known and incarnation in self.leaving_incarnations

    def apply_hold(self, hold: PowerHold | None) -> None:
        """Apply the restriction by the power row of the host."""
        self.hold = hold
        if hold is not None and hold.state in LEAVING_STATES:
            self.mark_leaving(hold.incarnation)

    def apply_report(self, report: LoadReport, now: float) -> bool:
        """Apply a report; return False if it is outdated.

        A late report of an earlier incarnation, for example from a peer that
        was paused, would replace the current incarnation by one that is
        marked as leaving, and the restarted host would stay unused. So past
        incarnations are remembered and their reports ignored.
        """
        known = self.report
        if report.incarnation in self._past_incarnations:
            return False
        if report.incarnation != known.incarnation:
            self._start_incarnation(known.incarnation, now)
        elif report.valid_at < known.valid_at:
            return False
        self.report = report
        if report.leaving:
            self.mark_leaving(report.incarnation)
        return True

    def effective_weight(self, now: float) -> float:
        """Return the target's weight, reduced while it warms up."""
        return self.row.weight * self.warm_share(now)

    def warm_share(self, now: float) -> float:
        """Return the share of its capacity that may be used, at most 1."""
        if self.warm_time <= 0:
            return 1
        share = (now - self.warm_up_started) / self.warm_time
        return min(1, max(_MIN_SHARE, share))

    def _start_incarnation(self, incarnation: str, now: float) -> None:
        if incarnation:
            self._past_incarnations = (*self._past_incarnations, incarnation)[
                -_MAX_PAST:
            ]
            self.retry_at = 0
        # The very first report, soon after this router's own start, doesn't
        # show how long the target has been running.
        held = self.hold is not None and self.hold.state != UNREAD
        if incarnation or held:
            self.warm_up_started = now
        if self._cache is not None:
            self._cache.restart()


#: Called with the previous row and the current target; None for none.
Watcher = Callable[[TargetRow | None, Target | None], None]


@attrs.define
class Targets:
    """All targets by name.

    Parameters
    ----------
    by_name : dict of str to Target
        Current targets.
    warm_time : float
        Duration of the warm-up of targets, in seconds.
    watchers : list of callable
        Called for each row that was added, changed or deleted.
    """

    by_name: dict[str, Target] = attrs.field(factory=dict)
    warm_time: float = _WARM_TIME
    watchers: list[Watcher] = attrs.field(factory=list)
    _retired: list[Target] = attrs.field(factory=list)
    _holds: dict[str, PowerHold] = attrs.field(factory=dict)
    _default_hold: PowerHold | None = None

    def hold_all(self) -> None:
        """Withhold requests from all targets until ``release`` is called."""
        self._default_hold = PowerHold(UNREAD)
        self.apply_holds({})

    def release(self, holds: dict[str, PowerHold]) -> None:
        """Stop withholding requests, except from targets in ``holds``."""
        if self._default_hold is not None:
            self._default_hold = None
            self.apply_holds(holds)

    def apply_holds(self, holds: dict[str, PowerHold]) -> None:
        """Apply the restrictions by power rows, by target name."""
        self._holds = holds
        for target in self.by_name.values():
            target.apply_hold(holds.get(target.name, self._default_hold))

    def update(self, rows: Iterable[TargetRow]) -> None:
        """Replace all rows of the registry."""
        changed: dict[str, TargetRow | None] = {row.name: row for row in rows}
        for name in self.by_name.keys() - changed.keys():
            changed[name] = None
        self.put(changed)

    def put(self, changed: Mapping[str, TargetRow | None]) -> None:
        """Apply changed rows by name; None stands for a deleted row."""
        for name, row in changed.items():
            known = self.by_name.get(name)
            before = None if known is None else known.row
            if row is not before and row != before:
                self._put(name, row, known)
                target = self.by_name.get(name)
                for watcher in self.watchers:
                    watcher(before, target)
        self._drop_retired()

    def usable(self, rows: Iterable[TargetRow]) -> Iterator[Target]:
        """Yield the targets of some rows that may get new requests."""
        for row in rows:
            target = self.by_name.get(row.name)
            if target is not None and not target.leaving and row.weight > 0:
                yield target

    def at_address(self, address: str) -> tuple[Target, ...]:
        """Return the current targets at the address of a host."""
        return tuple(
            target
            for target in self.by_name.values()
            if target.row.address == address
        )

    def in_flight_at(self, address: str) -> int:
        """Return this router's requests at a host, also of deleted rows."""
        known = (*self.by_name.values(), *self._retired)
        return sum(
            target.in_flight
            for target in known
            if target.row.address == address
        )

    def _put(
        self,
        name: str,
        row: TargetRow | None,
        known: Target | None,
    ) -> None:
        # A target at another address is another process: the load and leaving
        # marks of the old one don't apply to it.
        if row and known and known.row.address == row.address:
            known.row = row
            return
        if known is not None:
            self._retired.append(self.by_name.pop(name))
        if row is not None:
            self.by_name[name] = self._make(row)

    def _drop_retired(self) -> None:
        if len(self._retired) <= _MAX_RETIRED:
            return
        # A target with requests in progress is kept however old it is;
        # otherwise its host would look idle and be switched off while they
        # run.
        busy = [target for target in self._retired if target.in_flight]
        idle = [target for target in self._retired if not target.in_flight]
        self._retired = busy + idle[-_MAX_RETIRED:]

    def _make(self, row: TargetRow) -> Target:
        made = Target(row, warm_time=self.warm_time)
        made.apply_hold(self._holds.get(row.name, self._default_hold))
        # A row that is deleted and written again within a minute must not
        # bring requests back to an incarnation that leaves or backs off.
        for old in self._retired:
            if old.row.address == row.address:
                made.leaving_incarnations |= old.leaving_incarnations
                made.retry_at = max(made.retry_at, old.retry_at)
        return made
