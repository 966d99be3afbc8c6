"""Availability zones that can't be reached from this router.

Load pattern: a zone is partitioned from the network, and connections to all
of its targets time out. Without a memory, each request would find that out
anew, at one connection timeout for each target it tries.
"""

import logging

import attrs

from balsamreach.clock import Clock
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

UNREACHABLE = 'balsamreach_zones_unreachable_total'

_logger = logging.getLogger(__name__)
_NEVER = float('-inf')
#: Seconds within which time-outs at different targets count together.
_WINDOW_S = 1.0
#: Targets of a zone that must have timed out.
_MIN_TARGETS = 2
_INITIAL_PAUSE_S = 1.0
_MAX_PAUSE_S = 4.0
#: Seconds after which a probe no longer holds back others. A probe whose
#: response takes long would otherwise keep the zone excluded.
_PROBE_S = 1.0


@attrs.define
class _Zone:
    """What this router has seen of one zone."""

    timed_out: dict[str, float] = attrs.field(factory=dict)
    reached_at: float = _NEVER
    excluded_until: float = _NEVER
    next_pause: float = _INITIAL_PAUSE_S
    is_excluded: bool = False
    by_reports: bool = False
    reports_after: float = _NEVER
    probed_at: float = _NEVER


@attrs.define
class ZoneReachability:
    """Decides which zones get no requests for now.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts zones that became unreachable.
    """

    clock: Clock
    metrics: Metrics
    _zones: dict[str, _Zone] = attrs.field(factory=dict)

    def allows(self, name: str) -> bool:
        """Return whether a request may be sent to a zone now."""
        zone = self._zones.get(name)
        if zone is None or not zone.is_excluded:
            return True
        now = self.clock.now()
        # What reports exclude waits for no probe: they may be wrong.
        if zone.by_reports:
            return now >= zone.excluded_until
        return now >= max(zone.excluded_until, zone.probed_at + _PROBE_S)

    def is_excluded(self, name: str) -> bool:
        """Return whether a zone was excluded and not reached since."""
        zone = self._zones.get(name)
        return zone is not None and zone.is_excluded

    def record_start(self, name: str) -> None:
        """Record that a request is sent, as a probe of an excluded zone."""
        zone = self._zones.get(name)
        if zone is not None and zone.is_excluded:
            zone.probed_at = self.clock.now()

    def record_reached(self, name: str) -> None:
        """Record that a host of the zone has responded."""
        zone = self._zones.setdefault(name, _Zone())
        zone.reached_at = self.clock.now()
        zone.timed_out.clear()
        if zone.is_excluded:
            zone.is_excluded = False
            zone.next_pause = _INITIAL_PAUSE_S
            zone.probed_at = _NEVER
            log_event(
                _logger, logging.WARNING, 'zone_reached', target_zone=name
            )

    def record_timeout(self, name: str, target: str) -> bool:
        """Record that a connection timed out.

        Parameters
        ----------
        name : str
            The zone.
        target : str
            Incarnation of the target.

        Returns
        -------
        bool
            Whether the zone counts as unreachable because of it.
        """
        now = self.clock.now()
        zone = self._zones.setdefault(name, _Zone())
        zone.timed_out[target] = now
        _drop_older(zone.timed_out, now - _WINDOW_S)
        # Requests that were sent before the exclusion tell nothing new.
        if zone.is_excluded and now < zone.excluded_until:
            return False
        if not zone.is_excluded and len(zone.timed_out) < _MIN_TARGETS:
            return False
        zone.excluded_until = now + zone.next_pause
        zone.next_pause = min(_MAX_PAUSE_S, 2 * zone.next_pause)
        zone.probed_at = _NEVER
        zone.is_excluded = True
        zone.by_reports = False
        self._record_excluded(name, 'own time-outs')
        return True

    def has_timed_out(self, name: str) -> bool:
        """Return whether a connection of this router timed out just now."""
        zone = self._zones.get(name)
        if zone is None:
            return False
        oldest = self.clock.now() - _WINDOW_S
        return any(time >= oldest for time in zone.timed_out.values())

    def exclude(self, name: str, observed_at: float, reporter: str) -> bool:
        """Exclude a zone for a second because others can't reach it.

        Parameters
        ----------
        name : str
            The zone.
        observed_at : float
            Monotonic seconds at which the others saw it.
        reporter : str
            Router that reported it, for the log.

        Returns
        -------
        bool
            Whether it is excluded now. It is not if this router has reached
            it since, or if only reports have excluded it a moment ago.
        """
        now = self.clock.now()
        zone = self._zones.setdefault(name, _Zone())
        is_own = zone.is_excluded and not zone.by_reports
        if is_own or now < zone.reports_after:
            return False
        if zone.reached_at > observed_at:
            return False
        zone.excluded_until = now + _INITIAL_PAUSE_S
        zone.reports_after = zone.excluded_until + _INITIAL_PAUSE_S
        zone.is_excluded = True
        zone.by_reports = True
        self._record_excluded(name, f'reported by {reporter}')
        return True

    def _record_excluded(self, name: str, reason: str) -> None:
        self.metrics.count(UNREACHABLE, zone=name)
        log_event(
            _logger,
            logging.WARNING,
            'zone_unreachable',
            target_zone=name,
            reason=reason,
        )


def _drop_older(times: dict[str, float], oldest: float) -> None:
    for target, time in tuple(times.items()):
        if time < oldest:
            times.pop(target)
