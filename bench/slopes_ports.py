"""Requests per second of several daemons that share one port."""

import asyncio
import json
import time
from collections.abc import Mapping

from bench.fleet import Fleet, engine_row, secret_of, start_fleet, team
from bench.slopes_kinds import Size

_TEAM = 'team-a'
_DAEMONS = (1, 2, 4)
_READERS = 2
_ENGINES = 2
_ROWS = 32
_LONGEST_S = 200


def measure_shared(size: Size) -> Mapping[str, float]:
    """Measure with 1, 2 and 4 daemons."""
    figures: dict[str, float] = {}
    for daemons in _DAEMONS if not size.smoke else _DAEMONS[1:2]:
        figures |= asyncio.run(_with_daemons(daemons, size))
    return figures


async def _with_daemons(daemons: int, size: Size) -> Mapping[str, float]:
    fleet = await start_fleet()
    try:
        async with asyncio.timeout(_LONGEST_S):
            return await _measure(fleet, daemons, size)
    finally:
        await fleet.stop()


async def _measure(
    fleet: Fleet,
    daemons: int,
    size: Size,
) -> Mapping[str, float]:
    await _fill(fleet)
    port = '0'
    for _ in range(daemons):
        router = await fleet.router(
            callers__reuse_port='yes',
            callers__port=port,
            callers__leave_delay='0s',
        )
        port = router.address.rpartition(':')[2]
    await _read(fleet, size.scale(100, 4))
    before = [router.cpu_s() for router in fleet.routers]
    began = time.monotonic()
    answered = await _read(fleet, size.scale(300, 4))
    seconds = time.monotonic() - began
    used = [
        max(0.01, router.cpu_s() - earlier)
        for router, earlier in zip(fleet.routers, before, strict=True)
    ]
    return {
        f'requests_a_second_at_{daemons}': answered / seconds,
        # Possible rate if each daemon had its own core.
        f'requests_a_busiest_cpu_s_at_{daemons}': answered / max(used),
        f'busiest_share_of_cpu_at_{daemons}': max(used) / sum(used),
    }


async def _fill(fleet: Fleet) -> None:
    await fleet.put(team(_TEAM))
    for _ in range(_ENGINES):
        engine = await fleet.start('engine', 'bench.stamping', '0')
        for number in range(_ROWS):
            name = f'engine-{engine.pid}-{number}'
            await fleet.put(engine_row(name, engine.address))


async def _read(fleet: Fleet, requests: int) -> int:
    """Send requests, one per connection; return how many were answered."""
    readers = [
        await fleet.start(
            'reader',
            'bench.readers',
            fleet.routers[0].address,
            str(requests),
            '1',
            secret_of(_TEAM),
        )
        for _ in range(_READERS)
    ]
    told = await asyncio.gather(*(reader.next_line() for reader in readers))
    return sum(json.loads(line)['whole'] for line in told)
