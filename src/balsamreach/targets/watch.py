"""All that watches targets, put together and run."""

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
from balsamreach.targets.marks import Marks
from balsamreach.targets.poller import LoadPoller, PollerParts
from balsamreach.targets.registry import Targets
from balsamreach.targets.sharing import LoadSharing
from balsamreach.telemetry.metrics import Metrics


@attrs.frozen(kw_only=True)
class WatchParts:
    """What watching targets needs."""

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
    marks : Marks
        Leaving marks.
    loads : LoadPoller
        Load reports and health.
    cache : CacheFollower
        Cache events.
    hosts : HostFollower
        The platform's list.
    announcements : Announcements
        What targets say of their leaving in answers.
    """

    marks: Marks
    loads: LoadPoller
    cache: CacheFollower
    hosts: HostFollower
    announcements: Announcements

    async def run(self) -> None:
        """Watch until cancelled."""
        await asyncio.gather(
            self.loads.run(),
            self.cache.run(),
            self.hosts.run(),
        )


def make_watch(parts: WatchParts) -> TargetWatch:
    """Return the watchers over one set of targets."""
    cfg, targets, net = parts.cfg, parts.targets, parts.net
    clock, metrics = parts.clock, parts.metrics
    marks = Marks(targets, net, metrics)
    loads = LoadPoller(
        PollerParts(
            cfg=cfg,
            client=parts.client,
            clock=clock,
            health=Health(cfg, clock, parts.rng, metrics),
            marks=marks,
            metrics=metrics,
            sharing=LoadSharing(targets, net, clock, metrics),
        ),
    )
    announcements = Announcements(marks, loads, clock, metrics)
    parts.client.on_head = announcements.take_from
    return TargetWatch(
        marks=marks,
        loads=loads,
        cache=CacheFollower(cfg, targets, parts.client, clock, metrics),
        hosts=HostFollower(cfg, parts.hosts, marks, net, clock),
        announcements=announcements,
    )
