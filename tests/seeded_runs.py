"""Command line of seeded runs of a fleet."""

import asyncio
import logging
import sys
from collections import Counter
from collections.abc import Callable
from typing import Protocol


class SeededFleet(Protocol):
    """The fleet of a run."""

    statuses: Counter


class SeededRun(Protocol):
    """A run whose random choices depend on its seed."""

    events: list[str]
    fleet: SeededFleet

    async def run(self) -> list[str]:
        """Run from start to end and return all breaches."""


def run_seeds(make_run: Callable[[int], SeededRun]) -> int:
    """Run a range of seeds; return 1 if there were breaches, else 0."""
    logging.getLogger().setLevel(logging.CRITICAL)
    first, last = map(int, sys.argv[1:])
    broken = 0
    for seed in range(first, last + 1):
        run = make_run(seed)
        breaches = asyncio.run(run.run())
        broken += bool(breaches)
        summary = f'{len(breaches)} breaches {breaches[:3]}'
        served = dict(run.fleet.statuses)
        sys.stdout.write(f'seed {seed}: {summary} {served} {run.events}\n')
        sys.stdout.flush()
    sys.stdout.write(f'{last - first + 1} seeds, {broken} broken\n')
    return 1 if broken else 0
