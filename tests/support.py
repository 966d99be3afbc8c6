"""Helpers that several test modules share."""

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

_SECONDS = 30


@attrs.define(eq=False)
class HeldClock(Clock):
    """A clock that stands still; its subclasses say what moves it."""

    seconds: float = 1000
    _sleepers: list[tuple[float, int, asyncio.Future]] = attrs.field(
        factory=list,
    )
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def now(self) -> float:
        """Return the time set."""
        return self.seconds

    def wall(self) -> float:
        """Return the time set, as wall time."""
        return self.seconds

    async def sleep(self, seconds: float) -> None:
        """Suspend until the clock was moved far enough."""
        fut = asyncio.get_running_loop().create_future()
        wakes = (self.seconds + seconds, next(self._numbers), fut)
        heapq.heappush(self._sleepers, wakes)
        await fut

    def sleeps_until(self, end: float) -> bool:
        """Return whether anybody is to wake by then."""
        return bool(self._sleepers) and self._sleepers[0][0] <= end

    def wake_next(self) -> float:
        """Wake whoever is next, and return for when that was asked."""
        wakes_at, _, fut = heapq.heappop(self._sleepers)
        if not fut.done():
            fut.set_result(None)
        return wakes_at


class FakeClock(HeldClock):
    """A clock that stands still until a test moves it."""

    def advance(self, seconds: float) -> None:
        """Move the clock on and wake, in order, whose time has come."""
        self.seconds += seconds
        while self.sleeps_until(self.seconds):
            self.wake_next()


@attrs.define(eq=False)
class ManualClock(HeldClock):
    """A clock that begins at 0 and is moved on by whoever sleeps."""

    seconds: float = 0

    async def sleep(self, seconds: float) -> None:
        """Let the time pass at once."""
        self.seconds += seconds


@attrs.define
class Process:
    """A role of the program, run as a process of its own."""

    popen: subprocess.Popen
    first_line: str

    @property
    def address(self) -> str:
        """``ip:port`` that the first line names."""
        return json.loads(self.first_line)['address']


def command_line() -> list[str]:
    """Return the command to start the program with.

    The variable ``BALSAMREACH_BINARY`` names a built file to test instead
    of the checkout.
    """
    binary = os.environ.get('BALSAMREACH_BINARY')
    if binary:
        return [sys.executable, binary]
    return [sys.executable, '-m', 'balsamreach']


@contextmanager
def process(*arguments: str) -> Generator[Process, None, None]:
    """Run the program until the block ends, then end it by SIGTERM."""
    popen = subprocess.Popen(
        [*command_line(), *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert popen.stdout is not None
    try:
        yield Process(popen, popen.stdout.readline())
    finally:
        _end(popen)


def _end(popen: subprocess.Popen) -> None:
    popen.terminate()
    popen.communicate(timeout=_SECONDS)


@attrs.frozen
class Reply:
    """An HTTP answer as a test sees it."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the JSON of the body."""
        return json.loads(self.body)


def call(
    url: str,
    secret: str = '',
    body: Any = None,
    method: str = '',
    **headers: str,
) -> Reply:
    """Send one HTTP request and return whatever answer comes.

    Parameters
    ----------
    url : str
        Where to send it.
    secret : str
        Key for the Authorization header.
    body : object
        Sent as JSON; None sends no body.
    method : str
        Empty for POST with a body and GET without.
    **headers : str
        More headers, with underscores for hyphens.
    """
    sent = None if body is None else json.dumps(body).encode()
    req = request.Request(url, data=sent, method=method or None)
    req.add_header('Content-Type', 'application/json')
    if secret:
        req.add_header('Authorization', f'Bearer {secret}')
    for name, text in headers.items():
        req.add_header(name.replace('_', '-'), text)
    try:
        with request.urlopen(req, timeout=_SECONDS) as answer:
            return Reply(answer.status, dict(answer.headers), answer.read())
    except error.HTTPError as exc:
        with exc:
            return Reply(exc.code, dict(exc.headers), exc.read())
