"""Child processes of a run, with their CPU time and memory."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import attrs

_ROOT = Path(__file__).resolve().parent.parent
_START_TIMEOUT_S = 20
_END_TIMEOUT_S = 20
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
#: Positions of fields 14, 15 and 24 of /proc/PID/stat after the command name.
_UTIME_INDEX = 11
_STIME_INDEX = 12
_RSS_INDEX = 21


@attrs.define(eq=False)
class Process:
    """A child process of a run.

    Parameters
    ----------
    name : str
        Name in the benchmark's output.
    started : dict
        JSON object from the first line of its output.
    began_at : float
        Time of that line on the monotonic clock.
    """

    name: str
    started: dict[str, Any]
    _child: asyncio.subprocess.Process
    began_at: float = attrs.field(factory=time.monotonic)

    @property
    def address(self) -> str:
        """``ip:port`` that it listens on."""
        return self.started.get('address') or self.started['callers']

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether it is running."""
        return self._child.returncode is None

    def cpu_s(self) -> float:
        """Return the CPU time of all its threads so far, in seconds."""
        fields = self._stat()
        return (
            int(fields[_UTIME_INDEX]) + int(fields[_STIME_INDEX])
        ) / _TICKS_PER_S

    def memory_bytes(self) -> int:
        """Return its resident memory in bytes."""
        return int(self._stat()[_RSS_INDEX]) * _PAGE_BYTES

    async def next_line(self) -> bytes:
        """Return the next line of its output, empty once it has ended."""
        assert self._child.stdout is not None
        return await self._child.stdout.readline()

    async def kill(self) -> None:
        """Kill it with SIGKILL, as in a crash."""
        await self._end(signal.SIGKILL)

    async def shut_down(self) -> None:
        """Shut it down with SIGTERM; kill it after `_END_TIMEOUT_S` seconds."""
        await self._end(signal.SIGTERM)

    def signal(self, number: int) -> None:
        """Send it a signal, for example to pause it."""
        self._child.send_signal(number)

    async def _end(self, number: int) -> None:
        if not self.alive:
            return
        self._child.send_signal(number)
        try:
            await asyncio.wait_for(self._child.wait(), _END_TIMEOUT_S)
        except TimeoutError:
            self._child.kill()
            await self._child.wait()

    def _stat(self) -> list[str]:
        path = Path('/proc') / str(self.pid) / 'stat'
        return path.read_text().rpartition(')')[2].split()


async def start(name: str, *arguments: str) -> Process:
    """Start a Python module as a process and wait for its first line.

    Exits the benchmark if no line arrives within `_START_TIMEOUT_S` seconds.
    """
    paths = (str(_ROOT / 'src'), str(_ROOT))
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        cwd=_ROOT,
        env=os.environ | {'PYTHONPATH': os.pathsep.join(paths)},
    )
    assert child.stdout is not None
    try:
        line = await asyncio.wait_for(child.stdout.readline(), _START_TIMEOUT_S)
    except TimeoutError:
        line = b''
    if not line:
        child.kill()
        sys.exit(f'{name} did not start: {arguments}')
    return Process(name, json.loads(line), child)
