"""Command line: ``python -m bench [SCENARIO ...] --seed N``."""

import asyncio
import importlib
import signal
import sys
from pathlib import Path
from typing import Any

import click

from bench.fleet import start_fleet
from bench.plots import draw
from bench.report import Report
from bench.run import Run

SCENARIOS = (
    'steady',
    'skew',
    'partition',
    'crash',
    'platform',
    'flood',
    'leaving',
    'demand',
    'double',
    'relay',
)
_OUT = Path('build') / 'bench'
_LONGEST_S = 300


@click.command()
@click.argument('names', nargs=-1, type=click.Choice(SCENARIOS))
@click.option('--seed', default=1, show_default=True)
@click.option('--smoke', is_flag=True, help='A few requests only.')
@click.option('--sabotage', is_flag=True, help='Overspend, to see it found.')
@click.option('--out', default=_OUT, type=click.Path(path_type=Path))
def main(names: tuple[str, ...], out: Path, **options: Any) -> None:
    """Run scenarios, print their figures and write them as JSON."""
    broken = []
    for name in names or SCENARIOS:
        report = asyncio.run(run_scenario(name, **options))
        report.write(out)
        draw(report, out)
        click.echo(report.table())
        broken += [f'{name}: {line}' for line in report.broken()]
    for line in broken:
        click.echo(f'BROKEN {line}', err=True)
    sys.exit(1 if broken else 0)


async def run_scenario(name: str, **options: Any) -> Report:
    """Run one scenario, bounded in time, and end its processes."""
    scenario = importlib.import_module(f'bench.scenarios.{name}')
    # Ended without a word, the harness would leave its processes behind.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    fleet = await start_fleet()
    try:
        async with asyncio.timeout(_LONGEST_S):
            return await scenario.run(Run(name, fleet=fleet, **options))
    finally:
        await fleet.stop()


if __name__ == '__main__':
    main()
