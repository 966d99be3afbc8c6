"""Timers that stop silent and endless transfers and resume paused ones."""

import asyncio
from functools import partial

import attrs
import pycurl

from balsamreach.gateway.curl_loop import CurlLoop, TransferEnd
from balsamreach.gateway.curl_transfer import Transfer

#: Used as curl's error code: no data was received within the gap timeout.
SILENCE_CODE = -1
#: The same: data was received, but no more of the answer became whole.
ENDLESS_CODE = -2
#: The same: there is no memory for the answer.
NO_MEMORY_CODE = -3
#: Number of checks in a row without progress after which a transfer has no
#: end.
_MAX_ENDLESS_CHECKS = 8
#: Seconds between checks of whether a paused transfer can resume.
_RESUME_CHECK_S = 0.02


@attrs.define(eq=False)
class TransferWatch:
    """Checks one transfer periodically.

    Parameters
    ----------
    curl_loop : CurlLoop
        Runs the transfer.
    curl : pycurl.Curl
        Handle of the transfer.
    transfer : Transfer
        State of the transfer.
    """

    curl_loop: CurlLoop
    curl: pycurl.Curl
    transfer: Transfer
    _silent_checks: int = 0
    _endless_checks: int = 0
    _check_timer: asyncio.TimerHandle | None = None
    _resume_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the checks."""
        self.transfer.on_pause = self._schedule_resume
        self.transfer.on_interrupt = self._wait_for_turn
        self.transfer.on_give_up = self._end_without_memory
        self._schedule_check()

    def stop(self) -> None:
        """Cancel all timers."""
        self.transfer.close()
        for timer in (self._check_timer, self._resume_timer):
            if timer is not None:
                timer.cancel()

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        interval = self.transfer.intake.silence.interval
        self._check_timer = loop.call_later(interval, self._check)

    def _check(self) -> None:
        # A device on the path can lose a connection's state: the connection
        # stays open without any data while new ones work. Checks are counted
        # instead of time, because a process that was paused would otherwise
        # mistake its own pause for silence.
        if self.transfer.received_data or self.transfer.paused:
            self._silent_checks = 0
        else:
            self._silent_checks += 1
        self._count_endless()
        self.transfer.received_data = False
        self.transfer.progressed = False
        if self._gives_up():
            self.curl_loop.complete(self.curl, TransferEnd(SILENCE_CODE))
        elif self._endless_checks >= _MAX_ENDLESS_CHECKS:
            self.curl_loop.complete(
                self.curl, TransferEnd(ENDLESS_CODE, 'the answer has no end')
            )
        else:
            self._schedule_check()

    def _count_endless(self) -> None:
        # A faulty target may send a head, an event or a body without end. A
        # few bytes in each interval are no silence, but no answer either. A
        # target that is silent after a whole head may still be at work, so
        # such a check counts neither way.
        transfer = self.transfer
        if not transfer.intake.must_progress:
            return
        if transfer.progressed or transfer.paused:
            self._endless_checks = 0
        elif transfer.received_data or transfer.is_within_head(self.curl):
            self._endless_checks += 1

    def _gives_up(self) -> bool:
        if not self._silent_checks:
            return False
        policy = self.transfer.intake.silence
        return policy.gives_up(self._silent_checks * policy.interval)

    def _wait_for_turn(self) -> None:
        self.transfer.turns.wait(partial(self.curl_loop.resume, self.curl))

    def _end_without_memory(self) -> None:
        self.curl_loop.complete(self.curl, TransferEnd(NO_MEMORY_CODE))

    def _schedule_resume(self) -> None:
        loop = asyncio.get_running_loop()
        self._resume_timer = loop.call_later(_RESUME_CHECK_S, self._try_resume)

    def _try_resume(self) -> None:
        if self.transfer.intake.is_full:
            self._schedule_resume()
            return
        self.transfer.paused = False
        # Curl may call the write callback at once with buffered data.
        self.curl_loop.resume(self.curl)
