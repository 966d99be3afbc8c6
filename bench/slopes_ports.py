"""Requests per second of several daemons that share one port."""

import asyncio
import json
import time
from collections.abc import Mapping

from bench.fleet import Fleet, api_key_of, engine_row, start_fleet, team
from bench.slopes_kinds import Size

_TEAM = 'team-a'
_DAEMONS = (1, 2, 4)
_READER_PROCESSES = 2
_ENGINES = 2
_ROWS_PER_ENGINE = 32
_TIMEOUT_S = 200


def measure_shared(size: Size) -> Mapping[str, float]:
    """Measure with 1, 2 and 4 daemons."""
    figures: dict[str, float] = {}
    for daemons in _DAEMONS if not size.smoke else _DAEMONS[1:2]:
        figures |= asyncio.run(_with_daemons(daemons, size))
    return figures


async def _with_daemons(daemons: int, size: Size) -> Mapping[str, float]:
    fleet = await start_fleet()
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            return await _measure(fleet, daemons, size)
    finally:
        await fleet.stop()


async def _measure(
    fleet: Fleet,
    daemons: int,
    size: Size,
) -> Mapping[str, float]:
    await _start_engines(fleet)
    port = '0'
    for _ in range(daemons):
        router = await fleet.router(
            callers__reuse_port='yes',
            callers__port=port,
            callers__leave_delay='0s',
        )
        port = router.address.rpartition(':')[2]
    await _count_answered(fleet, size.scale(100, 4))
    before = [router.cpu_s() for router in fleet.routers]
    began = time.monotonic()
    answered = await _count_answered(fleet, size.scale(300, 4))
    seconds = time.monotonic() - began
    cpu_s = [
        max(0.01, router.cpu_s() - earlier)
        for router, earlier in zip(fleet.routers, before, strict=True)
    ]
    return {
        f'requests_a_second_at_{daemons}': answered / seconds,
        # Possible rate if each daemon had its own core.
        f'requests_a_busiest_cpu_s_at_{daemons}': answered / max(cpu_s),
        f'busiest_share_of_cpu_at_{daemons}': max(cpu_s) / sum(cpu_s),
    }


async def _start_engines(fleet: Fleet) -> None:
    await fleet.write_rows(team(_TEAM))
    for _ in range(_ENGINES):
        engine = await fleet.start('engine', 'bench.stamping', '0')
        for number in range(_ROWS_PER_ENGINE):
            name = f'engine-{engine.pid}-{number}'
            await fleet.write_rows(engine_row(name, engine.address))


async def _count_answered(fleet: Fleet, requests: int) -> int:
    """Send requests, one per connection; return how many were answered."""
    readers = [
        await fleet.start(
            'reader',
            'bench.readers',
            fleet.routers[0].address,
            str(requests),
            '1',
            api_key_of(_TEAM),
        )
        for _ in range(_READER_PROCESSES)
    ]
    lines = await asyncio.gather(*(reader.next_line() for reader in readers))
    return sum(json.loads(line)['whole'] for line in lines)
