"""Ends a transfer whose connection is silent and resumes a paused one."""

import asyncio

import attrs
import pycurl

from balsamreach.gateway.curl_loop import CurlLoop, TransferEnd
from balsamreach.gateway.curl_transfer import Transfer

#: In place of curl's error number: nothing came for the gap timeout.
SILENCE = -1
#: Looks at a transfer in one gap timeout.
_LOOKS = 8
#: Seconds until a paused transfer asks whether its callers caught up.
_PAUSE_S = 0.02


@attrs.define(eq=False)
class Watch:
    """Looks at one transfer from time to time.

    Parameters
    ----------
    curls : CurlLoop
        Runs the transfer.
    curl : pycurl.Curl
        Its handle.
    transfer : Transfer
        What it has met so far.
    gap : float
        Seconds of silence after which it is ended; 0 for no bound.
    """

    curls: CurlLoop
    curl: pycurl.Curl
    transfer: Transfer
    gap: float
    _silent_looks: int = 0
    _look: asyncio.TimerHandle | None = None
    _resume: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to look."""
        self.transfer.on_pause = self._wait_for_callers
        if self.gap:
            self._look_later()

    def stop(self) -> None:
        """Look no more."""
        for timer in (self._look, self._resume):
            if timer is not None:
                timer.cancel()

    def _look_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._look = loop.call_later(self.gap / _LOOKS, self._look_now)

    def _look_now(self) -> None:
        # Something between the two ends can lose track of a connection: it
        # stays open and nothing comes any more, while new ones work. Looks
        # are counted rather than time, as a process that was stopped for a
        # while would otherwise wake up to a silence of its own making.
        if self.transfer.heard or self.transfer.paused:
            self._silent_looks = 0
        else:
            self._silent_looks += 1
        self.transfer.heard = False
        if self._silent_looks < _LOOKS:
            self._look_later()
            return
        self.curls.stop(self.curl, TransferEnd(SILENCE))

    def _wait_for_callers(self) -> None:
        loop = asyncio.get_running_loop()
        self._resume = loop.call_later(_PAUSE_S, self._ask_callers)

    def _ask_callers(self) -> None:
        if self.transfer.intake.is_full:
            self._wait_for_callers()
            return
        self.transfer.paused = False
        # Curl may call back at once with what it held.
        self.curls.resume(self.curl)
