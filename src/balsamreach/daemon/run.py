"""Runs a long-lived role in the event loop until it is told to end."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import attrs

_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_SECOND_SIGNAL = 1


def _ignore() -> None:
    """Do nothing on SIGHUP where there is nothing to read again."""


@attrs.frozen
class Role:
    """What a long-lived process does at the turns of its life.

    Parameters
    ----------
    start : callable
        Starts the role.
    leave : callable
        Ends it in order.
    reload : callable
        Reads again what SIGHUP asks for.
    """

    start: Callable[[], Awaitable[None]]
    leave: Callable[[], Awaitable[None]]
    reload: Callable[[], None] = _ignore


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


async def run_until_stopped(role: Role) -> None:
    """Start a role, wait for a signal, and let the role leave.

    Parameters
    ----------
    role : Role
        What to start and end.
    """
    stop = Stop()
    stop.watch()
    loop = asyncio.get_running_loop()
    # Until the role has started there is nothing to read again; without a
    # handler a SIGHUP at that time would end the process.
    loop.add_signal_handler(signal.SIGHUP, _ignore)
    await role.start()
    loop.add_signal_handler(signal.SIGHUP, role.reload)
    await stop.event.wait()
    await role.leave()
