"""Puts the parts of a router together that passes requests through."""

import random
import uuid

import attrs

from balsamreach.budget.holdings import Holdings
from balsamreach.catalogue.freshness import FreshnessCheck
from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock, SystemClock
from balsamreach.config.settings import Settings
from balsamreach.daemon.net import make_net
from balsamreach.daemon.placing_parts import (
    make_chooser,
    make_notices,
    make_retry_budget,
)
from balsamreach.gateway.relay_curl import RelayCurl
from balsamreach.peers.net import TcpPeerNet
from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.placement.sharing import LoadSharing
from balsamreach.relay.attempt_results import AttemptClassifier
from balsamreach.relay.attempts import RelayAttemptParts
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.codec import Codec
from balsamreach.relay.host_link import HostLink
from balsamreach.relay.prepaid_spending import PrepaidSpending
from balsamreach.relay.quarantine import make_quarantine
from balsamreach.relay.request_log import RequestLog
from balsamreach.relay.run import RelayRunParts
from balsamreach.services.outside import Outside
from balsamreach.telemetry.metrics import Metrics


@attrs.define(kw_only=True)
class RelayParts:
    """Everything such a router consists of, except listeners and feeds."""

    cfg: Settings
    clock: Clock
    rng: random.Random
    metrics: Metrics
    net: TcpPeerNet
    view: CatalogueView
    freshness_check: FreshnessCheck
    places: RelayTargets
    chooser: Chooser
    exchange: RelayCurl
    sharing: LoadSharing
    holdings: Holdings
    run: RelayRunParts


def make_relay_parts(
    cfg: Settings,
    codec: Codec,
    outside: Outside,
) -> RelayParts:
    """Make the parts of a router; nothing is started or sent yet.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    codec : Codec
        Translates between the relay and the wire.
    outside : Outside
        What the router has of the platform's services.
    """
    core = _make_core(cfg, outside)
    exchange = RelayCurl(cfg.relay.connect_timeout)
    holdings = core.make_holdings(outside)
    chooser = make_chooser(
        cfg.host.zone,
        core.net,
        core.view,
        core.clock,
        core.rng,
    )
    return RelayParts(
        cfg=cfg,
        clock=core.clock,
        rng=core.rng,
        metrics=core.metrics,
        net=core.net,
        view=core.view,
        freshness_check=core.freshness_check,
        places=chooser.places,
        chooser=chooser,
        exchange=exchange,
        sharing=core.make_sharing(chooser),
        holdings=holdings,
        run=core.make_run(codec, exchange, chooser, holdings),
    )


def _make_core(cfg: Settings, outside: Outside) -> '_Core':
    clock, rng, metrics = SystemClock(), random.Random(), Metrics()
    name = uuid.uuid4().hex
    net = make_net(cfg, name, clock, rng, metrics, outside.hosts)
    core = _Core(cfg, net, clock, rng, metrics)
    net.greeter.table_version = lambda: core.view.version
    return core


@attrs.define
class _Core:
    """What all parts share."""

    cfg: Settings
    net: TcpPeerNet
    clock: Clock
    rng: random.Random
    metrics: Metrics
    view: CatalogueView = attrs.field(factory=CatalogueView)
    freshness_check: FreshnessCheck = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Confirm the configuration by the source that is set later."""
        self.freshness_check = FreshnessCheck(self.view, self.clock)

    def make_holdings(self, outside: Outside) -> Holdings:
        """Make what keeps the budgets."""
        return Holdings(
            outside.table,
            self.view.prepaid,
            self.net.me.incarnation,
            self.cfg.budget,
            self.cfg.relay.spend_window,
            self.net,
            outside.times,
            self.net.me.address,
            self.clock,
            self.rng,
            self.metrics,
            self.view.metered,
        )

    def make_sharing(self, chooser: Chooser) -> LoadSharing:
        """Make what tells peers of the load at engines."""
        sharing = LoadSharing(self.net, chooser.places, self.clock)
        chooser.on_sent = sharing.on_request_sent
        sharing.start()
        return sharing

    def make_run(
        self,
        codec: Codec,
        exchange: RelayCurl,
        chooser: Chooser,
        holdings: Holdings,
    ) -> RelayRunParts:
        """Make what every request runs on."""
        cfg = self.cfg
        quarantine = make_quarantine(
            cfg.routing.crash_targets,
            self.clock,
            self.metrics,
            self.net,
        )
        link = HostLink(cfg.host.link, self.clock)
        attempt_parts = RelayAttemptParts(
            codec=codec,
            chooser=chooser,
            exchange=exchange,
            retry_budget=make_retry_budget(cfg.relay, self.net, self.clock),
            classifier=AttemptClassifier(chooser, quarantine),
            notices=make_notices(chooser.places, self.clock, self.metrics),
            clock=self.clock,
            link=link,
            stream_gap=cfg.relay.stream_gap,
        )
        return RelayRunParts(
            codec=codec,
            spending=PrepaidSpending(holdings, self.view, self.freshness_check),
            quarantine=quarantine,
            link=link,
            attempt_parts=attempt_parts,
            clock=self.clock,
            log=RequestLog(self.clock, self.metrics),
        )
