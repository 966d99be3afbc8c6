"""Benchmarks of routing in virtual time: ``python -m bench.routing``.

Prints one table per scenario and seed, and all rows as JSON at the end.
"""

import json
import time

import click

from bench import routing_scenarios as scenarios
from bench.routing_cpu import measure_cpu
from bench.routing_hedges import measure_hedges
from bench.routing_hints import measure_hints

_BENCHMARKS = {
    'choice': scenarios.measure_choice,
    'hints': measure_hints,
    'hedges': measure_hedges,
    'overload': scenarios.measure_overload,
    'fairness': scenarios.measure_fairness,
    'failures': scenarios.measure_failures,
    'shares': scenarios.measure_shares,
    'cpu': measure_cpu,
}


@click.command()
@click.option('--seed', 'seeds', multiple=True, type=int, default=(1,))
@click.option('--only', multiple=True, type=click.Choice(tuple(_BENCHMARKS)))
def main(seeds: tuple[int, ...], only: tuple[str, ...]) -> None:
    """Run the benchmarks with each seed."""
    all_rows = []
    for name in only or _BENCHMARKS:
        for seed in seeds:
            began = time.monotonic()
            rows = [{**row, 'seed': seed} for row in _BENCHMARKS[name](seed)]
            print_table(rows)
            took = time.monotonic() - began
            click.echo(f'({name}, seed {seed}: {took:.1f} s)\n')
            all_rows.extend(rows)
    click.echo(json.dumps(all_rows))


def print_table(rows: list[dict]) -> None:
    """Print rows with equal keys as a table."""
    names = list(rows[0])
    lines = [names, *([_format(row[name]) for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = zip(line, widths, strict=True)
        click.echo('  '.join(text.ljust(width) for text, width in cells))


def _format(cell: object) -> str:
    return f'{cell:.4g}' if isinstance(cell, float) else str(cell)


if __name__ == '__main__':
    main()
