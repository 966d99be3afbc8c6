"""Scripted targets, and what a caller gets, for tests of the relay."""

import asyncio
from collections.abc import Callable

import attrs

from balsamreach.dispatch.upstream import Intake, UpstreamFault
from balsamreach.relay.exchange import Exchange, Outgoing
from balsamreach.relay.outlet import Outlet
from tests.relay_samples import SIGNED

#: What a target does with an attempt.
Script = Callable[[Outgoing, Intake], UpstreamFault | None]


@attrs.frozen
class Answered:
    """A target that takes the request and answers it."""

    status: int
    chunks: tuple[bytes, ...]
    end: UpstreamFault | None
    headers: dict[str, str]

    def __call__(
        self,
        _outgoing: Outgoing,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Play the answer."""
        assert intake.before_send()
        intake.start(self.status, self.headers)
        for chunk in self.chunks:
            intake.write(chunk)
        return self.end


def answer(
    status: int,
    *chunks: bytes,
    end: UpstreamFault | None = None,
    **headers: str,
) -> Script:
    """Return a target that answers, signed unless told otherwise."""
    told = {name.replace('_', '-'): text for name, text in headers.items()}
    kept = {name: text for name, text in (SIGNED | told).items() if text}
    return Answered(status, chunks, end, kept)


def unsent(fault: UpstreamFault) -> Script:
    """Return a target that no byte reaches."""
    return lambda _outgoing, _intake: fault


@attrs.frozen
class Swallowed:
    """A target that gets the request and answers nothing."""

    fault: UpstreamFault

    def __call__(
        self,
        _outgoing: Outgoing,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Take the request."""
        assert intake.before_send()
        return self.fault


class ScriptedExchange(Exchange):
    """Plays a script for each attempt in turn."""

    def __init__(self) -> None:
        self.scripts: list[Script] = []
        self.sent: list[Outgoing] = []
        self.hang = False

    async def send(
        self,
        outgoing: Outgoing,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Play the next script."""
        self.sent.append(outgoing)
        if self.hang:
            assert intake.before_send()
            await asyncio.get_running_loop().create_future()
        return self.scripts.pop(0)(outgoing, intake)


class RecordingOutlet(Outlet):
    """Keeps what a caller gets."""

    def __init__(self) -> None:
        self.started = False
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.whole = False
        self.broken = False

    @property
    def full(self) -> bool:
        """Never say that the caller is slow."""
        return False

    def start(self, status, headers):
        """Take the head."""
        assert not self.started
        self.started = True
        self.status = status
        self.headers = {name.lower(): text for name, text in headers}

    def write(self, chunk):
        """Take bytes."""
        self.body += chunk

    def finish(self):
        """Take the end."""
        self.whole = True

    def abort(self):
        """Take the break."""
        self.broken = True
