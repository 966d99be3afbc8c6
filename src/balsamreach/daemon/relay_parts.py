"""Creates the components of a router that relays requests."""

import random
import uuid

import attrs

from balsamreach.budget.holdings import Holdings
from balsamreach.catalogue.freshness import FreshnessCheck
from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock, SystemClock
from balsamreach.config.settings import Settings
from balsamreach.daemon.forwarding_parts import (
    ForwardingParts,
    make_forwarding_parts,
)
from balsamreach.daemon.link_parts import LinkParts, make_link_parts
from balsamreach.daemon.peer_net import make_peer_net
from balsamreach.daemon.placing_parts import (
    Sharing,
    make_chooser,
    make_notices,
    make_retry_budget,
    make_sharing,
)
from balsamreach.daemon.run_parts import (
    make_crash_quarantine,
    make_stream_releases,
)
from balsamreach.gateway.relay_curl import RelayCurl
from balsamreach.peers.net import TcpPeerNet
from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.relay.attempt_parts import RelayAttemptParts
from balsamreach.relay.attempt_results import AttemptClassifier
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.codec import Codec
from balsamreach.relay.prepaid_spending import PrepaidSpending
from balsamreach.relay.request_log import make_request_log
from balsamreach.relay.run import RelayRunParts
from balsamreach.services.outside import Outside
from balsamreach.telemetry.metrics import Metrics


@attrs.define(kw_only=True)
class RelayParts:
    """The components of a relay router, except its listeners and feeds."""

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
    sharing: Sharing
    holdings: Holdings
    link_parts: LinkParts
    forwarding: ForwardingParts
    run: RelayRunParts


def make_relay_parts(
    cfg: Settings,
    codec: Codec,
    outside: Outside,
) -> RelayParts:
    """Create the components of a router, without starting them.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    codec : Codec
        Translates between the relay's types and HTTP messages.
    outside : Outside
        Clients of the platform's services.
    """
    builder = _make_builder(cfg, outside)
    exchange = RelayCurl(cfg.relay.connect_timeout)
    holdings = builder.make_holdings()
    chooser = make_chooser(
        cfg.host.zone,
        builder.net,
        builder.view,
        builder.clock,
        builder.rng,
        builder.metrics,
    )
    forwarding = make_forwarding_parts(
        cfg, builder.net, chooser, builder.link_parts.connect_timeout
    )
    return RelayParts(
        cfg=cfg,
        clock=builder.clock,
        rng=builder.rng,
        metrics=builder.metrics,
        net=builder.net,
        view=builder.view,
        freshness_check=builder.freshness_check,
        places=chooser.places,
        chooser=chooser,
        exchange=exchange,
        sharing=make_sharing(
            builder.net, chooser, builder.clock, builder.metrics
        ),
        holdings=holdings,
        link_parts=builder.link_parts,
        forwarding=forwarding,
        run=builder.make_run(codec, exchange, chooser, holdings, forwarding),
    )


def _make_builder(cfg: Settings, outside: Outside) -> '_PartsBuilder':
    clock, rng, metrics = SystemClock(), random.Random(), Metrics()
    incarnation = uuid.uuid4().hex
    net = make_peer_net(cfg, incarnation, clock, rng, metrics, outside.hosts)
    builder = _PartsBuilder(cfg, net, outside, clock, rng, metrics)
    net.local_status.table_version = lambda: builder.view.version
    return builder


@attrs.define
class _PartsBuilder:
    """Creates components from the dependencies that they share."""

    cfg: Settings
    net: TcpPeerNet
    outside: Outside
    clock: Clock
    rng: random.Random
    metrics: Metrics
    view: CatalogueView = attrs.field(factory=CatalogueView)
    freshness_check: FreshnessCheck = attrs.field(init=False)
    link_parts: LinkParts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the freshness check, whose source is set later."""
        self.freshness_check = FreshnessCheck(self.view, self.clock)
        self.link_parts = make_link_parts(self.cfg, self.net, self.clock)

    def make_holdings(self) -> Holdings:
        """Create what admits requests against held tokens."""
        holdings = Holdings(
            self.outside.table,
            self.view.prepaid,
            self.net.me.incarnation,
            self.cfg.budget,
            self.cfg.relay.spend_window,
            self.net,
            self.outside.times,
            self.net.me.address,
            self.clock,
            self.rng,
            self.metrics,
            self.view.metered,
        )
        home_client = holdings.parts.home_client
        home_client.extra_seconds = self.link_parts.delay.extra_seconds
        return holdings

    def make_run(
        self,
        codec: Codec,
        exchange: RelayCurl,
        chooser: Chooser,
        holdings: Holdings,
        forwarding: ForwardingParts,
    ) -> RelayRunParts:
        """Create the components that process every request."""
        cfg = self.cfg
        quarantine = make_crash_quarantine(
            cfg, self.net, self.clock, self.metrics
        )
        chooser.failures.link_delayed = self.link_parts.delay.is_high
        releases = make_stream_releases(
            cfg.host, self.net, chooser, self.metrics, self.outside
        )
        attempt_parts = RelayAttemptParts(
            codec=codec,
            chooser=chooser,
            exchange=exchange,
            retry_budget=make_retry_budget(cfg.relay, self.net, self.clock),
            classifier=AttemptClassifier(
                chooser, quarantine, self.link_parts.delay.is_high
            ),
            quarantine=quarantine,
            notices=make_notices(chooser, self.metrics),
            clock=self.clock,
            link=self.link_parts.link,
            stream_gap=cfg.relay.stream_gap,
            backup_tokens=cfg.relay.backup_tokens,
            connect_timeout=self.link_parts.connect_timeout,
            forwarder=forwarding.forwarder,
            on_bound=releases.record_begun,
        )
        return RelayRunParts(
            codec=codec,
            spending=PrepaidSpending(holdings, self.view, self.freshness_check),
            quarantine=quarantine,
            link=self.link_parts.link,
            attempt_parts=attempt_parts,
            clock=self.clock,
            log=make_request_log(self.clock, self.metrics),
            releases=releases,
        )
