"""Applies what this router and others report of parts of prompts."""

import logging
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.routing.part_suspects import (
    PartBreak,
    PartKey,
    PartState,
    PartSuspects,
)
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.part_reports import (
    ANSWERED,
    BROKE,
    QUARANTINED,
    TRIED,
    PartReport,
)

HELD = 'balsamreach_parts_quarantined'

_logger = logging.getLogger(__name__)
_MS = 1000
#: Breaks from which a suspicion is logged. One break makes suspects of many
#: parts, nearly all of which are answered a moment later.
_LOGGED_BREAKS = 2


def _ignore(_targets: frozenset[str]) -> None:
    """Explain nothing."""


@attrs.define(eq=False)
class PartEvidence:
    """Records reports, and acts when a part turns out to crash targets.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Shows how many parts are quarantined.
    suspects : PartSuspects
        The parts that may crash targets.
    on_explained : callable
        Called with targets whose crashes a quarantined part explains.
    announced : set of PartKey
        Quarantined parts that other routers know of.
    """

    clock: Clock
    metrics: Metrics
    suspects: PartSuspects = attrs.field(factory=PartSuspects)
    on_explained: Callable[[frozenset[str]], None] = _ignore
    announced: set[PartKey] = attrs.field(factory=set)

    def apply(self, report: PartReport) -> bool:
        """Return whether a report says something new, and record it if so."""
        key, at = key_of(report), self.time_of(report)
        if report.outcome == BROKE:
            return self._apply_break(key, report, at)
        if report.outcome == QUARANTINED:
            return self._apply_quarantine(key, at)
        if report.outcome == ANSWERED:
            return self.apply_answer(key, at)
        if report.outcome == TRIED:
            return self.suspects.record_trial(key, at)
        # Routers of later versions may report more.
        return False

    def apply_answer(self, key: PartKey, at: float) -> bool:
        """Record an answer; return whether its part was suspected."""
        breaks = self._count_breaks(key)
        was_quarantined = self._is_quarantined(key)
        if not self.suspects.record_answer(key, at):
            return False
        if breaks >= _LOGGED_BREAKS or was_quarantined:
            self.announced.discard(key)
            self._update_gauge()
            log_part('part_cleared', key, breaks=breaks)
        return True

    def time_of(self, report: PartReport) -> float:
        """Return the monotonic seconds here at which something was seen."""
        return self.clock.now() - report.age_ms / _MS

    def _apply_break(self, key: PartKey, report: PartReport, at: float) -> bool:
        was_quarantined = self._is_quarantined(key)
        sent_at = at - report.ran_ms / _MS
        is_new = self.suspects.record_break(
            key, PartBreak(report.target, report.fingerprint, sent_at, at)
        )
        breaks = self._count_breaks(key)
        if is_new and breaks >= _LOGGED_BREAKS:
            log_part('part_suspected', key, target=report.target, breaks=breaks)
        if was_quarantined:
            self.on_explained(frozenset((report.target,)))
        elif self._is_quarantined(key):
            self._on_quarantined(key)
        return is_new

    def _apply_quarantine(self, key: PartKey, at: float) -> bool:
        if not self.suspects.quarantine(key, at):
            return False
        self.announced.add(key)
        self._on_quarantined(key)
        return True

    def _on_quarantined(self, key: PartKey) -> None:
        record = self.suspects.find(key)
        self.on_explained(frozenset(record.targets))
        self._update_gauge()
        log_part(
            'part_quarantined',
            key,
            targets=sorted(record.targets),
            breaks=len(record.breaks),
        )

    def _count_breaks(self, key: PartKey) -> int:
        record = self.suspects.find(key)
        return 0 if record is None else len(record.breaks)

    def _is_quarantined(self, key: PartKey) -> bool:
        state = self.suspects.state(key, self.clock.now())
        return state is PartState.QUARANTINED

    def _update_gauge(self) -> None:
        self.metrics.gauge(HELD, len(self.suspects.quarantined()))


def key_of(report: PartReport) -> PartKey:
    """Return the part that a report is about."""
    return PartKey(report.service, report.model, report.part)


def make_report(key: PartKey, outcome: str, age: float = 0) -> PartReport:
    """Return a report about a part.

    Parameters
    ----------
    key : PartKey
        The part.
    outcome : str
        What was seen of it.
    age : float
        Seconds since then.
    """
    return PartReport(
        key.service, key.model, key.part, outcome, age_ms=round(age * _MS)
    )


def report_break(key: PartKey, broken: PartBreak, now: float) -> PartReport:
    """Return a report about a break.

    Parameters
    ----------
    key : PartKey
        The part.
    broken : PartBreak
        The break.
    now : float
        Monotonic seconds.
    """
    return attrs.evolve(
        make_report(key, BROKE, now - broken.broke_at),
        target=broken.target,
        fingerprint=broken.fingerprint,
        ran_ms=round((broken.broke_at - broken.sent_at) * _MS),
    )


def log_part(event: str, key: PartKey, **fields: object) -> None:
    """Log an event that concerns a part."""
    log_event(
        _logger,
        logging.WARNING,
        event,
        service=key.service,
        model=key.model,
        part=key.part,
        **fields,
    )
