"""Creates what forwards requests while this host's links are lost."""

from collections.abc import Callable

import attrs

from balsamreach.config.settings import PeersSettings, Settings
from balsamreach.curl_tls import CurlTls
from balsamreach.gateway.forwarding_client import HttpForwardingClient
from balsamreach.gateway.relay_curl import RelayCurl
from balsamreach.gateway.target_connector import TcpConnector
from balsamreach.peers.base import PeerNet
from balsamreach.placement.access_checks import AccessChecker
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.forwarding import Forwarder


@attrs.define(kw_only=True)
class ForwardingParts:
    """The components that forward requests.

    Parameters
    ----------
    exchange : RelayCurl
        Connections to other routers.
    forwarder : Forwarder
        Decides which requests are forwarded.
    checker : AccessChecker
        Checks whether targets can be reached.
    """

    exchange: RelayCurl
    forwarder: Forwarder
    checker: AccessChecker

    async def stop(self) -> None:
        """Cancel all checks, and close the connections to other routers."""
        await self.checker.stop()
        self.exchange.close()


def make_forwarding_parts(
    cfg: Settings,
    net: PeerNet,
    chooser: Chooser,
    connect_timeout: Callable[[], float],
) -> ForwardingParts:
    """Create the components, without opening sockets.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    net : PeerNet
        The other routers.
    chooser : Chooser
        Knows the targets, and the failures of connections to them.
    connect_timeout : callable
        Returns the maximum seconds to connect to a target now.
    """
    failures, rng = chooser.failures, chooser.places.rng
    exchange = RelayCurl(cfg.relay.connect_timeout, _make_tls(cfg.peers))
    return ForwardingParts(
        exchange=exchange,
        forwarder=Forwarder(
            failures.access,
            net,
            cfg.peers.fleet,
            HttpForwardingClient(exchange),
            chooser.clock,
            rng,
            failures.metrics,
        ),
        checker=AccessChecker(
            failures,
            cfg.host.zone,
            TcpConnector(),
            chooser.clock,
            rng,
            connect_timeout,
        ),
    )


def _make_tls(peers: PeersSettings) -> CurlTls | None:
    if not peers.tls_certificate:
        return None
    return CurlTls(peers.tls_ca, peers.tls_certificate, peers.tls_key)
