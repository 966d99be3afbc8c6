"""Creates a router's peer network from its settings."""

import random

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.peers.discovery import Discovery
from balsamreach.peers.net import TcpPeerNet
from balsamreach.services.base import HostList
from balsamreach.telemetry.metrics import Metrics
from balsamreach.telemetry.traces import Tracing
from balsamreach.wire.membership import Member


def make_peer_net(
    cfg: Settings,
    incarnation: str,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
    hosts: HostList,
) -> TcpPeerNet:
    """Create the peer network of a router, without opening sockets.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    incarnation : str
        Identity of this run of the router.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Random number generator.
    metrics : Metrics
        Registry of the metrics.
    hosts : HostList
        List of hosts, used to discover other routers.

    Returns
    -------
    TcpPeerNet
        The peer network. If the configured port is 0, its address has no
        usable port until it is started.
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
