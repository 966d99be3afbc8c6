"""Creates what all requests of a router share."""

from balsamreach.clock import Clock
from balsamreach.config.settings import HostSettings, Settings
from balsamreach.peers.base import PeerNet
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.quarantine import CrashQuarantine, make_quarantine
from balsamreach.relay.stream_releases import StreamReleases
from balsamreach.services.outside import Outside
from balsamreach.telemetry.metrics import Metrics


def make_stream_releases(
    cfg: HostSettings,
    net: PeerNet,
    chooser: Chooser,
    metrics: Metrics,
    outside: Outside,
) -> StreamReleases:
    """Create and start what knows the releases that began streams.

    Parameters
    ----------
    cfg : HostSettings
        Whether the fleet starts for the first time.
    net : PeerNet
        Peer network.
    chooser : Chooser
        Chooser of the targets.
    metrics : Metrics
        Counts streams that are taken up again.
    outside : Outside
        Clients of the platform's services.
    """
    releases = StreamReleases(
        net,
        chooser.places.releases,
        chooser.clock,
        metrics,
        outside.releases,
        outside.times,
        is_first_start=cfg.first_start,
    )
    releases.start()
    return releases


def make_crash_quarantine(
    cfg: Settings, net: PeerNet, clock: Clock, metrics: Metrics
) -> CrashQuarantine:
    """Return the quarantine of requests that crash targets.

    Parameters
    ----------
    cfg : Settings
        Number of targets that a request may crash.
    net : PeerNet
        Peer network.
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts requests that are refused.
    """
    return make_quarantine(cfg.routing.crash_targets, clock, metrics, net)
