"""Curl multi handle driven by the asyncio event loop."""

import asyncio
import contextlib

import attrs
import pycurl

#: Maximum number of idle connections, over all targets.
_POOLED = 1024
_EVENTS = {pycurl.POLL_IN, pycurl.POLL_OUT, pycurl.POLL_INOUT}


@attrs.frozen
class TransferEnd:
    """How a transfer ended.

    Parameters
    ----------
    code : int
        Curl's error code, 0 on success.
    message : str
        Curl's error message.
    """

    code: int = 0
    message: str = ''


class CurlLoop:
    """Runs transfers on one curl multi handle in the running event loop.

    Tornado's curl client can't abort a transfer, so a cancelled request
    would continue at its target. Here, cancelling closes the connection.
    """

    def __init__(self) -> None:
        self._ends: dict[pycurl.Curl, asyncio.Future[TransferEnd]] = {}
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._watched: set[int] = set()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _POOLED)

    async def perform(self, curl: pycurl.Curl) -> TransferEnd:
        """Run a transfer until it ends.

        Parameters
        ----------
        curl : pycurl.Curl
            A handle with all its options set.

        Returns
        -------
        TransferEnd
            How it ended. If the task is cancelled, the connection is closed
            before CancelledError propagates.
        """
        self._loop = asyncio.get_running_loop()
        ended = self._loop.create_future()
        self._multi.add_handle(curl)
        self._ends[curl] = ended
        try:
            return await ended
        finally:
            self._drop(curl)

    def stop(self, curl: pycurl.Curl, end: TransferEnd) -> None:
        """Complete a transfer; one in progress loses its connection."""
        ended = self._ends.get(curl)
        if ended is not None and not ended.done():
            ended.set_result(end)

    def resume(self, curl: pycurl.Curl) -> None:
        """Resume reading after the write callback paused the transfer."""
        if curl not in self._ends:
            return
        # If the transfer has failed meanwhile, curl raises the error here
        # and also queues it with the ended transfers, where it is handled.
        with contextlib.suppress(pycurl.error):
            curl.pause(pycurl.PAUSE_CONT)
        self._set_timer(0)

    def close(self) -> None:
        """Cancel all transfers and close the pooled connections."""
        if self._multi is None:
            return
        for curl, ended in tuple(self._ends.items()):
            self._drop(curl)
            ended.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._multi.close()
        self._multi = None

    def _drop(self, curl: pycurl.Curl) -> None:
        # Curl closes the connection of a transfer that is removed before its
        # end, and keeps the connection of one that ended normally.
        if self._ends.pop(curl, None) is not None:
            self._multi.remove_handle(curl)

    def _watch(self, event: int, fd: int, *_rest: object) -> None:
        loop = self._loop
        if fd in self._watched:
            self._watched.remove(fd)
            loop.remove_reader(fd)
            loop.remove_writer(fd)
        if event not in _EVENTS:
            return
        self._watched.add(fd)
        if event != pycurl.POLL_OUT:
            loop.add_reader(fd, self._act, fd, pycurl.CSELECT_IN)
        if event != pycurl.POLL_IN:
            loop.add_writer(fd, self._act, fd, pycurl.CSELECT_OUT)

    def _set_timer(self, delay_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_ms >= 0:
            self._timer = self._loop.call_later(delay_ms / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _act(self, fd: int, action: int) -> None:
        # The event loop may run this callback after close().
        if self._multi is None:
            return
        before = len(self._ends)
        _code, running = self._multi.socket_action(fd, action)
        # Reading the queue of ended transfers at every event would double
        # the cost of the event.
        if running < before:
            self._collect()

    def _collect(self) -> None:
        _left, whole, failed = self._multi.info_read(len(self._ends))
        for curl in whole:
            self.stop(curl, TransferEnd())
        for curl, code, message in failed:
            self.stop(curl, TransferEnd(code, message))
