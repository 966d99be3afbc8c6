"""What relaying one token costs, beside a process that only copies bytes."""

import asyncio
import json

import attrs

from bench.fleet import engine_row, secret_of, team
from bench.processes import Process
from bench.report import Report
from bench.run import Run

_PACE_S = 1 / 15
_PER_SECOND = 15
_ENGINES = 2
_ROWS = 32
_READERS = 2
_MICROSECONDS = 1_000_000
_TEAM = 'team-a'


@attrs.frozen
class Cost:
    """What one way of the streams was seen to cost.

    Parameters
    ----------
    chunk_us : float
        CPU microseconds of the relay for each chunk.
    p50_ms, p99_ms : float
        How long chunks were on their way.
    short, refused : int
        Streams that did not come whole.
    """

    chunk_us: float
    p50_ms: float
    p99_ms: float
    short: int
    refused: int


async def run(run: Run) -> Report:
    """Read the same streams directly, through the pump and the router."""
    report = Report(run.name, run.seed)
    engines = await _start_engines(run)
    router = await run.fleet.router()
    pumps = [
        await run.fleet.start('pump', 'bench.pump', engine.address)
        for engine in engines
    ]
    streams = run.scale(400, 8)
    full = await _compare(run, (engines, pumps, [router]), streams)
    half = full
    if not run.smoke:
        half = await _compare(run, (engines, pumps, [router]), streams // 2)
    _fill(report, full, half)
    return report


async def _start_engines(run: Run) -> list[Process]:
    engines = []
    for number in range(_ENGINES):
        engine = await run.fleet.start(
            'engine',
            'bench.stamping',
            str(_PACE_S),
        )
        engines.append(engine)
        # A router feels its way to what a target can take. A burst of this
        # size on few targets would wait for that, which is not measured
        # here, so each engine stands for many.
        for part in range(_ROWS):
            row = engine_row(f'engine-{number}-{part}', engine.address)
            await run.fleet.put(row)
    await run.fleet.put(team(_TEAM))
    return engines


def _fill(report: Report, full: list[Cost], half: list[Cost]) -> None:
    direct, pump, router = full
    report.figures |= {
        'chunk_cpu_us': router.chunk_us,
        'pump_cpu_us': pump.chunk_us,
        'cost_ratio': router.chunk_us / max(pump.chunk_us, 0.01),
        'added_full_p50_ms': router.p50_ms - direct.p50_ms,
        'added_full_p99_ms': router.p99_ms - direct.p99_ms,
        'added_p50_ms': half[2].p50_ms - half[0].p50_ms,
        'added_p99_ms': half[2].p99_ms - half[0].p99_ms,
        'wrong_answers': sum(cost.short for cost in (router, half[2])),
        'refusals': sum(cost.refused for cost in (router, half[2])),
    }
    report.baseline |= {
        'chunk_cpu_us': pump.chunk_us,
        'added_full_p50_ms': pump.p50_ms - direct.p50_ms,
        'added_full_p99_ms': pump.p99_ms - direct.p99_ms,
        'added_p50_ms': half[1].p50_ms - half[0].p50_ms,
        'added_p99_ms': half[1].p99_ms - half[0].p99_ms,
    }


async def _compare(
    run: Run,
    ways: tuple[list[Process], ...],
    streams: int,
) -> list[Cost]:
    costs = []
    for way in ways:
        run.say(f'{streams} streams by {way[0].name}')
        costs.append(await _measure(run, way, streams))
    return costs


async def _measure(run: Run, way: list[Process], streams: int) -> Cost:
    ramp_s = run.scale(2, 1)
    window_s = run.scale(6, 1)
    tokens = (window_s + 2 * ramp_s) * _PER_SECOND
    readers = [
        await run.fleet.start(
            'reader',
            'bench.readers',
            way[number % len(way)].address,
            str(streams // _READERS),
            str(tokens),
            secret_of(_TEAM),
        )
        for number in range(_READERS)
    ]
    # Connecting and the first tokens are left out; from then on the engines
    # pace the streams, so the number of chunks is known.
    await asyncio.sleep(ramp_s)
    before = sum(process.cpu_s() for process in way)
    await asyncio.sleep(window_s)
    used_s = sum(process.cpu_s() for process in way) - before
    tallies = [await _read_tally(reader) for reader in readers]
    chunks = streams * _PER_SECOND * window_s
    return Cost(
        chunk_us=used_s * _MICROSECONDS / chunks,
        p50_ms=max(tally['p50_ms'] for tally in tallies),
        p99_ms=max(tally['p99_ms'] for tally in tallies),
        short=sum(tally['short'] for tally in tallies),
        refused=sum(tally['refused'] for tally in tallies),
    )


async def _read_tally(reader: Process) -> dict[str, float]:
    return json.loads(await reader.next_line())
