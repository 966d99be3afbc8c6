"""Clocks, processes and HTTP requests that several test modules use."""

import asyncio
import heapq
import itertools
import json
import os
import subprocess
import sys
from collections.abc import Generator
from contextlib import contextmanager
from typing import Any
from urllib import error, request

import attrs

from balsamreach.clock import Clock

_TIMEOUT_S = 30


@attrs.define(eq=False)
class HeldClock(Clock):
    """A clock whose time is set; its subclasses define what advances it."""

    seconds: float = 1000
    _sleepers: list[tuple[float, int, asyncio.Future]] = attrs.field(
        factory=list,
    )
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.seconds

    def wall(self) -> float:
        """Return the same time as ``now``."""
        return self.seconds

    async def sleep(self, seconds: float) -> None:
        """Suspend until the clock has advanced by that many seconds."""
        fut = asyncio.get_running_loop().create_future()
        entry = (self.seconds + seconds, next(self._sequence), fut)
        heapq.heappush(self._sleepers, entry)
        await fut

    def sleeps_until(self, end: float) -> bool:
        """Return whether a sleeper is due at ``end`` or earlier."""
        return bool(self._sleepers) and self._sleepers[0][0] <= end

    def wake_next(self) -> float:
        """Wake the sleeper that is due first and return its due time."""
        due_at, _, fut = heapq.heappop(self._sleepers)
        if not fut.done():
            fut.set_result(None)
        return due_at


class FakeClock(HeldClock):
    """A clock that a test advances."""

    def advance(self, seconds: float) -> None:
        """Advance the clock and wake the sleepers that are due, in order."""
        self.seconds += seconds
        while self.sleeps_until(self.seconds):
            self.wake_next()


@attrs.define(eq=False)
class ManualClock(HeldClock):
    """A clock that starts at 0 and that every sleep advances."""

    seconds: float = 0

    async def sleep(self, seconds: float) -> None:
        """Advance the clock without suspending."""
        self.seconds += seconds


@attrs.define
class Process:
    """A running process of the program and its first line of output."""

    popen: subprocess.Popen
    first_line: str

    @property
    def address(self) -> str:
        """``ip:port`` on which the process listens, from its first line."""
        return json.loads(self.first_line)['address']


def command_line() -> list[str]:
    """Return the command that starts the program.

    The environment variable ``BALSAMREACH_BINARY`` names a built file to
    test instead of the checkout.
    """
    binary = os.environ.get('BALSAMREACH_BINARY')
    if binary:
        return [sys.executable, binary]
    return [sys.executable, '-m', 'balsamreach']


@contextmanager
def process(*arguments: str) -> Generator[Process, None, None]:
    """Run the program for the duration of the block, then send SIGTERM."""
    popen = subprocess.Popen(
        [*command_line(), *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert popen.stdout is not None
    try:
        yield Process(popen, popen.stdout.readline())
    finally:
        _terminate(popen)


def _terminate(popen: subprocess.Popen) -> None:
    popen.terminate()
    popen.communicate(timeout=_TIMEOUT_S)


@attrs.frozen
class Reply:
    """An HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body decoded as JSON."""
        return json.loads(self.body)


def call(
    url: str,
    secret: str = '',
    body: Any = None,
    method: str = '',
    **headers: str,
) -> Reply:
    """Send one HTTP request and return the response of any status.

    Parameters
    ----------
    url : str
        URL of the request.
    secret : str
        Team's or operator's key for the Authorization header.
    body : object
        Sent as JSON; None sends no body.
    method : str
        HTTP method; empty means POST with a body and GET without.
    **headers : str
        Additional headers, with underscores in place of hyphens.
    """
    data = None if body is None else json.dumps(body).encode()
    req = request.Request(url, data=data, method=method or None)
    req.add_header('Content-Type', 'application/json')
    if secret:
        req.add_header('Authorization', f'Bearer {secret}')
    for name, text in headers.items():
        req.add_header(name.replace('_', '-'), text)
    try:
        with request.urlopen(req, timeout=_TIMEOUT_S) as response:
            return Reply(
                response.status, dict(response.headers), response.read()
            )
    except error.HTTPError as exc:
        with exc:
            return Reply(exc.code, dict(exc.headers), exc.read())
