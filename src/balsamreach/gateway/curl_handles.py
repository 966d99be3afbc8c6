"""Runs transfers on curl handles that are kept for the next ones."""

from collections.abc import Callable

import attrs
import pycurl

from balsamreach.dispatch.upstream import (
    BROKEN,
    NOT_SENT,
    SILENT,
    Intake,
    UpstreamFault,
)
from balsamreach.gateway.curl_loop import CurlLoop, TransferEnd
from balsamreach.gateway.curl_transfer import Transfer
from balsamreach.gateway.curl_watch import SILENCE, Watch

#: Handles kept for the next requests.
_KEPT_HANDLES = 1024

#: Sets the options of a handle that has none.
Prepare = Callable[[pycurl.Curl, Transfer], None]


@attrs.define
class CurlHandles:
    """The handles of one client, and the connections they share."""

    _curls: CurlLoop = attrs.field(factory=CurlLoop)
    _free: list[pycurl.Curl] = attrs.field(factory=list)

    async def send(
        self,
        prepare: Prepare,
        intake: Intake,
        gap: float,
    ) -> UpstreamFault | None:
        """Run one transfer and feed what comes to its intake.

        Parameters
        ----------
        prepare : callable
            Sets the options of the handle.
        intake : Intake
            Takes the answer.
        gap : float
            Seconds of silence after which it is ended; 0 for no bound.

        Returns
        -------
        UpstreamFault or None
            None in order; NOT_SENT, SILENT or BROKEN.
        """
        transfer = Transfer(intake)
        curl = self._free.pop() if self._free else pycurl.Curl()
        prepare(curl, transfer)
        watch = Watch(self._curls, curl, transfer, gap)
        watch.start()
        try:
            end = await self._curls.perform(curl)
        finally:
            watch.stop()
            self._keep(curl)
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


def set_callbacks(curl: pycurl.Curl, transfer: Transfer) -> None:
    """Let a transfer take what a handle meets."""
    curl.setopt(pycurl.PREREQFUNCTION, transfer.before_send)
    curl.setopt(pycurl.HEADERFUNCTION, transfer.take_line)
    curl.setopt(pycurl.WRITEFUNCTION, transfer.take_body)


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
