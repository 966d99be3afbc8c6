"""Marginal costs in CPU, memory and traffic: ``python -m bench.slopes --all``.

The figures of docs/CAPACITY.md are computed from these slopes.
"""

import json
import logging
import os
import statistics
import sys
import time
from pathlib import Path
from typing import Any

import click

from bench import (
    slopes_budgets,
    slopes_cpu,
    slopes_fleet,
    slopes_memory,
    slopes_routing,
    slopes_spread,
    slopes_table,
    slopes_takeover,
)
from bench.slopes_kinds import Measure, Size
from bench.slopes_parts import MEASURES as PART_MEASURES
from bench.slopes_releases import MEASURES as RELEASE_MEASURES

_MEASURES: dict[str, Measure] = {
    **slopes_memory.MEASURES,
    **slopes_cpu.MEASURES,
    **slopes_routing.MEASURES,
    **slopes_table.MEASURES,
    **slopes_spread.MEASURES,
    **slopes_budgets.MEASURES,
    **slopes_takeover.MEASURES,
    **slopes_fleet.MEASURES,
    **RELEASE_MEASURES,
    **PART_MEASURES,
}
_OUT = Path('build') / 'bench' / 'slopes.json'
_RUNS = 3


@click.command()
@click.argument('names', nargs=-1, type=click.Choice(tuple(_MEASURES)))
@click.option('--all', 'everything', is_flag=True, help='Run all measurements.')
@click.option('--runs', default=_RUNS, show_default=True)
@click.option('--smoke', is_flag=True, help='Use small sizes, for the tests.')
def main(names: tuple[str, ...], **options: Any) -> None:
    """Measure slopes by name, print a table, write build/bench/slopes.json."""
    # There would be a log line for each allotment taken over, which would hide
    # the figures.
    logging.disable()
    selected = tuple(_MEASURES) if options['everything'] else names
    figures_by_name: dict[str, Any] = {}
    for name in selected:
        figures_by_name[name] = measure(name, options)
        click.echo(_table(name, figures_by_name[name]))
    _OUT.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(
        {'load': os.getloadavg(), 'slopes': figures_by_name}, indent=2
    )
    _OUT.write_text(f'{text}\n')


def measure(name: str, options: dict[str, Any]) -> dict[str, Any]:
    """Run one measurement several times; return each figure's spread."""
    began = time.monotonic()
    runs = []
    for number in range(options['runs']):
        size = Size(number + 1, options['smoke'])
        runs.append(_MEASURES[name](size))
        passed = time.monotonic() - began
        sys.stderr.write(f'[{passed:6.1f} s] {name}: run {number + 1}\n')
    return {key: _spread([run[key] for run in runs]) for key in runs[0]}


def _spread(figures: list[float]) -> dict[str, Any]:
    return {
        'median': statistics.median(figures),
        'least': min(figures),
        'most': max(figures),
        'runs': len(figures),
    }


def _table(name: str, figures: dict[str, Any]) -> str:
    lines = [f'{name:<44}{"median":>12}{"least":>12}{"most":>12}']
    for key, spread in figures.items():
        shown = (
            f'{spread[part]:>12.4g}' for part in ('median', 'least', 'most')
        )
        lines.append(f'  {key:<42}{"".join(shown)}')
    return '\n'.join(lines)


if __name__ == '__main__':
    main()
