"""Whether this router can reach the targets of each service.

Load pattern: a host loses its links to all targets of a service, while
callers, peers and the store still reach it. To this router that looks as if
all targets had failed at once.
"""

import logging

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

UNREACHABLE = 'balsamreach_services_unreachable_total'

_logger = logging.getLogger(__name__)
_MS = 1000
_NEVER = float('-inf')
#: Targets of a service that must have failed without a response of any.
_MIN_TARGETS = 2


@attrs.define
class _Service:
    """What this router has seen of one service."""

    failed: set[str] = attrs.field(factory=set)
    zones: set[str] = attrs.field(factory=set)
    reached_at: float = _NEVER
    is_unreachable: bool = False


@attrs.define(eq=False)
class TargetAccess:
    """Records which services' targets this router reaches.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts services that became unreachable.
    """

    clock: Clock
    metrics: Metrics
    _services: dict[str, _Service] = attrs.field(factory=dict)

    def record_reached(self, place: RelayTarget) -> None:
        """Record a response of a target."""
        service = self._of(place)
        service.reached_at = self.clock.now()
        service.failed.clear()
        service.zones.clear()
        if service.is_unreachable:
            service.is_unreachable = False
            self._log(logging.WARNING, 'service_reached', place, service)

    def record_not_connected(self, place: RelayTarget) -> None:
        """Record that no connection to a target was made."""
        service = self._of(place)
        service.failed.add(place.incarnation)
        service.zones.add(place.entry.zone)
        if service.is_unreachable or len(service.failed) < _MIN_TARGETS:
            return
        service.is_unreachable = True
        self.metrics.count(UNREACHABLE, service=place.entry.service)
        self._log(logging.WARNING, 'service_unreachable', place, service)

    def _of(self, place: RelayTarget) -> _Service:
        return self._services.setdefault(place.entry.service, _Service())

    def _log(
        self, level: int, event: str, place: RelayTarget, service: _Service
    ) -> None:
        age = self.clock.now() - service.reached_at
        log_event(
            _logger,
            level,
            event,
            service=place.entry.service,
            targets=len(service.failed),
            zones=sorted(service.zones),
            reached_ms=None if age == float('inf') else round(age * _MS),
        )
