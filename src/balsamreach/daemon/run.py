"""Runs a long-lived role in the event loop until a signal stops it."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import attrs

_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_SECOND_SIGNAL_EXIT_CODE = 1


def _ignore_sighup() -> None:
    """Ignore SIGHUP, when there is nothing to reload."""


@attrs.frozen
class Role:
    """Lifecycle callbacks of a process's role, such as a router.

    Parameters
    ----------
    start : callable
        Starts the role.
    leave : callable
        Shuts it down gracefully.
    reload : callable
        Reloads files; called on SIGHUP.
    """

    start: Callable[[], Awaitable[None]]
    leave: Callable[[], Awaitable[None]]
    reload: Callable[[], None] = _ignore_sighup


@attrs.define
class StopSignals:
    """Handles stop signals: the second one exits at once.

    Parameters
    ----------
    event : asyncio.Event
        Set by the first signal.
    """

    event: asyncio.Event = attrs.field(factory=asyncio.Event)

    def install_handlers(self) -> None:
        """Install the handlers of SIGTERM and SIGINT."""
        loop = asyncio.get_running_loop()
        for signum in _SIGNALS:
            loop.add_signal_handler(signum, self._on_signal)

    def _on_signal(self) -> None:
        if self.event.is_set():
            # An operator sends a second signal to stop waiting for requests
            # in progress, so nothing is cleaned up either.
            os._exit(_SECOND_SIGNAL_EXIT_CODE)
        self.event.set()


async def run_until_stopped(role: Role) -> None:
    """Start a role, wait for a stop signal, and shut the role down.

    Parameters
    ----------
    role : Role
        Lifecycle callbacks of the role.
    """
    stop = StopSignals()
    stop.install_handlers()
    loop = asyncio.get_running_loop()
    # There is nothing to reload before the role has started, but without a
    # handler SIGHUP would terminate the process.
    loop.add_signal_handler(signal.SIGHUP, _ignore_sighup)
    await role.start()
    loop.add_signal_handler(signal.SIGHUP, role.reload)
    await stop.event.wait()
    await role.leave()
