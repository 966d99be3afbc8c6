"""Targets, callers and a clock for tests of the relay, without sockets."""

import asyncio
import random
from collections.abc import Callable

import attrs

from balsamreach.catalogue.view import CatalogueView
from balsamreach.daemon.placing_parts import make_chooser
from balsamreach.dispatch.upstream import Intake, UpstreamFault
from balsamreach.placement.evacuations import Evacuations
from balsamreach.platform.requests import PlatformCodec
from balsamreach.relay.call import RelayCall
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.exchange import Exchange, Outgoing
from balsamreach.relay.host_link import HostLink
from balsamreach.relay.journal import RequestLog
from balsamreach.relay.outlet import Outlet
from balsamreach.relay.repeats import Repeats
from balsamreach.relay.returns import Returns
from balsamreach.relay.run import RelayRun, RunParts
from balsamreach.relay.spending import FreeSpending, Spending
from balsamreach.relay.suspects import make_suspects
from balsamreach.relay.tries import TryParts
from balsamreach.relay.verdicts import Judge
from balsamreach.telemetry.metrics import Metrics
from tests.fake_net import FakeNet
from tests.relay_samples import CATALOGUE, DESK, ENGINES, SIGNED, entry
from tests.support import FakeClock

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


@attrs.define(eq=False)
class RelayWorld:
    """One router's relay with scripted targets."""

    spending: Spending = attrs.field(factory=FreeSpending)
    clock: FakeClock = attrs.field(factory=FakeClock)
    exchange: ScriptedExchange = attrs.field(factory=ScriptedExchange)
    metrics: Metrics = attrs.field(factory=Metrics)
    view: CatalogueView = attrs.field(factory=CatalogueView)
    evacuations: Evacuations = attrs.field(init=False)
    chooser: Chooser = attrs.field(init=False)
    repeats: Repeats = attrs.field(init=False)
    link: HostLink = attrs.field(init=False)
    parts: RunParts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Put the parts together, with two targets of each service."""
        self.view.offer(CATALOGUE, 'test')
        self.chooser = make_chooser(
            'zone-a',
            FakeNet().join('router'),
            self.view,
            self.clock,
            random.Random(1),
        )
        self.evacuations = self.chooser.evacuations
        for service in (ENGINES, DESK):
            for number in (1, 2):
                new = entry(f'{service}-{number}', service)
                self.chooser.places.put(new)
        suspects = make_suspects(2, self.clock, self.metrics)
        self.repeats = Repeats(1, 16, 10, self.clock, int)
        self.link = HostLink(0, self.clock)
        codec = PlatformCodec(random.Random(1))
        tries = TryParts(
            codec=codec,
            chooser=self.chooser,
            exchange=self.exchange,
            repeats=self.repeats,
            judge=Judge(self.chooser, suspects),
            clock=self.clock,
            link=self.link,
            stream_gap=2,
        )
        self.parts = RunParts(
            codec=codec,
            spending=self.spending,
            suspects=suspects,
            link=self.link,
            tries=tries,
            clock=self.clock,
            log=RequestLog(self.clock, self.metrics),
            returns=Returns(random.Random(1)),
        )

    def run(self, call: RelayCall, *scripts: Script) -> RecordingOutlet:
        """Run one request to its end."""
        self.exchange.scripts = list(scripts)
        outlet = RecordingOutlet()
        asyncio.run(RelayRun(self.parts, call, outlet).run())
        return outlet
