"""Runs a long-lived role in the event loop until it is told to end."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import attrs

_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_SECOND_SIGNAL = 1


@attrs.define
class Stop:
    """The wish to end: the first signal asks, the second one ends at once."""

    event: asyncio.Event = attrs.field(factory=asyncio.Event)

    def watch(self) -> None:
        """Take SIGTERM and SIGINT from now on."""
        loop = asyncio.get_running_loop()
        for number in _SIGNALS:
            loop.add_signal_handler(number, self._take)

    def _take(self) -> None:
        if self.event.is_set():
            # An operator who sends a second signal wants no more waiting
            # for requests in progress, so nothing is cleaned up either.
            os._exit(_SECOND_SIGNAL)
        self.event.set()


async def run_until_stopped(
    start: Callable[[], Awaitable[None]],
    leave: Callable[[], Awaitable[None]],
) -> None:
    """Start a role, wait for a signal, and let the role leave.

    Parameters
    ----------
    start : callable
        Starts the role.
    leave : callable
        Ends it in order.
    """
    stop = Stop()
    stop.watch()
    await start()
    await stop.event.wait()
    await leave()
