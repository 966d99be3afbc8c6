"""Command line of the scenarios: ``python -m bench [SCENARIO ...]``."""

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
_OUT_DIR = Path('build') / 'bench'
_TIMEOUT_S = 300


@click.command()
@click.argument('names', nargs=-1, type=click.Choice(SCENARIOS))
@click.option('--seed', default=1, show_default=True)
@click.option('--smoke', is_flag=True, help='Send only a few requests.')
@click.option(
    '--sabotage', is_flag=True, help='Record an overspend, which must be found.'
)
@click.option('--out', default=_OUT_DIR, type=click.Path(path_type=Path))
def main(names: tuple[str, ...], out: Path, **options: Any) -> None:
    """Run scenarios, print their figures, write JSON files and plots."""
    broken = []
    for name in names or SCENARIOS:
        report = asyncio.run(run_scenario(name, **options))
        report.write(out)
        draw(report, out)
        click.echo(report.table())
        broken += [f'{name}: {line}' for line in report.broken_promises()]
    for line in broken:
        click.echo(f'BROKEN {line}', err=True)
    sys.exit(1 if broken else 0)


async def run_scenario(name: str, **options: Any) -> Report:
    """Run one scenario within `_TIMEOUT_S` seconds and end its processes.

    Parameters
    ----------
    name : str
        Module name in `bench.scenarios`.
    options : Any
        Other parameters of `Run`.
    """
    scenario = importlib.import_module(f'bench.scenarios.{name}')
    # SIGTERM would end this process without stopping its child processes, so
    # it cancels the task instead.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    fleet = await start_fleet()
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            return await scenario.run(Run(name, fleet=fleet, **options))
    finally:
        await fleet.stop()


if __name__ == '__main__':
    main()
