"""Benchmark of budgets in virtual time: ``python -m bench.budgets --seed 1``.

Prints a table for each scenario and writes build/bench/budgets.json.
"""

import json
import time
from pathlib import Path

import attrs
import click

from balsamreach.config.reader import read_settings
from balsamreach.config.settings import BudgetSettings
from bench.budget_runs import POLICIES, Scenario, measure
from bench.budget_trace import Load
from bench.routing_loop import run_virtually

_OUT = Path('build/bench/budgets.json')
_LONG_LOAD = Load(rate=5, length=4500)
_FAULT_BEGIN = 600 / 4500
_FAULT_END = 4200 / 4500
SCENARIOS = {
    'steady': Scenario(Load(length=120), fund=10),
    'end': Scenario(Load(rate=50, length=120), fund=0.7),
    'partition': Scenario(
        _LONG_LOAD,
        fund=1,
        top_up=0.3,
        begin=_FAULT_BEGIN,
        end=_FAULT_END,
        cuts=True,
    ),
    'platform_down': Scenario(
        attrs.evolve(_LONG_LOAD, length=1200),
        fund=2,
        begin=0.25,
        end=0.75,
        down=True,
    ),
    'lost_answers': Scenario(Load(rate=20, length=120), losing=0.2),
    'hot': Scenario(
        Load(routers=32, teams=1, rate=10, length=60),
        fund=0.8,
    ),
}
_POSTURES = ('strict', 'lenient')


@click.command()
@click.option('--seed', 'seeds', multiple=True, type=int, default=(1,))
@click.option(
    '--scenario',
    'names',
    multiple=True,
    type=click.Choice(tuple(SCENARIOS)),
)
@click.option(
    '--set',
    'overrides',
    multiple=True,
    help='KEY=VALUE of a setting in [budget].',
)
@click.option('--no-baselines', is_flag=True)
def main(
    seeds: tuple[int, ...],
    names: tuple[str, ...],
    overrides: tuple[str, ...],
    *,
    no_baselines: bool,
) -> None:
    """Run scenarios with each seed, both postures and both baselines."""
    all_rows = []
    for name in names or SCENARIOS:
        for seed in seeds:
            began = time.monotonic()
            rows = _measure_all(name, seed, overrides, not no_baselines)
            click.echo(_table(rows))
            took = time.monotonic() - began
            click.echo(f'({name}, seed {seed}: {took:.1f} s)\n')
            all_rows.extend(rows)
    _OUT.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(all_rows, indent=2)
    _OUT.write_text(f'{text}\n')


def settings(posture: str, *overrides: str) -> BudgetSettings:
    """Return the default budget settings with a posture and overrides."""
    changes = (f'budget.{override}' for override in overrides)
    cfg = read_settings(
        None,
        ('host.zone=zone-a', f'budget.posture={posture}', *changes),
    )
    return cfg.budget


def _measure_all(
    name: str,
    seed: int,
    overrides: tuple[str, ...],
    baselines: bool,
) -> list[dict]:
    rows = []
    for policy in POLICIES if baselines else POLICIES[:1]:
        for posture in _POSTURES if policy == 'escrow' else ('',):
            cfg = settings(posture or 'strict', *overrides)
            work = measure(SCENARIOS[name], cfg, policy, seed)
            label = f'{policy} {posture}'.strip()
            head = {'scenario': name, 'seed': seed, 'policy': label}
            rows.append(head | run_virtually(work))
    return rows


def _table(rows: list[dict]) -> str:
    lines = []
    for key in rows[0]:
        cells = ''.join(f'{_format(row[key]):>16}' for row in rows)
        lines.append(f'{key:<18}{cells}')
    return '\n'.join(lines)


def _format(cell: object) -> str:
    return f'{cell:.4g}' if isinstance(cell, float) else str(cell)


if __name__ == '__main__':
    main()
