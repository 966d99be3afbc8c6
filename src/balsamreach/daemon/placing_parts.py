"""Puts together what places and repeats requests that are passed through."""

import random

from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock
from balsamreach.config.relay_settings import RelaySettings
from balsamreach.peers.base import PeerNet
from balsamreach.placement.cold_targets import ColdTargetLimiter
from balsamreach.placement.engines import EngineChooser
from balsamreach.placement.evacuations import Evacuations
from balsamreach.placement.notices import Notices
from balsamreach.placement.relay_targets import RelayTargets
from balsamreach.placement.services import ServiceChooser
from balsamreach.relay.chooser import Chooser
from balsamreach.relay.retry_budget import RelayRetryBudget
from balsamreach.telemetry.metrics import Metrics


def make_chooser(
    zone: str,
    net: PeerNet,
    view: CatalogueView,
    clock: Clock,
    rng: random.Random,
) -> Chooser:
    """Return what chooses targets; it knows none yet.

    Parameters
    ----------
    zone : str
        Zone of this router.
    net : PeerNet
        The other routers.
    view : CatalogueView
        What is known of the services.
    clock : Clock
        Time.
    rng : random.Random
        Chooses among equals.
    """
    evacuations = Evacuations(clock)
    cold_targets = ColdTargetLimiter(
        lambda: net.me.address,
        lambda: (*net.members(), *net.departed()),
        evacuations,
        clock,
    )
    return Chooser(
        RelayTargets(rng),
        EngineChooser(zone),
        ServiceChooser(zone, rng),
        view,
        clock,
        evacuations,
        cold_targets,
    )


def make_notices(
    places: RelayTargets, clock: Clock, metrics: Metrics
) -> Notices:
    """Return what takes in what targets say of themselves.

    Parameters
    ----------
    places : RelayTargets
        All targets.
    clock : Clock
        Time.
    metrics : Metrics
        Counters.
    """
    return Notices(places, clock, metrics)


def make_retry_budget(
    cfg: RelaySettings,
    net: PeerNet,
    clock: Clock,
) -> RelayRetryBudget:
    """Return what bounds the repeats of all routers together.

    Parameters
    ----------
    cfg : RelaySettings
        Share and slack of repeats, and their window.
    net : PeerNet
        The other routers.
    clock : Clock
        Time.
    """
    return RelayRetryBudget(
        cfg.retry_share,
        cfg.retry_slack,
        cfg.retry_window,
        clock,
        lambda: len(net.members()) + len(net.departed()),
    )
