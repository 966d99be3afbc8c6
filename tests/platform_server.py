"""A stand-in platform in a thread, for commands that block."""

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
    """One platform on a free port."""

    loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.new_event_loop,
    )
    platform: Running = attrs.field(init=False)
    _thread: threading.Thread = attrs.field(init=False)

    def start(self) -> None:
        """Serve until ``stop``."""
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()
        self.platform = self.wait_for(start_platform(PlatformSettings()))

    def stop(self) -> None:
        """End the platform and the thread."""
        self.wait_for(self.platform.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    def options(self) -> list[str]:
        """Return the settings that name this platform."""
        keys = ('table', 'objects', 'hosts', 'weights')
        named = [f'--set=platform.{key}={self.platform.url}' for key in keys]
        return [*named, '--set=host.zone=zone-a']

    def put(self, key: str, fields: dict[str, Any] | None) -> None:
        """Write a row as it is given, whatever it breaks."""
        table = self.platform.core.table
        self.wait_for(table.commit(Commit((Write(key, fields),))))

    def read(self, key: str) -> dict[str, Any] | None:
        """Return a row's fields."""
        return self.wait_for(self.platform.core.table.read((key,)))[0].value

    def go_down(self) -> None:
        """Answer nothing from now on."""
        core = self.platform.core
        core.weather.down = True

    def wait_for(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run something in the platform's thread."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()
