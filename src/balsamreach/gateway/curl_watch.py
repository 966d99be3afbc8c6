"""Timers that stop silent transfers and resume paused ones."""

import asyncio

import attrs
import pycurl

from balsamreach.gateway.curl_loop import CurlLoop, TransferEnd
from balsamreach.gateway.curl_transfer import Transfer

#: Used as curl's error code: no data was received within the gap timeout.
SILENCE = -1
#: Number of checks of a transfer within one gap timeout.
_LOOKS = 8
#: Seconds between checks of whether a paused transfer can resume.
_PAUSE_S = 0.02


@attrs.define(eq=False)
class Watch:
    """Checks one transfer periodically.

    Parameters
    ----------
    curls : CurlLoop
        Runs the transfer.
    curl : pycurl.Curl
        Handle of the transfer.
    transfer : Transfer
        State of the transfer.
    gap : float
        Seconds without data after which the transfer is stopped; 0 for no
        limit.
    """

    curls: CurlLoop
    curl: pycurl.Curl
    transfer: Transfer
    gap: float
    _silent_looks: int = 0
    _look: asyncio.TimerHandle | None = None
    _resume: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the checks."""
        self.transfer.on_pause = self._wait_for_callers
        if self.gap:
            self._look_later()

    def stop(self) -> None:
        """Cancel all timers."""
        for timer in (self._look, self._resume):
            if timer is not None:
                timer.cancel()

    def _look_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._look = loop.call_later(self.gap / _LOOKS, self._look_now)

    def _look_now(self) -> None:
        # A device on the path can lose a connection's state: the connection
        # stays open without any data while new ones work. Checks are counted
        # instead of time, because a process that was paused would otherwise
        # mistake its own pause for silence.
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
        # Curl may call the write callback at once with buffered data.
        self.curls.resume(self.curl)
