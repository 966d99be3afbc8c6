"""Cost of recording which release began a stream."""

import asyncio
import random
import time
from collections.abc import Iterable, Mapping

import attrs

from balsamreach.catalogue.entries import Route, Split
from balsamreach.peers.base import HubSelector, NoHubs
from balsamreach.peers.hubs import pick_hubs
from balsamreach.placement.service_releases import ServiceReleases
from balsamreach.relay.call import RelayCall
from balsamreach.relay.release_records import ReleaseRecords
from balsamreach.relay.stream_releases import StreamReleases
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Member
from bench.rates_net import SimulatedNet, SimulatedNetwork
from bench.slopes_kinds import Measure, Size, bytes_each, cpu_us_since

_FLEETS = (8, 910)
_MAX_FULL_MESH = 17
_HUBS_PER_ZONE = 2
_SERVICE = 'engines'
_RELEASES = ('v1.1', 'v1.2')
_ROUTE = Route(
    name='stream',
    host='host.example',
    prefix='/',
    splits=(Split(_SERVICE),),
    streams=True,
    resumable=True,
)
#: Seconds between two streams of a router at the target size.
_INTERVAL_S = 1 / 80


class _FixedHubs(HubSelector):
    """The hubs of a fleet that is too large for a full mesh.

    Parameters
    ----------
    members : iterable of Member
        The routers.
    """

    def __init__(self, members: Iterable[Member]) -> None:
        everyone = tuple(members)
        zones = sorted({member.zone for member in everyone})
        self._by_zone = {
            zone: pick_hubs(everyone, zone, _HUBS_PER_ZONE) for zone in zones
        }

    def hubs_of(self, zone: str) -> tuple[Member, ...]:
        """Return the hubs of a zone."""
        return self._by_zone[zone]

    def zones(self) -> tuple[str, ...]:
        """Return all zones."""
        return tuple(self._by_zone)


@attrs.define(eq=False)
class _Streams:
    """Streams that begin and end at one router of a fleet."""

    routers: int
    size: Size
    releases: tuple[str, ...] = _RELEASES
    network: SimulatedNetwork = attrs.field(init=False)
    began: list[RelayCall] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.network = SimulatedNetwork(
            self.routers, self.size.seed, decodes=True
        )
        rng = random.Random(self.size.seed)
        count = self.size.scale(full=2000, small=20)
        self.began = [_make_call(rng) for _ in range(count)]

    async def run(self) -> float:
        """Return CPU microseconds for each stream, both ends together."""
        nets = self.network.nets.values()
        hubs = make_hubs(net.me for net in nets)
        routers = [self._make_router(net, hubs) for net in nets]
        began_at = time.process_time()
        for call in self.began:
            self.network.clock.seconds += _INTERVAL_S
            routers[0].record_begun(call)
            routers[0].run_round()
            await self.network.deliver()
            routers[0].record_end(call)
        return cpu_us_since(began_at, len(self.began))

    def _make_router(
        self, net: SimulatedNet, hubs: HubSelector
    ) -> StreamReleases:
        net.hubs = hubs
        clock = self.network.clock
        services = ServiceReleases(clock, lambda: True)
        for release in self.releases:
            services.add(_SERVICE, release)
        releases = StreamReleases(net, services, clock, Metrics())
        releases.start()
        return releases


def make_hubs(members: Iterable[Member]) -> HubSelector:
    """Return the hubs of a fleet, none of a small one."""
    everyone = tuple(members)
    if len(everyone) <= _MAX_FULL_MESH:
        return NoHubs()
    return _FixedHubs(everyone)


def _make_call(rng: random.Random) -> RelayCall:
    return RelayCall(
        request_id=f'{rng.getrandbits(64):016x}',
        method='POST',
        path='/',
        headers=(),
        body=b'',
        route=_ROUTE,
        service=_SERVICE,
        priority=0,
        deadline=0,
        release=_RELEASES[0],
    )


def _releases(size: Size) -> Mapping[str, float]:
    figures = {}
    for routers in _FLEETS:
        streams = _Streams(routers, size)
        count = len(streams.began)
        figures[f'stream_us_at_{routers}'] = asyncio.run(streams.run())
        sent = sum(streams.network.sent.values())
        sent_bytes = sum(streams.network.sent_bytes.values())
        figures[f'messages_each_at_{routers}'] = sent / count
        own = next(iter(streams.network.nets))
        own_bytes = streams.network.sent_bytes[own]
        figures[f'own_bytes_each_at_{routers}'] = own_bytes / count
        figures[f'bytes_each_at_{routers}'] = sent_bytes / count
    one = _Streams(_FLEETS[0], size, _RELEASES[:1])
    figures['one_release_us'] = asyncio.run(one.run())
    figures['one_release_messages'] = sum(one.network.sent.values())
    count = size.scale(full=15_000, small=100)
    figures['record_bytes'] = bytes_each(_make_records, count)
    return figures


def _make_records(count: int) -> ReleaseRecords:
    records = ReleaseRecords(SimulatedNetwork(1, 1).clock)
    for number in range(count):
        records.put(number, _RELEASES[0], 1)
    return records


MEASURES: dict[str, Measure] = {'releases': _releases}
