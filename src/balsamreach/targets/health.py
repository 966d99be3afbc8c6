"""Suspends targets that do not answer, and brings them back slowly."""

import logging
import random

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.targets.registry import Target
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

_JITTER = 0.25
_MOST_DOUBLINGS = 16
_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Health:
    """Judges targets by whether they answer polls on new connections.

    Parameters
    ----------
    cfg : Settings
        First and longest pause.
    rng : random.Random
        Spreads the pauses, so that not all routers ask at once.
    """

    cfg: Settings
    clock: Clock
    rng: random.Random
    metrics: Metrics

    def fail(self, target: Target) -> None:
        """Suspend a target for a pause that doubles each time."""
        cfg = self.cfg.targets
        doublings = min(target.failures, _MOST_DOUBLINGS)
        pause = min(cfg.longest_pause, cfg.first_pause * 2**doublings)
        pause *= 1 + _JITTER * self.rng.random()
        target.failures += 1
        target.suspended_until = self.clock.now() + pause
        self.metrics.count('balsamreach_target_failures_total')
        if target.failures == 1:
            _log(target, logging.WARNING, 'target_suspended')

    def recover(self, target: Target) -> None:
        """Let a target that answers again take a growing share."""
        if not target.failures:
            return
        target.failures = 0
        target.suspended_until = 0
        target.warm_from = self.clock.now()
        _log(target, logging.INFO, 'target_recovered')


def _log(target: Target, level: int, event: str) -> None:
    log_event(
        _logger,
        level,
        event,
        target=target.name,
        address=target.row.address,
    )
