"""Puts the parts of one router together from its settings."""

import random
import uuid

import attrs

from balsamreach.budget.budgets import Budgets
from balsamreach.clock import Clock, SystemClock
from balsamreach.config.settings import Settings
from balsamreach.daemon.clients import platform_client, table_service
from balsamreach.daemon.net import make_net
from balsamreach.daemon.table_parts import (
    TableNeeds,
    TableParts,
    make_table_parts,
)
from balsamreach.daemon.target_watch import (
    WatchNeeds,
    WatchRunner,
    open_watch,
)
from balsamreach.dispatch.dispatcher import Dispatcher
from balsamreach.dispatch.remote_runs import make_remote_run_parts
from balsamreach.dispatch.request_attempts import (
    AttemptParts,
    make_attempt_parts,
)
from balsamreach.dispatch.run import RunParts
from balsamreach.gateway.curl_upstream import CurlUpstream
from balsamreach.gateway.traced_upstream import TracedUpstream
from balsamreach.peers.net import TcpPeerNet
from balsamreach.requests.claims import Claims
from balsamreach.requests.registry import AnswerRegistry
from balsamreach.routing.routing import Routing, make_routing
from balsamreach.services.base import TableService
from balsamreach.services.hosts_http import HttpHostList, HttpWeightStore
from balsamreach.services.objects_http import HttpObjectStore
from balsamreach.targets.registry import Targets
from balsamreach.telemetry.metrics import Metrics


@attrs.define(kw_only=True)
class Parts:
    """Everything one router consists of, except its listeners.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    incarnation : str
        Identity of this start of the router.
    """

    cfg: Settings
    incarnation: str
    clock: Clock
    rng: random.Random
    metrics: Metrics
    net: TcpPeerNet
    service: TableService
    table: TableParts
    targets: Targets
    routing: Routing
    budgets: Budgets
    upstream: CurlUpstream
    dispatcher: Dispatcher
    watch: WatchRunner


def make_parts(cfg: Settings) -> Parts:
    """Make the parts of a router.

    Parameters
    ----------
    cfg : Settings
        The router's settings.

    Returns
    -------
    Parts
        Parts that share one clock, one source of randomness and one
        incarnation; nothing is started or sent yet.
    """
    net = make_net(
        cfg,
        uuid.uuid4().hex,
        SystemClock(),
        random.Random(),
        Metrics(),
        HttpHostList(platform_client(cfg, cfg.platform.hosts)),
    )
    clock = net.clock
    service = table_service(cfg, net.metrics, clock)
    table = _make_table(cfg, net, service)
    targets = Targets(warm_time=cfg.power.warm_time)
    budgets = _make_budgets(cfg, net, service)
    routing = make_routing(cfg, targets, clock, net.rng, net.metrics, net)
    watch = _make_watch(cfg, net, service, targets, routing)
    upstream = CurlUpstream(cfg)
    attempt_parts = make_attempt_parts(
        cfg.requests,
        routing,
        TracedUpstream(upstream, net.metrics, clock),
        watch.watch.announcements,
    )
    return Parts(
        cfg=cfg,
        incarnation=net.me.incarnation,
        clock=clock,
        rng=net.rng,
        metrics=net.metrics,
        net=net,
        service=service,
        table=table,
        targets=targets,
        routing=routing,
        budgets=budgets,
        upstream=upstream,
        dispatcher=_make_dispatcher(cfg, net, budgets, targets, attempt_parts),
        watch=watch,
    )


def _make_table(
    cfg: Settings,
    net: TcpPeerNet,
    service: TableService,
) -> TableParts:
    objects = HttpObjectStore(platform_client(cfg, cfg.platform.objects))
    table = make_table_parts(
        TableNeeds(
            cfg=cfg,
            service=service,
            objects=objects,
            net=net,
            clock=net.clock,
            rng=net.rng,
            metrics=net.metrics,
        ),
    )
    net.greeter.table_version = table.follower.announced
    return table


def _make_budgets(
    cfg: Settings,
    net: TcpPeerNet,
    service: TableService,
) -> Budgets:
    return Budgets(
        service,
        net.me.incarnation,
        cfg.budget,
        net.clock,
        net=net,
        # With port 0 the next router on this host gets another port, and a
        # later one on the same port need not be this one's successor.
        address=net.me.address if cfg.peers.port else '',
        rng=net.rng,
        metrics=net.metrics,
    )


def _make_watch(
    cfg: Settings,
    net: TcpPeerNet,
    service: TableService,
    targets: Targets,
    routing: Routing,
) -> WatchRunner:
    hosts = HttpHostList(platform_client(cfg, cfg.platform.hosts))
    weights = HttpWeightStore(platform_client(cfg, cfg.platform.weights))
    return open_watch(
        WatchNeeds(
            cfg=cfg,
            targets=targets,
            routing=routing,
            net=net,
            hosts=hosts,
            weights=weights,
            service=service,
            clock=net.clock,
            metrics=net.metrics,
        ),
    )


def _make_dispatcher(
    cfg: Settings,
    net: TcpPeerNet,
    budgets: Budgets,
    targets: Targets,
    attempt_parts: AttemptParts,
) -> Dispatcher:
    clock, metrics = net.clock, net.metrics
    answers = AnswerRegistry(cfg.requests, clock, metrics)
    claims = Claims(budgets.service, net.me.incarnation, clock, metrics)
    remote_runs = make_remote_run_parts(
        net, answers, attempt_parts, targets, cfg
    )
    registration = budgets.book.registration
    remote_runs.directory.is_new_address = lambda: registration.is_new_address
    return Dispatcher(
        RunParts(
            budgets=budgets,
            claims=claims,
            answers=answers,
            attempt_parts=attempt_parts,
            remote_runs=remote_runs,
        ),
    )
