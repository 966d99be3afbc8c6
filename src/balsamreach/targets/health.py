"""Suspends targets that don't respond, and warms up recovered ones."""

import logging
import random

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.targets.registry import Target
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

_JITTER = 0.25
_MAX_DOUBLINGS = 16
_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Health:
    """Suspends targets that don't respond to polls on new connections.

    Parameters
    ----------
    cfg : Settings
        First and longest pause.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Jitter of the pauses, so that not all routers poll at once.
    metrics : Metrics
        Counts failures.
    """

    cfg: Settings
    clock: Clock
    rng: random.Random
    metrics: Metrics

    def record_failure(self, target: Target) -> None:
        """Suspend a target for a pause that doubles each time."""
        cfg = self.cfg.targets
        doublings = min(target.failures, _MAX_DOUBLINGS)
        pause = min(cfg.longest_pause, cfg.first_pause * 2**doublings)
        pause *= 1 + _JITTER * self.rng.random()
        target.failures += 1
        target.suspended_until = self.clock.now() + pause
        self.metrics.count('balsamreach_target_failures_total')
        if target.failures == 1:
            _log(target, logging.WARNING, 'target_suspended')

    def record_success(self, target: Target) -> None:
        """Resume a target that responds again, with a growing share."""
        if not target.failures:
            return
        target.failures = 0
        target.suspended_until = 0
        target.warm_up_started = self.clock.now()
        _log(target, logging.INFO, 'target_recovered')


def _log(target: Target, level: int, event: str) -> None:
    log_event(
        _logger,
        level,
        event,
        target=target.name,
        address=target.row.address,
    )
