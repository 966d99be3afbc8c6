"""Puts a router's net of peers together from its settings."""

import random

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.peers.discovery import Discovery
from balsamreach.peers.net import TcpPeerNet
from balsamreach.services.base import HostList
from balsamreach.telemetry.metrics import Metrics
from balsamreach.telemetry.traces import Tracing
from balsamreach.wire.membership import Member


def make_net(
    cfg: Settings,
    incarnation: str,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
    hosts: HostList,
) -> TcpPeerNet:
    """Make the net of a router; nothing is opened yet.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    incarnation : str
        Identity of this start.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    metrics : Metrics
        Where peers are counted.
    hosts : HostList
        Where routers are listed.

    Returns
    -------
    TcpPeerNet
        The net; its address has no port before it starts.
    """
    address = cfg.peers.address or cfg.host.address
    me = Member(
        incarnation=incarnation,
        host=cfg.host.name,
        address=f'{address}:{cfg.peers.port}',
        zone=cfg.host.zone,
        started=clock.wall(),
        link=cfg.host.link,
    )
    return TcpPeerNet(
        me=me,
        cfg=cfg,
        clock=clock,
        rng=rng,
        metrics=metrics,
        discovery=Discovery(hosts, cfg.peers.seeds),
        tracing=Tracing(cfg),
    )
