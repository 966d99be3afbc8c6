"""What targets say of themselves in the heads of their answers."""

import logging

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.places import Place, Places
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
    """

    places: Places
    clock: Clock
    metrics: Metrics

    def take(self, place: Place, notice: TargetNotice) -> None:
        """Take the notice of an answer, as soon as its head is read."""
        if notice == NO_NOTICE:
            return
        self.metrics.count(NOTICES, leaving=notice.leaving)
        if self._apply(place, notice):
            self._log(place, notice)

    def _apply(self, place: Place, notice: TargetNotice) -> bool:
        if not notice.retry_after:
            return False
        now = self.clock.now()
        known = self.places.standings.find(place.incarnation)
        until = max(known.retry_at, now + notice.retry_after)
        standing = attrs.evolve(known, retry_at=until)
        self.places.standings.put(place.incarnation, standing)
        return known.retry_at <= now

    def _log(self, place: Place, notice: TargetNotice) -> None:
        log_event(
            _logger,
            logging.INFO,
            'target_notice',
            target=place.incarnation,
            service=place.entry.service,
            leaving=notice.leaving,
            retry_after=notice.retry_after,
            listed_leaving=place.entry.leaving,
            row_version=place.entry.version,
        )
