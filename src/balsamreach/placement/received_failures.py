"""Applies the failures that other routers have reported."""

import attrs

from balsamreach.placement.accusations import Accusations, Accused
from balsamreach.placement.failure_evidence import (
    RECOVERED,
    REFUSED,
    SILENT,
    TIMED_OUT,
    ZONE_PREFIX,
    FailureReport,
    TargetRecord,
)
from balsamreach.placement.failure_log import FailureLog
from balsamreach.placement.relay_targets import RelayTarget, RelayTargets
from balsamreach.placement.target_failures import FailureTracker

REPORTS = 'balsamreach_target_failure_reports_total'

#: Stands for all reporters of time-outs together.
_EVERYONE = ''


@attrs.define(eq=False)
class ReceivedFailures:
    """Decides how reports of other routers act on targets and zones.

    Parameters
    ----------
    tracker : FailureTracker
        What this router has seen itself.
    """

    tracker: FailureTracker
    _accusations: Accusations = attrs.field(factory=Accusations)
    _log: FailureLog = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the log."""
        self._log = FailureLog(self.tracker.clock)

    def receive(self, report: FailureReport) -> str:
        """Apply a report of another router.

        Returns
        -------
        str
            What became of it, for the counter.
        """
        outcome = self._apply(report)
        self.tracker.metrics.count(REPORTS, outcome=outcome)
        return outcome

    def _apply(self, report: FailureReport) -> str:
        if not report.has_known_outcome:
            return 'unknown'
        if report.target.startswith(ZONE_PREFIX):
            return self._apply_to_zone(report)
        place = self.tracker.places.find_incarnation(report.target)
        if place is None:
            return 'unknown'
        record = self.tracker.records.of(place)
        if report.outcome == RECOVERED:
            return self._apply_recovery(place, record, report)
        return self._apply_failure(place, record, report)

    def _apply_to_zone(self, report: FailureReport) -> str:
        zone = report.target.removeprefix(ZONE_PREFIX)
        # Only routers of this zone see whether it is cut off from another.
        if not report.is_local or report.outcome != TIMED_OUT:
            return 'unknown'
        if all(place.entry.zone != zone for place in self.tracker.places):
            return 'unknown'
        now = self.tracker.clock.now()
        record = self.tracker.records.of_zone(zone)
        record.add_evidence(report)
        if self.tracker.zones.has_timed_out(zone):
            record.add_evidence(attrs.evolve(report, source=self.tracker.me))
        if not record.is_confirmed(TIMED_OUT, now):
            return 'unconfirmed'
        if self.tracker.zones.exclude(
            zone, report.observed_at, report.reporter
        ):
            return 'applied'
        return 'refuted'

    def _apply_recovery(
        self, place: RelayTarget, record: TargetRecord, report: FailureReport
    ) -> str:
        was_suspected = record.is_suspected
        if not record.recover(report.observed_at):
            return 'outdated'
        # Others may reach the target over a path that this router lacks.
        if record.own_failure in {REFUSED, SILENT}:
            record.own_failure = ''
            place.breaker.record_success()
        if was_suspected:
            self._log.record('target_recovered', place, report)
        return 'applied'

    def _apply_failure(
        self, place: RelayTarget, record: TargetRecord, report: FailureReport
    ) -> str:
        now = self.tracker.clock.now()
        if report.observed_at <= record.recovered_at:
            return 'outdated'
        answered = self.tracker.exchanges.is_answered_since
        if answered(place.incarnation, report.observed_at):
            return 'refuted'
        if not self._is_credible(place, report):
            return 'distrusted'
        record.add_evidence(report)
        if not record.is_confirmed(report.outcome, now):
            return 'unconfirmed'
        if not record.exclude(report, now, self.tracker.rng):
            return 'repeated'
        self._log.record('target_excluded', place, report)
        return 'applied'

    def _is_credible(self, place: RelayTarget, report: FailureReport) -> bool:
        accused = self._accuse(place, report)
        if accused.is_credible:
            return self._is_plausible(place, report)
        for incarnation in accused.targets:
            record = self.tracker.records.get(incarnation)
            if record is not None:
                record.withdraw(report.reporter)
        return False

    def _is_plausible(self, place: RelayTarget, report: FailureReport) -> bool:
        # The routers of a zone that is cut off confirm each other's time-outs.
        if report.outcome != TIMED_OUT:
            return True
        everyone = attrs.evolve(report, source=_EVERYONE)
        return self._accuse(place, everyone).is_credible

    def _accuse(self, place: RelayTarget, report: FailureReport) -> Accused:
        places, service = self.tracker.places, place.entry.service
        return self._accusations.add(
            report,
            _TargetsOf(service, places),
            len(places.of_service(service)),
            self.tracker.clock.now(),
        )


@attrs.frozen
class _TargetsOf:
    """The incarnations of a service's targets.

    Not a set: to make one of thousands of targets for each report would take
    longer than the rest.
    """

    service: str
    places: RelayTargets

    def __contains__(self, incarnation: str) -> bool:
        place = self.places.find_incarnation(incarnation)
        return place is not None and place.entry.service == self.service
