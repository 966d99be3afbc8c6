"""Starts and ends the processes of a run and reads their CPU time."""

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
_START_S = 20
_END_S = 20
_TICKS = os.sysconf('SC_CLK_TCK')
_PAGE = os.sysconf('SC_PAGE_SIZE')
#: Fields 14 and 15 of /proc/PID/stat, counted after the command's name.
_UTIME = 11
_STIME = 12
_RSS = 21


@attrs.define(eq=False)
class Process:
    """One process of a run.

    Parameters
    ----------
    name : str
        What the harness calls it.
    started : dict
        The JSON of its first line.
    began_at : float
        The moment of that line.
    """

    name: str
    started: dict[str, Any]
    _child: asyncio.subprocess.Process
    began_at: float = attrs.field(factory=time.monotonic)

    @property
    def address(self) -> str:
        """``ip:port`` it listens on."""
        return self.started.get('address') or self.started['callers']

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether it has not ended."""
        return self._child.returncode is None

    def cpu_s(self) -> float:
        """CPU seconds it has used so far, its threads included."""
        fields = self._stat()
        return (int(fields[_UTIME]) + int(fields[_STIME])) / _TICKS

    def memory(self) -> int:
        """Bytes of it that are in memory."""
        return int(self._stat()[_RSS]) * _PAGE

    async def next_line(self) -> bytes:
        """Return the next line it prints, empty once it has ended."""
        assert self._child.stdout is not None
        return await self._child.stdout.readline()

    async def kill(self) -> None:
        """End it as a crash would."""
        await self._end(signal.SIGKILL)

    async def leave(self) -> None:
        """Let it shut down; kill it where it doesn't."""
        await self._end(signal.SIGTERM)

    def signal(self, number: int) -> None:
        """Send it a signal, for example to pause it."""
        self._child.send_signal(number)

    async def _end(self, number: int) -> None:
        if not self.alive:
            return
        self._child.send_signal(number)
        try:
            await asyncio.wait_for(self._child.wait(), _END_S)
        except TimeoutError:
            self._child.kill()
            await self._child.wait()

    def _stat(self) -> list[str]:
        path = Path('/proc') / str(self.pid) / 'stat'
        return path.read_text().rpartition(')')[2].split()


async def start(name: str, *arguments: str) -> Process:
    """Start a Python module as a process and wait for its first line."""
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
        line = await asyncio.wait_for(child.stdout.readline(), _START_S)
    except TimeoutError:
        line = b''
    if not line:
        child.kill()
        sys.exit(f'{name} did not start: {arguments}')
    return Process(name, json.loads(line), child)
