"""Carries requests to targets over HTTP with curl."""

import attrs
import pycurl

from balsamreach.clock import Clock, SystemClock
from balsamreach.config.settings import Settings
from balsamreach.dispatch.upstream import (
    BROKEN,
    NOT_SENT,
    SILENT,
    Attempt,
    Intake,
    Upstream,
    UpstreamFault,
)
from balsamreach.gateway.curl_loop import CurlLoop, TransferEnd
from balsamreach.gateway.curl_options import CurlOptions
from balsamreach.gateway.curl_transfer import Transfer
from balsamreach.gateway.curl_watch import SILENCE, Watch

#: Handles kept for the next requests.
_KEPT_HANDLES = 1024


@attrs.define
class CurlUpstream(Upstream):
    """Sends each request on a pooled connection.

    Parameters
    ----------
    cfg : Settings
        Time-outs, the age of pooled connections, and TLS.
    clock : Clock
        Time since connections went silent.
    """

    cfg: Settings
    clock: Clock = attrs.Factory(SystemClock)
    _curls: CurlLoop = attrs.field(factory=CurlLoop)
    _options: CurlOptions = attrs.field(init=False)
    _free: list[pycurl.Curl] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Prepare what all attempts share."""
        self._options = CurlOptions(self.cfg, self.clock)

    async def send(
        self,
        attempt: Attempt,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send a request and feed the answer to the intake."""
        transfer = Transfer(intake)
        curl = self._free.pop() if self._free else pycurl.Curl()
        self._options.apply(curl, attempt, transfer)
        # A plain answer comes all at once after a time that only its
        # deadline bounds; only a stream is expected to say something.
        gap = self.cfg.routing.gap_timeout if attempt.call.stream else 0
        watch = Watch(self._curls, curl, transfer, gap)
        watch.start()
        try:
            end = await self._curls.perform(curl)
        finally:
            watch.stop()
            self._keep(curl)
        if end.code == SILENCE:
            self._options.note_silence(attempt.target.row.address)
        return _judge(end, transfer)

    def close(self) -> None:
        """Close all connections."""
        self._curls.close()
        while self._free:
            self._free.pop().close()

    def _keep(self, curl: pycurl.Curl) -> None:
        curl.reset()
        if len(self._free) < _KEPT_HANDLES:
            self._free.append(curl)
        else:
            curl.close()


def _judge(end: TransferEnd, transfer: Transfer) -> UpstreamFault | None:
    if end.code == pycurl.E_OK and transfer.started:
        return None
    # A connection that closes within the head is no error to curl; what
    # came of the head would pass for an answer with an empty body.
    # Curl's error numbers can't tell a connection that timed out from an
    # answer that did; only that sending never began is proof.
    if not transfer.intake.sent:
        return NOT_SENT.because(end.message or 'no connection in time')
    if end.code == SILENCE:
        return SILENT.because('nothing came for the gap timeout')
    return BROKEN.because(transfer.problem or end.message or 'no whole head')
