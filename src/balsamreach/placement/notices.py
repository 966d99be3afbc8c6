"""Applies the notices that targets send in their response headers."""

import logging
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.brittle_services import BrittleServices
from balsamreach.placement.relay_targets import (
    RelayTarget,
    RelayTargets,
    TargetEntry,
)
from balsamreach.placement.restrictions import Window
from balsamreach.placement.windows import narrow, widen
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

NOTICES = 'balsamreach_target_notices_total'

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class TargetNotice:
    """What the headers of a response say about the target that sent it.

    Parameters
    ----------
    leaving : bool
        Whether the target will leave.
    retry_after : float
        Seconds for which it wants no requests from this router; 0 for none.
    max_rejections : int
        Rejections in a second beyond which it falls over; 0 for no bound.
    """

    leaving: bool = False
    retry_after: float = 0
    max_rejections: int = 0


NO_NOTICE = TargetNotice()


def _ignore(_entry: TargetEntry) -> None:
    """Announce nothing."""


@attrs.define(eq=False)
class Notices:
    """Applies notices to the state that this router keeps of targets.

    Parameters
    ----------
    places : RelayTargets
        All targets.
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts notices.
    brittle : BrittleServices
        Services whose targets fall over if they reject too much.
    tell : callable
        Announces the entry of a leaving target to other routers.
    """

    places: RelayTargets
    clock: Clock
    metrics: Metrics
    brittle: BrittleServices
    tell: Callable[[TargetEntry], None] = _ignore

    def apply(self, place: RelayTarget, notice: TargetNotice) -> None:
        """Apply the notice of a response, as soon as its headers are read."""
        if notice == NO_NOTICE:
            return
        if notice.max_rejections:
            self.brittle.record(place.entry.service, notice.max_rejections)
        if not notice.leaving and not notice.retry_after:
            return
        self.metrics.count(NOTICES, leaving=notice.leaving)
        leaves = notice.leaving and self._mark_leaving(place)
        backs_off = notice.retry_after > 0 and self._back_off(place, notice)
        if leaves or backs_off:
            self._log(place, notice)

    def record_rejected(self, place: RelayTarget, notice: TargetNotice) -> None:
        """Record that a target has rejected a request.

        A brittle one gets no requests for a while, as if it had asked for it.
        """
        rest = self.brittle.rest(place.entry.service)
        if rest > notice.retry_after:
            notice = attrs.evolve(notice, retry_after=rest)
            if self._back_off(place, notice):
                self._log(place, notice)

    def record_accepted(self, place: RelayTarget) -> None:
        """Record that a target has accepted a request, and widen its window."""
        restrictions = self.places.restrictions
        known = restrictions.find(place.incarnation)
        if known.window is None:
            return
        window: Window | None = widen(known.window, self.clock.now())
        if window.limit > place.entry.slots:
            window = None
        restriction = attrs.evolve(known, window=window)
        restrictions.put(place.incarnation, restriction)

    def _mark_leaving(self, place: RelayTarget) -> bool:
        entry = attrs.evolve(place.entry, leaving=True)
        if not self.places.put(entry):
            return False
        self.tell(entry)
        return True

    def _back_off(self, place: RelayTarget, notice: TargetNotice) -> bool:
        now = self.clock.now()
        known = self.places.restrictions.find(place.incarnation)
        is_new = known.retry_at <= now
        until = max(known.retry_at, now + notice.retry_after)
        restriction = attrs.evolve(known, retry_at=until)
        if is_new:
            window = narrow(place, known.window, notice.retry_after, now)
            place.peak_running = 0
            restriction = attrs.evolve(restriction, window=window)
        self.places.restrictions.put(place.incarnation, restriction)
        return is_new

    def _log(self, place: RelayTarget, notice: TargetNotice) -> None:
        log_event(
            _logger,
            logging.INFO,
            'target_notice',
            target=place.incarnation,
            service=place.entry.service,
            leaving=notice.leaving,
            retry_after=notice.retry_after,
            row_version=place.entry.version,
        )
