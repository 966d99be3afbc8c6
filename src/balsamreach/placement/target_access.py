"""Whether this router can reach the targets of each service.

Load pattern: a host loses its links to all targets of a service, while
callers, peers and the store still reach it. To this router that looks as if
all targets had failed at once; the other routers see them work.
"""

import logging
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

UNREACHABLE = 'balsamreach_services_unreachable_total'

_logger = logging.getLogger(__name__)
_MS = 1000
_NEVER = float('-inf')
#: Seconds after a check that reached a target in which failures start no
#: other one. A crashed target fails requests for that long, and a check opens
#: connections to other targets.
_RECHECK_S = 0.5
#: The same for broken connections. The request that broke may crash one target
#: after the other until a check shows that the links of this host are up.
_BREAK_RECHECK_S = 0.1
#: Seconds without a byte of any target, although requests are in progress
#: there, after which open connections may be dead. Sound targets pause for
#: less as a rule; one that pauses for longer costs a connection.
SILENCE_S = 0.4
#: The same as ``_RECHECK_S`` for silence, which a long prompt causes as well.
_SILENCE_RECHECK_S = 2.0


@attrs.define(eq=False)
class _Service:
    """What this router has seen of one service."""

    heard_at: float = _NEVER
    reached_at: float = _NEVER
    is_checked: bool = False
    is_scheduled: bool = False
    is_unreachable: bool = False
    deferred: list[Callable[[], None]] = attrs.field(factory=list)
    breaks: list[Callable[[], None]] = attrs.field(factory=list)


@attrs.define(eq=False)
class TargetAccess:
    """Decides which services this router can't reach.

    A failure puts its service in doubt until a check has tried to connect to
    other targets. Evidence against targets waits for the result: if none can
    be reached, the failures say something about this host only, and neither
    this router nor others may withhold requests from the targets.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts services that became unreachable.
    start_check : callable
        Starts a check of a service. Its second argument is the incarnation
        of the target that failed, empty if none did, the third one the
        seconds to wait before. The result is passed to ``conclude``.
    """

    clock: Clock
    metrics: Metrics
    start_check: Callable[[str, str, float], None] | None = None
    _services: dict[str, _Service] = attrs.field(factory=dict)

    def is_unreachable(self, service: str) -> bool:
        """Return whether no target of a service can be reached."""
        state = self._services.get(service)
        return state is not None and state.is_unreachable

    def record_heard(self, service: str) -> None:
        """Record that bytes of a target of a service have arrived."""
        self._of(service).heard_at = self.clock.now()

    def record_failure(self, place: RelayTarget) -> None:
        """Record that a target can't be connected to."""
        self._check(place.entry.service, place.incarnation, _RECHECK_S)

    def record_break(
        self, place: RelayTarget, action: Callable[[], None]
    ) -> None:
        """Record that a target closed a connection while a request ran.

        Parameters
        ----------
        place : RelayTarget
            The target.
        action : callable
            Records that the request may have crashed the target; called once
            a check that began since has reached a target. An earlier one
            doesn't show that the links of this host are still up.
        """
        service = place.entry.service
        state = self._of(service)
        if self.start_check is None:
            action()
        elif not state.is_unreachable:
            state.breaks.append(action)
            self._schedule(service, place.incarnation, state)

    def begin_check(self, service: str) -> bool:
        """Return whether a check that was scheduled is still needed."""
        state = self._of(service)
        state.is_scheduled = False
        if state.is_checked or state.is_unreachable:
            return False
        state.is_checked = True
        return True

    def record_waiting(self, service: str, since: float) -> None:
        """Record that a request has waited at a target since a time."""
        heard_at = max(since, self._of(service).heard_at)
        if self.clock.now() - heard_at >= SILENCE_S:
            self._check(service, '', _SILENCE_RECHECK_S)

    def after_check(self, service: str, action: Callable[[], None]) -> None:
        """Apply evidence against a target unless the service is unreachable.

        Parameters
        ----------
        service : str
            Service of the target.
        action : callable
            Applies the evidence; called once the check in progress, if any,
            has reached a target, and never if it reaches none.
        """
        state = self._of(service)
        if state.is_checked:
            state.deferred.append(action)
        elif not state.is_unreachable:
            action()

    def conclude(self, service: str, *, reached: bool) -> None:
        """End a check.

        Parameters
        ----------
        service : str
            The service that was checked.
        reached : bool
            Whether a target of it could be connected to.
        """
        state = self._of(service)
        was_unreachable = state.is_unreachable
        state.is_checked = False
        state.is_unreachable = not reached
        deferred = state.deferred + state.breaks
        state.deferred = []
        state.breaks = []
        if reached:
            state.reached_at = self.clock.now()
            for action in deferred:
                action()
        if was_unreachable and reached:
            log_event(
                _logger, logging.WARNING, 'service_reached', service=service
            )
        elif not was_unreachable and not reached:
            self._record_unreachable(service, state)

    def abandon_check(self, service: str) -> None:
        """End a check without a result; what waited for it is dropped."""
        state = self._of(service)
        state.is_checked = False
        state.deferred = []
        state.breaks = []

    def _check(self, service: str, failed: str, pause: float) -> None:
        state = self._of(service)
        if self.start_check is None or state.is_checked:
            return
        if state.is_unreachable:
            return
        if self.clock.now() - state.reached_at < pause:
            return
        state.is_checked = True
        self.start_check(service, failed, 0)

    def _schedule(self, service: str, failed: str, state: _Service) -> None:
        wait = state.reached_at + _BREAK_RECHECK_S - self.clock.now()
        if wait <= 0:
            self._check(service, failed, _BREAK_RECHECK_S)
        elif not state.is_checked and not state.is_scheduled:
            state.is_scheduled = True
            self.start_check(service, failed, wait)

    def _record_unreachable(self, service: str, state: _Service) -> None:
        self.metrics.count(UNREACHABLE, service=service)
        age = self.clock.now() - state.heard_at
        log_event(
            _logger,
            logging.WARNING,
            'service_unreachable',
            service=service,
            heard_ms=None if age == float('inf') else round(age * _MS),
        )
        # The targets of other services may lie behind the same links.
        for other in tuple(self._services):
            self._check(other, '', _RECHECK_S)

    def _of(self, service: str) -> _Service:
        state = self._services.get(service)
        if state is None:
            state = _Service()
            self._services[service] = state
        return state
