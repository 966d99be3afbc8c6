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
_LONG_S = 0.005


class TurnSelector(selectors.EpollSelector):
    """Selector that records the CPU time between two waits."""

    turns: ClassVar[list[float]] = []

    def __init__(self) -> None:
        super().__init__()
        self._woke_at = time.thread_time()

    def select(self, timeout: float | None = None) -> list:
        """Record the iteration that ends here and wait for events."""
        self.turns.append(time.thread_time() - self._woke_at)
        events = super().select(timeout)
        self._woke_at = time.thread_time()
        return events


def print_turns(*_signal: object) -> None:
    """Print statistics of the iterations since the last call."""
    turns = sorted(TurnSelector.turns)
    TurnSelector.turns.clear()
    line = json.dumps(
        {
            'turns': len(turns),
            'p99_ms': round(turns[len(turns) * 99 // 100] * _MS, 2),
            'max_ms': round(turns[-1] * _MS, 2),
            'over_5_ms': sum(turn > _LONG_S for turn in turns),
        },
    )
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def measure() -> None:
    """Measure a router with many targets and no callers."""
    fleet = await start_fleet()
    try:
        await _watch(fleet)
    finally:
        await fleet.stop()


async def _watch(fleet: Fleet) -> None:
    engine = await fleet.start('engine', 'bench.stamping', '1')
    for number in range(_TARGETS):
        await fleet.put(engine_row(f'engine-{number}', engine.address))
    fleet.router_module = 'bench.turns'
    router = await fleet.router()
    await _read_turns(router, _SETTLE_S)
    for _ in range(_WINDOWS):
        line = await _read_turns(router, _WINDOW_S)
        sys.stdout.write(line)


async def _read_turns(router: Process, seconds: float) -> str:
    await asyncio.sleep(seconds)
    router.signal(signal.SIGUSR1)
    line = await router.next_line()
    return line.decode()


def main() -> None:
    """Run the measurement, or the measured router if there are arguments."""
    if len(sys.argv) == 1:
        asyncio.run(measure())
        return
    selectors.DefaultSelector = TurnSelector
    signal.signal(signal.SIGUSR1, print_turns)
    run_command()


if __name__ == '__main__':
    main()
