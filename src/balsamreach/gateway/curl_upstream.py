"""Upstream that sends requests to targets with curl."""

from functools import partial

import attrs

from balsamreach.clock import Clock, SystemClock
from balsamreach.config.settings import Settings
from balsamreach.dispatch.silence import SilenceTimeout
from balsamreach.dispatch.upstream import (
    SILENT,
    Attempt,
    Intake,
    Upstream,
    UpstreamFault,
)
from balsamreach.gateway.curl_handles import CurlHandles
from balsamreach.gateway.curl_options import CurlOptions


@attrs.define
class CurlUpstream(Upstream):
    """Sends each request on a pooled connection.

    Parameters
    ----------
    cfg : Settings
        Timeouts, the maximum age of pooled connections, and TLS.
    clock : Clock
        Time source for recorded silences.
    handles : CurlHandles
        Run the transfers.
    """

    cfg: Settings
    clock: Clock = attrs.Factory(SystemClock)
    handles: CurlHandles = attrs.field(factory=CurlHandles)
    _options: CurlOptions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the options that all attempts share."""
        self._options = CurlOptions(self.cfg, self.clock)

    async def send(
        self,
        attempt: Attempt,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send a request and pass the answer to the intake."""
        # A plain answer arrives at once, after a time limited only by the
        # deadline; only a stream is expected to send data continually.
        if attempt.call.stream:
            intake.silence = SilenceTimeout(self.cfg.routing.gap_timeout)
        prepare = partial(self._options.apply, attempt)
        fault = await self.handles.send(prepare, intake)
        if fault == SILENT:
            self._options.record_silence(attempt.target.row.address)
        return fault

    def close(self) -> None:
        """Close all connections."""
        self.handles.close()
