"""Scripted targets and a recording response for tests of the relay."""

import asyncio
from collections.abc import Callable

import attrs

from balsamreach.dispatch.upstream import REJECTED, Intake, UpstreamFault
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.exchange import Exchange, Outgoing
from balsamreach.relay.spending import Reservation, Spending
from tests.relay_samples import SIGNED

#: What a target does with an attempt.
Script = Callable[[Outgoing, Intake], UpstreamFault | None]


@attrs.frozen
class Responding:
    """A target that receives the request and responds."""

    status: int
    chunks: tuple[bytes, ...]
    end: UpstreamFault | None
    headers: dict[str, str]

    def __call__(
        self,
        _outgoing: Outgoing,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send the response."""
        assert intake.may_send()
        intake.start(self.status, self.headers)
        for chunk in self.chunks:
            if not intake.problem:
                intake.write(chunk)
        return REJECTED if intake.problem else self.end


def answer(
    status: int,
    *chunks: bytes,
    end: UpstreamFault | None = None,
    **headers: str,
) -> Script:
    """Return a target that responds, signed unless the headers differ."""
    given = {name.replace('_', '-'): text for name, text in headers.items()}
    merged = {name: text for name, text in (SIGNED | given).items() if text}
    return Responding(status, chunks, end, merged)


def unreachable(fault: UpstreamFault) -> Script:
    """Return a target that can't be reached."""
    return lambda _outgoing, _intake: fault


@attrs.frozen
class Unresponsive:
    """A target that receives the request and doesn't respond."""

    fault: UpstreamFault

    def __call__(
        self,
        _outgoing: Outgoing,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Receive the request."""
        assert intake.may_send()
        return self.fault


class ScriptedExchange(Exchange):
    """Runs one script for each attempt."""

    def __init__(self) -> None:
        self.scripts: list[Script] = []
        self.sent: list[Outgoing] = []
        self.hang = False

    async def send(
        self,
        outgoing: Outgoing,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Run the next script."""
        self.sent.append(outgoing)
        if self.hang:
            assert intake.may_send()
            await asyncio.get_running_loop().create_future()
        return self.scripts.pop(0)(outgoing, intake)


class RecordingResponse(CallerResponse):
    """Records the response that a caller gets."""

    def __init__(self) -> None:
        self.started = False
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.complete = False
        self.aborted = False

    @property
    def should_pause(self) -> bool:
        """Always False: the caller is never slow."""
        return False

    def start(self, status, headers):
        """Record the status and headers."""
        assert not self.started
        self.started = True
        self.status = status
        self.headers = {name.lower(): text for name, text in headers}

    def write(self, chunk):
        """Record bytes of the body."""
        self.body += chunk

    def finish(self):
        """Record the normal end."""
        self.complete = True

    def abort(self):
        """Record that the response was aborted."""
        self.aborted = True


class RecordingSpending(Spending):
    """Reserves all that is asked for, and records what is charged."""

    def __init__(self) -> None:
        self.used: list[int] = []

    async def reserve(self, call):
        """Reserve the maximum number of tokens of the request."""
        return Reservation(tokens=call.prompt.max_tokens)

    def charge(self, call, reservation):
        """Record the tokens used."""
        self.used.append(reservation.used)
