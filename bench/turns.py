"""CPU time per event loop iteration of a router: ``python -m bench.turns``.

During an iteration every open stream waits. CPU time is measured, since wall
time on a shared machine says little. Without arguments this starts a router
with many targets and no callers and prints the CPU times of its iterations.
With arguments it is that router, which prints a line at each SIGUSR1.
"""

import asyncio
import json
import selectors
import signal
import sys
import time
from typing import ClassVar

from balsamreach.ui.main import main as run_command
from bench.fleet import Fleet, engine_row, start_fleet
from bench.processes import Process

_TARGETS = 64
_SETTLE_S = 8
_WINDOW_S = 10
_WINDOWS = 3
_MS = 1000
_LONG_ITERATION_S = 0.005


class CpuTimeSelector(selectors.EpollSelector):
    """Selector that records the CPU time between two waits."""

    iterations: ClassVar[list[float]] = []

    def __init__(self) -> None:
        super().__init__()
        self._resumed_at = time.thread_time()

    def select(self, timeout: float | None = None) -> list:
        """Record the iteration that ends here and wait for events."""
        self.iterations.append(time.thread_time() - self._resumed_at)
        events = super().select(timeout)
        self._resumed_at = time.thread_time()
        return events


def print_iterations(*_signal: object) -> None:
    """Print statistics of the iterations since the last call."""
    iterations = sorted(CpuTimeSelector.iterations)
    CpuTimeSelector.iterations.clear()
    line = json.dumps(
        {
            'turns': len(iterations),
            'p99_ms': round(iterations[len(iterations) * 99 // 100] * _MS, 2),
            'max_ms': round(iterations[-1] * _MS, 2),
            'over_5_ms': sum(cpu_s > _LONG_ITERATION_S for cpu_s in iterations),
        },
    )
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def measure() -> None:
    """Measure a router with many targets and no callers."""
    fleet = await start_fleet()
    try:
        await _measure_router(fleet)
    finally:
        await fleet.stop()


async def _measure_router(fleet: Fleet) -> None:
    engine = await fleet.start('engine', 'bench.stamping', '1')
    for number in range(_TARGETS):
        await fleet.write_rows(engine_row(f'engine-{number}', engine.address))
    fleet.router_module = 'bench.turns'
    router = await fleet.router()
    await _read_iterations(router, _SETTLE_S)
    for _ in range(_WINDOWS):
        line = await _read_iterations(router, _WINDOW_S)
        sys.stdout.write(line)


async def _read_iterations(router: Process, seconds: float) -> str:
    await asyncio.sleep(seconds)
    router.signal(signal.SIGUSR1)
    line = await router.next_line()
    return line.decode()


def main() -> None:
    """Run the measurement, or the measured router if there are arguments."""
    if len(sys.argv) == 1:
        asyncio.run(measure())
        return
    selectors.DefaultSelector = CpuTimeSelector
    signal.signal(signal.SIGUSR1, print_iterations)
    run_command()


if __name__ == '__main__':
    main()
