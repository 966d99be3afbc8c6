"""Cost of finding parts of prompts that crash targets."""

import asyncio
import random
import time
from collections.abc import Mapping

import attrs

from balsamreach.catalogue.entries import Route, Split
from balsamreach.placement.prompts import Part, Prompt
from balsamreach.relay.call import RelayCall
from balsamreach.relay.part_quarantine import PartQuarantine
from balsamreach.routing.part_suspects import PartBreak
from balsamreach.telemetry.metrics import Metrics
from bench.rates_net import SimulatedNetwork
from bench.slopes_kinds import Measure, Size, bytes_each, cpu_us_since
from bench.slopes_releases import make_hubs

_FLEETS = (8, 910)
_SERVICE = 'engines'
_ROUTE = Route(
    name='stream',
    host='host.example',
    prefix='/',
    splits=(Split(_SERVICE),),
    streams=True,
)
#: Streams at the targets of a rack, and shared parts of each prompt, which
#: no other prompt has.
_STREAMS = 5000
_PARTS = 2
_TARGETS = 40


def _make_call(rng: random.Random) -> RelayCall:
    names = (f'{rng.getrandbits(32):08x}' for _ in range(_PARTS + 1))
    prompt = Prompt(
        model='model-a',
        tokens=100,
        max_output_tokens=50,
        parts=tuple(Part(name, 30) for name in names),
    )
    return RelayCall(
        request_id=f'{rng.getrandbits(64):016x}',
        method='POST',
        path='/',
        headers=(),
        body=rng.randbytes(20),
        route=_ROUTE,
        service=_SERVICE,
        priority=0,
        deadline=0,
        prompt=prompt,
    )


@attrs.define(eq=False)
class _Rack:
    """A rack that dies with streams of all routers, none of them answered."""

    routers: int
    size: Size
    network: SimulatedNetwork = attrs.field(init=False)
    quarantines: list[PartQuarantine] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.network = SimulatedNetwork(
            self.routers, self.size.seed, decodes=True
        )
        hubs = make_hubs(net.me for net in self.network.nets.values())
        self.quarantines = []
        for net in self.network.nets.values():
            net.hubs = hubs
            self.quarantines.append(
                PartQuarantine(self.network.clock, Metrics(), net)
            )

    async def die(self) -> float:
        """Return CPU microseconds for each stream, all routers together."""
        rng = random.Random(self.size.seed)
        count = self.size.scale(full=_STREAMS, small=20)
        calls = [_make_call(rng) for _ in range(count)]
        clock = self.network.clock
        clock.seconds += 1
        began_at = time.process_time()
        for number, call in enumerate(calls):
            router = self.quarantines[number % self.routers]
            broken = PartBreak(
                f'target-{number % _TARGETS}',
                call.fingerprint,
                clock.seconds - 0.1,
                clock.seconds,
            )
            router.record_break(call, broken)
        clock.seconds += 0.1
        for router in self.quarantines:
            router.run_round()
        await self.network.deliver()
        return cpu_us_since(began_at, count)


def _parts(size: Size) -> Mapping[str, float]:
    rng = random.Random(size.seed)
    quarantine = PartQuarantine(SimulatedNetwork(1, 1).clock, Metrics())
    calls = [_make_call(rng) for _ in range(size.scale(full=4000, small=20))]
    began_at = time.process_time()
    for call in calls:
        quarantine.check(call)
    figures = {'check_us': cpu_us_since(began_at, len(calls))}
    began_at = time.process_time()
    for call in calls:
        quarantine.record_answer(call)
    figures['answer_us'] = cpu_us_since(began_at, len(calls))
    for routers in _FLEETS:
        rack = _Rack(routers, size)
        figures[f'rack_us_a_stream_at_{routers}'] = asyncio.run(rack.die())
        received = sum(rack.network.sent_bytes.values()) / routers
        figures[f'rack_bytes_each_router_at_{routers}'] = received
        figures[f'rack_messages_at_{routers}'] = sum(rack.network.sent.values())
    figures['part_bytes'] = bytes_each(_answered, size.scale(4000, 100))
    return figures


def _answered(count: int) -> PartQuarantine:
    quarantine = PartQuarantine(SimulatedNetwork(1, 1).clock, Metrics())
    rng = random.Random(1)
    for _ in range(count // _PARTS):
        quarantine.record_answer(_make_call(rng))
    return quarantine


MEASURES: dict[str, Measure] = {'parts': _parts}
