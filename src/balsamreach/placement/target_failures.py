"""Failures of targets that this router or others have seen.

Load pattern: a fifth of the engines crashes at once. A crashed engine has no
requests in progress, so it looks best to each of scores of routers, and each
of them would find out for itself. Reports of others exclude a target for a
second at most; then this router's own requests show whether they were right.
"""

import random
from collections.abc import Callable
from functools import partial

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch.upstream import ConnectFailure
from balsamreach.placement.failure_evidence import (
    RECOVERED,
    REFUSED,
    SILENT,
    TIMED_OUT,
    ZONE_PREFIX,
    FailureReport,
)
from balsamreach.placement.failure_records import FailureRecords
from balsamreach.placement.relay_targets import RelayTarget, RelayTargets
from balsamreach.placement.silent_exchanges import (
    RunningExchanges,
    TargetExchange,
)
from balsamreach.placement.target_access import TargetAccess
from balsamreach.placement.zone_reachability import ZoneReachability
from balsamreach.telemetry.metrics import Metrics

#: Seconds within which this router must have reached another target for its
#: time-outs to be reported. A router that is cut off reaches none.
_REACHED_WINDOW_S = 1.0


def _ignore(_report: FailureReport) -> None:
    """Report nothing."""


def _is_never() -> bool:
    """Return false, until the callable is replaced."""
    return False


@attrs.define(eq=False)
class FailureTracker:
    """Decides which failures to report, and how reports of others act.

    Parameters
    ----------
    me : str
        Incarnation of this router.
    places : RelayTargets
        All targets.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Jitter of probes.
    metrics : Metrics
        Counts reports by what became of them.
    zones : ZoneReachability
        Zones that can't be reached.
    access : TargetAccess
        Services whose targets this router reaches.
    exchanges : RunningExchanges
        Exchanges in progress.
    records : FailureRecords
        What is known of each target.
    is_shared : callable
        Returns whether failures are shared in this fleet.
    link_delayed : callable
        Returns whether responses are late because of this host's own link.
    on_report : callable
        Called with each observation that other routers should know.
    """

    me: str
    places: RelayTargets
    clock: Clock
    rng: random.Random
    metrics: Metrics
    zones: ZoneReachability = attrs.field(init=False)
    access: TargetAccess = attrs.field(init=False)
    exchanges: RunningExchanges = attrs.field(init=False)
    records: FailureRecords = attrs.field(init=False)
    is_shared: Callable[[], bool] = _is_never
    link_delayed: Callable[[], bool] = _is_never
    on_report: Callable[[FailureReport], None] = _ignore
    _silences: int = 0

    def __attrs_post_init__(self) -> None:
        """Start without observations."""
        self.zones = ZoneReachability(self.clock, self.metrics)
        self.access = TargetAccess(self.clock, self.metrics)
        self.exchanges = RunningExchanges(self.clock)
        self.records = FailureRecords(self.places, self.exchanges)

    def usable(
        self, places: list[RelayTarget], *, is_retry: bool
    ) -> list[RelayTarget]:
        """Return the targets to which a request should be sent now.

        Parameters
        ----------
        places : list of RelayTarget
            Targets that accept requests.
        is_retry : bool
            Whether an attempt of the request has failed. Retries don't probe:
            while many targets are down, one request would meet several.

        Returns
        -------
        list of RelayTarget
            All targets if failures would exclude all of them: these may be on
            this router's side, and refusing without an attempt would help
            nobody.
        """
        now = self.clock.now()
        passing = [one for one in places if one.breaker.allows_request(now)]
        if not self.is_shared():
            return passing or places
        credible = list(filter(self.allows, passing))
        zones = self.zones
        reached = [one for one in credible if zones.allows(one.entry.zone)]
        if is_retry:
            reached = list(filter(self._is_working, reached)) or reached
        return reached or credible or passing or places

    def allows(self, place: RelayTarget) -> bool:
        """Return whether reports allow a request to a target now."""
        record = self.records.get(place.incarnation)
        return record is None or record.allows(self.clock.now())

    def begin(self, place: RelayTarget, *, is_plain: bool) -> TargetExchange:
        """Record that a request is sent to a target."""
        self.zones.record_start(place.entry.zone)
        record = self.records.get(place.incarnation)
        if record is not None:
            record.record_start(self.clock.now())
        return self.exchanges.begin(place, is_plain=is_plain)

    def record_response(
        self, exchange: TargetExchange, *, works: bool = True
    ) -> None:
        """Record that the head of a response has arrived.

        Parameters
        ----------
        exchange : TargetExchange
            The exchange.
        works : bool
            Whether the response shows that the target works. One that
            restarts may answer with errors before it does.
        """
        exchange.responded = True
        place, now = exchange.place, self.clock.now()
        record = self.records.of(place)
        record.record_reached(now)
        self.zones.record_reached(place.entry.zone)
        self.access.record_heard(place.entry.service)
        if not works or not record.has_failed_before(exchange):
            return
        record.record_success(now)
        if not self.is_shared():
            return
        # The response shows that the target works again; a stream may take
        # seconds until its end closes the breaker.
        if place.breaker.is_open:
            place.breaker.record_success()
        self._report(place, RECOVERED)

    def record_not_connected(
        self, place: RelayTarget, failure: ConnectFailure | None
    ) -> None:
        """Record that no connection to a target was made."""
        self.access.record_failure(place)
        record = self.records.of(place)
        if failure is ConnectFailure.REFUSED:
            record.record_failure(REFUSED, self.me, self.clock.now())
            record.reached_at = self.clock.now()
            self.zones.record_reached(place.entry.zone)
            self._report(place, REFUSED)
        elif failure is ConnectFailure.TIMED_OUT:
            record.record_failure(TIMED_OUT, self.me, self.clock.now())
            self._record_timeout(place)

    def check_silent(self) -> None:
        """Mark plain targets that have not responded for unusually long."""
        for service, since in self.exchanges.waiting_since().items():
            self.access.record_waiting(service, since)
        silent = self.exchanges.find_silent()
        if not silent or not self.is_shared() or self.link_delayed():
            return
        for exchange in silent:
            place, now = exchange.place, self.clock.now()
            self._silences += 1
            source = f'{self.me}/{self._silences}'
            record = self.records.of(place)
            record.add_evidence(
                FailureReport(place.incarnation, SILENT, source, now)
            )
            if record.is_confirmed(SILENT, now):
                record.record_failure(SILENT, source, now)
                place.breaker.record_failure(now, self.rng, certain=True)
            self._report(place, SILENT, source)

    def forget(self, place: RelayTarget) -> None:
        """Drop the failures of a target that this host's links caused."""
        place.breaker.record_success()
        self.records.drop(place)
        self.zones.record_reached(place.entry.zone)

    def is_working(self, place: RelayTarget) -> bool:
        """Return whether no failure of a target or its zone is known."""
        is_reachable = not self.zones.is_excluded(place.entry.zone)
        return is_reachable and self._is_working(place)

    def _is_working(self, place: RelayTarget) -> bool:
        record = self.records.get(place.incarnation)
        is_suspected = record is not None and record.is_suspected
        return not place.breaker.is_open and not is_suspected

    def _record_timeout(self, place: RelayTarget) -> None:
        now = self.clock.now()
        zone = place.entry.zone
        is_unreachable = self.zones.record_timeout(zone, place.incarnation)
        oldest = now - _REACHED_WINDOW_S
        if not self.records.has_reached_other(place, oldest):
            return
        self._report(place, TIMED_OUT)
        if is_unreachable:
            target = f'{ZONE_PREFIX}{zone}'
            report = FailureReport(
                target, TIMED_OUT, self.me, now, is_local=True
            )
            self._send(place, report)

    def _report(
        self, place: RelayTarget, outcome: str, source: str = ''
    ) -> None:
        report = FailureReport(
            place.incarnation,
            outcome,
            source or self.me,
            self.clock.now(),
            is_local=True,
        )
        if outcome == RECOVERED:
            self.on_report(report)
        else:
            self._send(place, report)

    def _send(self, place: RelayTarget, report: FailureReport) -> None:
        # A router that reaches no target would make others avoid all of them.
        send = partial(self.on_report, report)
        self.access.after_check(place.entry.service, send)
