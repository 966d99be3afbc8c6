"""What targets say of themselves in the heads of their answers."""

import logging

import attrs

from balsamreach.placement.places import Place
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
    """Takes in what targets say of themselves.

    Parameters
    ----------
    metrics : Metrics
        Counters.
    """

    metrics: Metrics

    def take(self, place: Place, notice: TargetNotice) -> None:
        """Take the notice of an answer, as soon as its head is read."""
        if notice == NO_NOTICE:
            return
        self.metrics.count(NOTICES, leaving=notice.leaving)
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
