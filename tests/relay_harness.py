"""The relay of one router for tests, without sockets."""

import asyncio
import random

import attrs

from balsamreach.catalogue.view import CatalogueView
from balsamreach.daemon.placing_parts import make_chooser, make_notices
from balsamreach.placement.evacuations import Evacuations
from balsamreach.platform.requests import PlatformCodec
from balsamreach.relay.call import RelayCall
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.host_link import HostLink
from balsamreach.relay.journal import RequestLog
from balsamreach.relay.repeats import Repeats
from balsamreach.relay.retry_jitter import RetryJitter
from balsamreach.relay.run import RelayRun, RunParts
from balsamreach.relay.spending import Spending, UnmeteredSpending
from balsamreach.relay.suspects import make_suspects
from balsamreach.relay.tries import TryParts
from balsamreach.relay.verdicts import Judge
from balsamreach.telemetry.metrics import Metrics
from tests.fake_net import FakeNet
from tests.relay_samples import CATALOGUE, DESK, ENGINES, entry
from tests.relay_scripts import RecordingOutlet, Script, ScriptedExchange
from tests.support import FakeClock


@attrs.define(eq=False)
class RelayHarness:
    """One router's relay with scripted targets."""

    spending: Spending = attrs.field(factory=UnmeteredSpending)
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
        """Create the parts, with two targets of each service."""
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
            notices=make_notices(
                self.chooser.places,
                self.clock,
                self.metrics,
            ),
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
            returns=RetryJitter(random.Random(1)),
        )

    def run(self, call: RelayCall, *scripts: Script) -> RecordingOutlet:
        """Process one request, and return the caller's response."""
        self.exchange.scripts = list(scripts)
        outlet = RecordingOutlet()
        asyncio.run(RelayRun(self.parts, call, outlet).run())
        return outlet
