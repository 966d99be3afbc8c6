"""Runs a stand-in platform in a thread, for tests of blocking commands."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

import attrs

from balsamreach.services.base import Commit, Write
from balsamreach.standins.serve import (
    PlatformSettings,
    Running,
    start_platform,
)


@attrs.define
class PlatformServer:
    """A stand-in platform on a free port."""

    loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.new_event_loop,
    )
    platform: Running = attrs.field(init=False)
    _thread: threading.Thread = attrs.field(init=False)

    def start(self) -> None:
        """Start to serve; ``stop`` ends it."""
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()
        self.platform = self.wait_for(start_platform(PlatformSettings()))

    def stop(self) -> None:
        """Stop the platform and its thread."""
        self.wait_for(self.platform.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    def options(self) -> list[str]:
        """Return command-line options that point to this platform."""
        keys = ('table', 'objects', 'hosts', 'weights')
        named = [f'--set=platform.{key}={self.platform.url}' for key in keys]
        return [*named, '--set=host.zone=zone-a']

    def put(self, key: str, fields: dict[str, Any] | None) -> None:
        """Write a row without any checks; None deletes it."""
        table = self.platform.core.table
        self.wait_for(table.commit(Commit((Write(key, fields),))))

    def read(self, key: str) -> dict[str, Any] | None:
        """Return the fields of a row; None if there is no such row."""
        return self.wait_for(self.platform.core.table.read((key,)))[0].value

    def go_down(self) -> None:
        """Stop answering requests."""
        core = self.platform.core
        core.weather.down = True

    def wait_for(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in the platform's thread and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()
