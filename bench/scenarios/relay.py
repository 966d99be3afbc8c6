"""Cost of relaying one token, compared with a plain byte-copying proxy.

Direct connections, the proxy (``pump``) and the router are measured in turn,
so that other work on the machine affects all three alike. The figures are
medians over the rounds.
"""

import asyncio
import json
import statistics

import attrs

from bench.audit import read_books
from bench.fleet import api_key_of, engine_row, team
from bench.meter import Meter
from bench.processes import Process
from bench.report import Report
from bench.run import Run

_TOKEN_INTERVAL_S = 1 / 15
_TOKENS_PER_SECOND = 15
_ENGINES = 2
_ROWS_PER_ENGINE = 32
_READER_PROCESSES = 2
_MICROSECONDS = 1_000_000
_TEAM = 'team-a'
_PATHS = ('direct', 'pump', 'router')


@attrs.frozen
class Cost:
    """Cost of one path of the streams in one round.

    Parameters
    ----------
    chunk_us : float
        CPU time per chunk, in microseconds.
    p50_ms, p99_ms : float
        Median and 99th percentile of the latency of chunks.
    whole, short, refused : int
        Numbers of complete, incomplete and refused streams.
    """

    chunk_us: float
    p50_ms: float
    p99_ms: float
    whole: int
    short: int
    refused: int


@attrs.define
class PathCosts:
    """Costs of one path, one entry per round."""

    costs: list[Cost] = attrs.field(factory=list)

    def median(self, name: str) -> float:
        """Return the median of a cost over the rounds."""
        return statistics.median(getattr(cost, name) for cost in self.costs)

    def total(self, name: str) -> int:
        """Return the sum of a count over the rounds."""
        return sum(getattr(cost, name) for cost in self.costs)

    def above_direct(self, name: str, direct: 'PathCosts') -> list[float]:
        """Return the cost above that of the direct path, for each round."""
        return [
            getattr(cost, name) - getattr(base, name)
            for cost, base in zip(self.costs, direct.costs, strict=True)
        ]


async def run(run: Run) -> Report:
    """Read the same streams directly, through the pump and the router."""
    report = Report(run.name, run.seed)
    engines = await _start_engines(run)
    router = await run.fleet.router()
    pumps = [
        await run.fleet.start('pump', 'bench.pump', engine.address)
        for engine in engines
    ]
    paths = dict(zip(_PATHS, (engines, pumps, [router]), strict=True))
    streams = run.scale(400, 8)
    meter = Meter(run.fleet)
    await meter.begin()
    full = await _measure_rounds(run, paths, streams)
    half = (
        full if run.smoke else await _measure_rounds(run, paths, streams // 2)
    )
    await meter.end()
    _fill_report(report, full, half)
    await router.shut_down()
    requests = await _audit(run, report, (full, half))
    metered = meter.figures(requests)
    # With streams this long, requests per core is not a meaningful figure.
    del metered['requests_per_core_s']
    report.figures |= metered
    return report


async def _audit(
    run: Run,
    report: Report,
    loads: tuple[dict[str, PathCosts], ...],
) -> int:
    routed = {id(load): load['router'] for load in loads}.values()
    books = await read_books(run.fleet.table)
    whole = sum(rounds.total('whole') for rounds in routed)
    short = sum(rounds.total('short') for rounds in routed)
    refused = sum(rounds.total('refused') for rounds in routed)
    requests = whole + short + refused
    report.figures |= {
        'requests': requests,
        'wrong_answers': short,
        'cut_streams': short,
        'refusals': refused,
        'overspend_tokens': books.overspend(),
        'double_bills': books.double_billed(),
        'missing_bills': max(0, whole - len(books.bills)),
    }
    return requests


async def _start_engines(run: Run) -> list[Process]:
    engines = []
    for number in range(_ENGINES):
        engine = await run.fleet.start(
            'engine',
            'bench.stamping',
            str(_TOKEN_INTERVAL_S),
        )
        engines.append(engine)
        # A router raises the load on a target step by step until it knows
        # the target's capacity. A burst of this size on few targets would
        # wait for that, which this scenario doesn't measure, so each engine
        # has many rows.
        for part in range(_ROWS_PER_ENGINE):
            row = engine_row(f'engine-{number}-{part}', engine.address)
            await run.fleet.write_rows(row)
    await run.fleet.write_rows(team(_TEAM))
    return engines


def _fill_report(
    report: Report,
    full: dict[str, PathCosts],
    half: dict[str, PathCosts],
) -> None:
    router_us = full['router'].median('chunk_us')
    pump_us = full['pump'].median('chunk_us')
    report.figures |= {
        'chunk_cpu_us': router_us,
        'pump_cpu_us': pump_us,
        'cost_ratio': router_us / max(pump_us, 0.01),
    }
    report.baseline['chunk_cpu_us'] = pump_us
    _add_latencies(report, full, 'added_full_')
    _add_latencies(report, half, 'added_')
    report.series.paths = {
        f'{load}, {path}': {
            quantile: rounds.median(f'{quantile}_ms')
            for quantile in ('p50', 'p99')
        }
        for load, paths in (('full', full), ('half', half))
        for path, rounds in paths.items()
    }


def _add_latencies(
    report: Report,
    paths: dict[str, PathCosts],
    prefix: str,
) -> None:
    for name in ('p50_ms', 'p99_ms'):
        router = paths['router'].above_direct(name, paths['direct'])
        pump = paths['pump'].above_direct(name, paths['direct'])
        report.figures[prefix + name] = statistics.median(router)
        report.baseline[prefix + name] = statistics.median(pump)
        report.figures[f'{prefix}{name}_rounds'] = router
        report.baseline[f'{prefix}{name}_rounds'] = pump


async def _measure_rounds(
    run: Run,
    paths: dict[str, list[Process]],
    streams: int,
) -> dict[str, PathCosts]:
    rounds = {name: PathCosts() for name in paths}
    for number in range(run.scale(3, 1)):
        for name, path in paths.items():
            cost = await _measure(run, path, streams)
            rounds[name].costs.append(cost)
            run.print_progress(
                f'round {number + 1}: {streams:>4} streams, {name:<7}'
                f'{cost.chunk_us:8.1f} us per chunk, p50 {cost.p50_ms:6.2f} ms,'
                f' p99 {cost.p99_ms:7.2f} ms, {cost.refused} refused',
            )
    return rounds


async def _measure(run: Run, path: list[Process], streams: int) -> Cost:
    ramp_s = run.scale(2, 1)
    window_s = run.scale(6, 1)
    tokens = (window_s + 2 * ramp_s) * _TOKENS_PER_SECOND
    readers = [
        await run.fleet.start(
            'reader',
            'bench.readers',
            path[number % len(path)].address,
            str(streams // _READER_PROCESSES),
            str(tokens),
            api_key_of(_TEAM),
        )
        for number in range(_READER_PROCESSES)
    ]
    # The ramp leaves out connecting and the first tokens. After it the engines
    # send at a fixed rate, so the number of chunks is known.
    await asyncio.sleep(ramp_s)
    before = sum(process.cpu_s() for process in path)
    await asyncio.sleep(window_s)
    used_s = sum(process.cpu_s() for process in path) - before
    tallies = [await _read_tally(reader) for reader in readers]
    chunks = streams * _TOKENS_PER_SECOND * window_s
    return Cost(
        chunk_us=used_s * _MICROSECONDS / chunks,
        p50_ms=max(tally['p50_ms'] for tally in tallies),
        p99_ms=max(tally['p99_ms'] for tally in tallies),
        whole=sum(tally['whole'] for tally in tallies),
        short=sum(tally['short'] for tally in tallies),
        refused=sum(tally['refused'] for tally in tallies),
    )


async def _read_tally(reader: Process) -> dict[str, float]:
    return json.loads(await reader.next_line())
