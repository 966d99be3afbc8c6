"""Curl multi handle driven by the asyncio event loop."""

import asyncio
import contextlib

import attrs
import pycurl

#: Maximum number of idle connections, over all targets.
_MAX_IDLE_CONNECTIONS = 1024
_WATCH_EVENTS = {pycurl.POLL_IN, pycurl.POLL_OUT, pycurl.POLL_INOUT}


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
        self._pending: dict[pycurl.Curl, asyncio.Future[TransferEnd]] = {}
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._watched_fds: set[int] = set()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _MAX_IDLE_CONNECTIONS)

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
        fut = self._loop.create_future()
        self._multi.add_handle(curl)
        self._pending[curl] = fut
        try:
            return await fut
        finally:
            self._remove(curl)

    def complete(self, curl: pycurl.Curl, end: TransferEnd) -> None:
        """Complete a transfer; one in progress loses its connection."""
        fut = self._pending.get(curl)
        if fut is not None and not fut.done():
            fut.set_result(end)

    def resume(self, curl: pycurl.Curl) -> None:
        """Resume reading after the write callback paused the transfer."""
        if curl not in self._pending:
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
        for curl, fut in tuple(self._pending.items()):
            self._remove(curl)
            fut.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._multi.close()
        self._multi = None

    def _remove(self, curl: pycurl.Curl) -> None:
        # Curl closes the connection of a transfer that is removed before its
        # end, and keeps the connection of one that ended normally.
        if self._pending.pop(curl, None) is not None:
            self._multi.remove_handle(curl)

    def _watch_socket(self, event: int, fd: int, *_rest: object) -> None:
        loop = self._loop
        if fd in self._watched_fds:
            self._watched_fds.remove(fd)
            loop.remove_reader(fd)
            loop.remove_writer(fd)
        if event not in _WATCH_EVENTS:
            return
        self._watched_fds.add(fd)
        if event != pycurl.POLL_OUT:
            loop.add_reader(fd, self._socket_action, fd, pycurl.CSELECT_IN)
        if event != pycurl.POLL_IN:
            loop.add_writer(fd, self._socket_action, fd, pycurl.CSELECT_OUT)

    def _set_timer(self, delay_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_ms >= 0:
            self._timer = self._loop.call_later(delay_ms / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def _socket_action(self, fd: int, action: int) -> None:
        # The event loop may run this callback after close().
        if self._multi is None:
            return
        running_before = len(self._pending)
        _code, running = self._multi.socket_action(fd, action)
        # Reading the queue of ended transfers at every event would double
        # the cost of the event.
        if running < running_before:
            self._complete_ended()

    def _complete_ended(self) -> None:
        _left, succeeded, failed = self._multi.info_read(len(self._pending))
        for curl in succeeded:
            self.complete(curl, TransferEnd())
        for curl, code, message in failed:
            self.complete(curl, TransferEnd(code, message))
