"""Creates and runs everything that watches targets."""

import asyncio
import random

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.peers.base import PeerNet
from balsamreach.services.base import HostList
from balsamreach.targets.announcements import Announcements
from balsamreach.targets.cache_follower import CacheFollower
from balsamreach.targets.client import TargetClient
from balsamreach.targets.health import Health
from balsamreach.targets.host_follower import HostFollower
from balsamreach.targets.leaving_marks import LeavingMarks
from balsamreach.targets.poller import LoadPoller, PollerParts
from balsamreach.targets.registry import Targets
from balsamreach.targets.report_sharing import ReportSharing
from balsamreach.telemetry.metrics import Metrics


@attrs.frozen(kw_only=True)
class WatchParts:
    """The services that the watchers need."""

    cfg: Settings
    targets: Targets
    client: TargetClient
    net: PeerNet
    hosts: HostList
    clock: Clock
    rng: random.Random
    metrics: Metrics


@attrs.frozen
class TargetWatch:
    """The watchers of one router.

    Parameters
    ----------
    marks : LeavingMarks
        Sets leaving marks.
    poller : LoadPoller
        Polls load reports and checks health.
    cache : CacheFollower
        Requests cache events.
    hosts : HostFollower
        Reads the platform's host list.
    announcements : Announcements
        Applies what targets announce in response headers.
    """

    marks: LeavingMarks
    poller: LoadPoller
    cache: CacheFollower
    hosts: HostFollower
    announcements: Announcements

    async def run(self) -> None:
        """Run all watchers until cancelled."""
        await asyncio.gather(
            self.poller.run(),
            self.cache.run(),
            self.hosts.run(),
        )


def make_watch(parts: WatchParts) -> TargetWatch:
    """Return the watchers of one set of targets."""
    cfg, targets, net = parts.cfg, parts.targets, parts.net
    clock, metrics = parts.clock, parts.metrics
    marks = LeavingMarks(targets, net, metrics)
    poller = LoadPoller(
        PollerParts(
            cfg=cfg,
            client=parts.client,
            clock=clock,
            health=Health(cfg, clock, parts.rng, metrics),
            marks=marks,
            metrics=metrics,
            sharing=ReportSharing(targets, net, clock, metrics),
        ),
    )
    announcements = Announcements(marks, poller, clock, metrics)
    parts.client.on_head = announcements.take_by_address
    return TargetWatch(
        marks=marks,
        poller=poller,
        cache=CacheFollower(cfg, targets, parts.client, clock, metrics),
        hosts=HostFollower(cfg, parts.hosts, marks, net, clock),
        announcements=announcements,
    )
