"""Helpers that several test modules share."""

import asyncio
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


class FakeClock(Clock):
    """A clock that stands still until a test moves it."""

    def __init__(self, now: float = 1000):
        self._now = now
        self._sleepers: list[tuple[float, asyncio.Future]] = []

    def now(self) -> float:
        """Return the time set."""
        return self._now

    def wall(self) -> float:
        """Return the time set, as wall time."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Suspend until the clock was moved far enough."""
        until = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._now + seconds, until))
        await until

    def advance(self, seconds: float) -> None:
        """Move the clock on and wake whoever has slept long enough."""
        self._now += seconds
        for sleeper in tuple(self._sleepers):
            moment, until = sleeper
            if moment <= self._now:
                self._sleepers.remove(sleeper)
                if not until.done():
                    until.set_result(None)


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
