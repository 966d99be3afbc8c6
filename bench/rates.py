"""Benchmark of fleet-wide rate limits: ``python -m bench.rates --seed 1``.

Everything runs in one process and in virtual time. Prints a table of errors
and one of costs, and all rows as JSON at the end.
"""

import itertools
import json

import click

from bench import rates_cost, rates_scenarios
from bench.routing import print_table

_PARTS = ('errors', 'cost')
_MAX_ALL_TO_ALL_ROUTERS = 256
_HOMES = 'homes'


@click.command()
@click.option('--seed', 'seeds', multiple=True, type=int, default=(1,))
@click.option('--only', type=click.Choice(_PARTS))
@click.option(
    '--routers',
    'sizes',
    multiple=True,
    type=int,
    help='Number of routers; by default 8 and 34 for errors, and 8, 32, '
    '128 and 910 for costs.',
)
@click.option('--scenario', default='', help='Substring of scenario names.')
def main(
    seeds: tuple[int, ...],
    only: str | None,
    sizes: tuple[int, ...],
    scenario: str,
) -> None:
    """Compare rate shares from home routers with all-to-all messages."""
    rows = []
    if only != 'cost':
        rows += _errors(sizes or (8, 34), seeds, scenario)
    if only != 'errors':
        rows += _costs(sizes or (8, 32, 128, 910), seeds)
    click.echo(json.dumps(rows))


def _errors(
    sizes: tuple[int, ...],
    seeds: tuple[int, ...],
    substring: str,
) -> list[dict]:
    all_rows = []
    for routers in sizes:
        names = [
            name for name in rates_scenarios.SCENARIOS if substring in name
        ]
        cases = itertools.product(names, _ways(routers), seeds)
        rows = [
            {**rates_scenarios.measure(name, way, routers, seed), 'seed': seed}
            for name, way, seed in cases
        ]
        print_table(rows)
        all_rows += rows
    return all_rows


def _ways(routers: int) -> tuple[str, ...]:
    # All-to-all messages would take hours in larger fleets.
    return (
        (_HOMES,)
        if routers > _MAX_ALL_TO_ALL_ROUTERS
        else tuple(rates_scenarios.WAYS)
    )


def _costs(sizes: tuple[int, ...], seeds: tuple[int, ...]) -> list[dict]:
    cases = itertools.product(
        rates_cost.LOADS,
        sizes,
        rates_scenarios.WAYS,
        seeds,
    )
    rows = []
    for load, routers, way, seed in cases:
        row = rates_cost.measure(load, way, routers, seed)
        rows.append({**row, 'seed': seed})
        click.echo(json.dumps(rows[-1]), err=True)
    print_table(rows)
    return rows


if __name__ == '__main__':
    main()
