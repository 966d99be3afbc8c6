"""Log messages and metrics about the releases that began streams."""

import logging

import attrs

from balsamreach.placement.service_releases import ServiceReleases
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.release_inquiry import Origin
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

TAKEN_UP = 'balsamreach_relay_streams_taken_up_total'

_logger = logging.getLogger(__name__)
_MS = 1000


@attrs.frozen
class ReleaseLog:
    """Logs which release began a stream, and how that was found out.

    Parameters
    ----------
    services : ServiceReleases
        The releases of the listed targets.
    metrics : Metrics
        Counts streams that are taken up again.
    """

    services: ServiceReleases
    metrics: Metrics

    def log_begun(
        self, call: RelayCall, keep: float, *, is_recorded: bool
    ) -> None:
        """Log the first event of a stream, unless its release is plain.

        Without a line at its beginning, the release of a stream in progress
        would be lost with its router.

        Parameters
        ----------
        call : RelayCall
            The request, bound to its release.
        keep : float
            Seconds for which its caller may return.
        is_recorded : bool
            Whether keepers are sent a record of it.
        """
        if self.services.only_release(call.service, keep) is not None:
            return
        log_event(
            _logger,
            logging.INFO,
            'stream_begun',
            request_id=call.request_id,
            team=call.team_name,
            resumes=call.resumes,
            release=call.release,
            recorded=is_recorded,
            seen=self.services.seen(call.service, keep),
            followed_ms=self._followed_ms(call.service),
        )

    def log_taken_up(
        self, call: RelayCall, keep: float, origin: Origin | RelayFault
    ) -> None:
        """Log and count a stream that its caller takes up again.

        Parameters
        ----------
        call : RelayCall
            The request.
        keep : float
            Seconds for which its caller may return.
        origin : Origin or RelayFault
            The release that began it, or why that isn't known.
        """
        is_fault = isinstance(origin, RelayFault)
        outcome = origin.code if is_fault else origin.basis
        self.metrics.count(TAKEN_UP, outcome=outcome)
        log_event(
            _logger,
            logging.WARNING if is_fault else logging.INFO,
            'stream_taken_up',
            request_id=call.request_id,
            team=call.team_name,
            resumes=call.resumes,
            last_event=call.last_event,
            outcome=outcome,
            release=None if is_fault else origin.release,
            source=None if is_fault else origin.source,
            age_ms=None if is_fault else round(origin.age * _MS),
            seen=self.services.seen(call.service, keep),
            followed_ms=self._followed_ms(call.service),
        )

    def _followed_ms(self, service: str) -> int | None:
        seconds = self.services.followed_for(service)
        return None if seconds is None else round(seconds * _MS)
