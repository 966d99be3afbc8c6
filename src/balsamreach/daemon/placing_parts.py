"""Creates the components that place and retry relayed requests."""

import random

import attrs

from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock
from balsamreach.config.relay_settings import RelaySettings
from balsamreach.peers.base import PeerNet
from balsamreach.placement.brittle_services import BrittleServices
from balsamreach.placement.cold_targets import ColdTargetLimiter
from balsamreach.placement.engine_costs import EngineCosts
from balsamreach.placement.engine_speeds import EngineSpeeds
from balsamreach.placement.engines import EngineChooser
from balsamreach.placement.evacuations import Evacuations
from balsamreach.placement.failure_sharing import FailureSharing
from balsamreach.placement.notices import Notices
from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.placement.service_releases import ServiceReleases
from balsamreach.placement.services import ServiceChooser
from balsamreach.placement.sharing import LoadSharing
from balsamreach.placement.speed_sharing import SpeedSharing
from balsamreach.placement.target_failures import FailureTracker
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.retry_budget import RelayRetryBudget
from balsamreach.relay.stream_releases import StreamReleases
from balsamreach.services.outside import Outside
from balsamreach.telemetry.metrics import Metrics


@attrs.frozen
class Sharing:
    """What a router exchanges with its peers about targets.

    Parameters
    ----------
    loads : LoadSharing
        Exchanges the loads of engines.
    failures : FailureSharing
        Exchanges failures, in fleets with hubs.
    speeds : SpeedSharing
        Exchanges the speeds of engines, in fleets with hubs.
    """

    loads: LoadSharing
    failures: FailureSharing
    speeds: SpeedSharing


def make_chooser(
    zone: str,
    net: PeerNet,
    view: CatalogueView,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> Chooser:
    """Return a chooser of targets; it knows no target yet.

    Parameters
    ----------
    zone : str
        Zone of this router.
    net : PeerNet
        Peer network.
    view : CatalogueView
        The configuration in force.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Chooses between equally good targets.
    metrics : Metrics
        Counts reported failures and unreachable zones.
    """
    evacuations = Evacuations(clock)
    cold_targets = ColdTargetLimiter(
        lambda: net.me.address,
        lambda: (*net.members(), *net.dead_members()),
        evacuations,
        clock,
    )
    places = RelayTargets(rng, releases=ServiceReleases(clock))
    return Chooser(
        places,
        EngineChooser(
            zone,
            EngineCosts(zone, EngineSpeeds(clock), rng),
            lambda: bool(net.hubs.hubs_of(zone)),
        ),
        ServiceChooser(zone, rng),
        view,
        clock,
        evacuations,
        cold_targets,
        FailureTracker(net.me.incarnation, places, clock, rng, metrics),
        BrittleServices(
            clock,
            net.me.incarnation,
            lambda: tuple(member.incarnation for member in net.members()),
        ),
    )


def make_sharing(
    net: PeerNet, chooser: Chooser, clock: Clock, metrics: Metrics
) -> Sharing:
    """Create and start what is exchanged with peers about targets.

    Parameters
    ----------
    net : PeerNet
        Peer network.
    chooser : Chooser
        Chooser of targets, which uses what peers report.
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Shows the range of the engines' speeds.
    """
    places, speeds = chooser.places, chooser.engines.costs.speeds
    sharing = Sharing(
        LoadSharing(net, places, clock),
        FailureSharing(net, chooser.failures, clock),
        SpeedSharing(net, places, speeds, clock, metrics),
    )
    chooser.on_sent = sharing.loads.on_request_sent
    sharing.loads.start()
    sharing.failures.start()
    sharing.speeds.start()
    return sharing


def make_notices(chooser: Chooser, metrics: Metrics) -> Notices:
    """Return a handler of the notices in targets' response headers.

    Parameters
    ----------
    chooser : Chooser
        Chooser of the targets.
    metrics : Metrics
        Counts notices.
    """
    return Notices(chooser.places, chooser.clock, metrics, chooser.brittle)


def make_stream_releases(
    net: PeerNet, chooser: Chooser, metrics: Metrics, outside: Outside
) -> StreamReleases:
    """Create and start what knows the releases that began streams.

    Parameters
    ----------
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
    )
    releases.start()
    return releases


def make_retry_budget(
    cfg: RelaySettings,
    net: PeerNet,
    clock: Clock,
) -> RelayRetryBudget:
    """Return the retry budget, which bounds the retries of all routers.

    Parameters
    ----------
    cfg : RelaySettings
        Share and slack of retries, and the length of their window.
    net : PeerNet
        Peer network; dead routers count too.
    clock : Clock
        Source of the current time.
    """
    return RelayRetryBudget(
        cfg.retry_share,
        cfg.retry_slack,
        cfg.retry_window,
        clock,
        lambda: len(net.members()) + len(net.dead_members()),
    )
