"""What targets say of themselves in the heads of their answers."""

import logging
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.places import Place, Places, TargetEntry
from balsamreach.placement.standings import Window
from balsamreach.placement.windows import narrow, widen
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

NOTICES = 'balsamreach_target_notices_total'

_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class TargetNotice:
    """What the head of an answer says of the target that sent it.

    Parameters
    ----------
    leaving : bool
        Whether the target will leave.
    retry_after : float
        Seconds for which it wants no requests from this router; 0 for none.
    """

    leaving: bool = False
    retry_after: float = 0


NO_NOTICE = TargetNotice()


def _ignore(_entry: TargetEntry) -> None:
    """Tell nobody."""


@attrs.define(eq=False)
class Notices:
    """Brings what targets say of themselves into force.

    Parameters
    ----------
    places : Places
        All targets.
    clock : Clock
        Time.
    metrics : Metrics
        Counters.
    tell : callable
        Tells other routers of the entry of a target that leaves.
    """

    places: Places
    clock: Clock
    metrics: Metrics
    tell: Callable[[TargetEntry], None] = _ignore

    def take(self, place: Place, notice: TargetNotice) -> None:
        """Take the notice of an answer, as soon as its head is read."""
        if notice == NO_NOTICE:
            return
        self.metrics.count(NOTICES, leaving=notice.leaving)
        leaves = notice.leaving and self._mark_leaving(place)
        backs_off = notice.retry_after > 0 and self._back_off(place, notice)
        if leaves or backs_off:
            self._log(place, notice)

    def accepted(self, place: Place) -> None:
        """Take note that a target has begun to answer a request."""
        standings = self.places.standings
        known = standings.find(place.incarnation)
        if known.window is None:
            return
        window: Window | None = widen(known.window, self.clock.now())
        if window.limit > place.entry.slots:
            window = None
        standing = attrs.evolve(known, window=window)
        standings.put(place.incarnation, standing)

    def _mark_leaving(self, place: Place) -> bool:
        entry = attrs.evolve(place.entry, leaving=True)
        if not self.places.put(entry):
            return False
        self.tell(entry)
        return True

    def _back_off(self, place: Place, notice: TargetNotice) -> bool:
        now = self.clock.now()
        known = self.places.standings.find(place.incarnation)
        is_news = known.retry_at <= now
        until = max(known.retry_at, now + notice.retry_after)
        standing = attrs.evolve(known, retry_at=until)
        if is_news:
            window = narrow(place, known.window, notice.retry_after, now)
            place.most_running = 0
            standing = attrs.evolve(standing, window=window)
        self.places.standings.put(place.incarnation, standing)
        return is_news

    def _log(self, place: Place, notice: TargetNotice) -> None:
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
