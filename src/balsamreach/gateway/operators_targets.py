"""``GET /targets``: how this router sees each target."""

from typing import Any

import attrs

from balsamreach.clock import Clock
from balsamreach.gateway.operators import OperatorContext, OperatorHandler
from balsamreach.targets.registry import Target, Targets


@attrs.frozen
class TargetsContext:
    """What the handler works with."""

    targets: Targets
    clock: Clock


class TargetsHandler(OperatorHandler):
    """State, marks, load and power of every target."""

    def initialize(
        self,
        context: OperatorContext,
        watched: TargetsContext,
    ) -> None:
        """Take the contexts in."""
        super().initialize(context)
        self.watched = watched

    def get(self) -> None:
        """List the targets by name."""
        now = self.watched.clock.now()
        by_name = self.watched.targets.by_name
        self.finish(
            {'targets': [show(by_name[name], now) for name in sorted(by_name)]}
        )


def show(target: Target, now: float) -> dict[str, Any]:
    """Return what an operator wants to know of a target."""
    report = target.report
    hold = target.hold
    return {
        'name': target.name,
        'address': target.row.address,
        'service': target.row.service,
        'zone': target.row.zone,
        'state': _state(target, now),
        'row_state': target.row.state,
        'incarnation': report.incarnation,
        'left': sorted(target.leaving_incarnations),
        'in_flight': target.in_flight,
        'load': {
            'running': report.running,
            'queued': report.queued,
            'slots': report.slots,
            'age_s': round(now - report.valid_at, 3),
        },
        'weight': round(target.effective_weight(now), 3),
        'failures': target.failures,
        'power': hold.state if hold else 'on',
        'cache_events_until': target.cache.next_seq,
        'cache_event_gaps': target.cache.gaps,
    }


def _state(target: Target, now: float) -> str:
    if target.leaving:
        return 'leaving' if target.marked else 'held'
    if target.failures or target.suspended_until > now:
        return 'suspended'
    if target.effective_weight(now) < target.row.weight:
        return 'warming'
    return 'serving'
