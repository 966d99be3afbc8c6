"""Puts together what watches the targets of one router."""

import random

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.gateway.target_client import HttpTargetClient
from balsamreach.peers.base import PeerNet
from balsamreach.platform.hosts_http import HttpHostList
from balsamreach.platform.http import PlatformClient
from balsamreach.targets.registry import Targets
from balsamreach.targets.watch import TargetWatch, WatchParts, make_watch
from balsamreach.telemetry.metrics import Metrics


def open_watch(
    cfg: Settings,
    targets: Targets,
    net: PeerNet,
    hosts: PlatformClient,
    clock: Clock,
    metrics: Metrics,
) -> TargetWatch:
    """Return watchers that speak HTTP to targets and to the host list."""
    return make_watch(
        WatchParts(
            cfg=cfg,
            targets=targets,
            client=HttpTargetClient(cfg, clock),
            net=net,
            hosts=HttpHostList(hosts),
            clock=clock,
            rng=random.Random(),
            metrics=metrics,
        ),
    )
