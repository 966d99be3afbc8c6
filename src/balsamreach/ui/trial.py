"""Command ``trial``."""

import asyncio
import json
from collections.abc import Callable
from functools import partial

import click

from balsamreach.daemon.run import Role, run_until_stopped
from balsamreach.trial.fleet import Fleet, TrialFault
from balsamreach.trial.plan import MODEL, MOST_SHIFT, TEAM, Plan
from balsamreach.ui import exit_codes
from balsamreach.ui.errors import CommandError

_HTTP = 'http://127.0.0.1'


@click.command('trial')
@click.option(
    '--shift',
    default=0,
    type=click.IntRange(0, MOST_SHIFT),
    show_default=True,
    help='Number added to every port, for a second trial.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def command(shift: int, *, as_json: bool) -> None:
    """Run a small trial fleet with stand-ins on this machine."""
    fleet = Fleet(Plan(shift=shift))
    taken = fleet.check()
    if isinstance(taken, TrialFault):
        raise CommandError('start the trial', taken, exit_codes.USAGE)
    asyncio.run(_run(fleet, as_json))


async def _run(fleet: Fleet, as_json: bool) -> None:
    start = partial(_start, fleet, as_json)
    await run_until_stopped(Role(start, fleet.stop))


async def _start(fleet: Fleet, as_json: bool) -> None:
    await fleet.start()
    click.echo(_as_json(fleet.plan) if as_json else _as_text(fleet.plan))


def _as_json(plan: Plan) -> str:
    shown = {
        'callers': _urls(plan, plan.callers),
        'operators': _urls(plan, plan.operators),
        'platform': f'{_HTTP}:{plan.platform}',
        'team': TEAM,
        'team_key': plan.team_key,
        'operator_key': plan.operator_key,
        'commands': _commands(plan),
    }
    return json.dumps(shown, indent=2)


def _as_text(plan: Plan) -> str:
    lines = [
        f'callers    {", ".join(_urls(plan, plan.callers))}',
        f'operators  {", ".join(_urls(plan, plan.operators))}',
        f'platform   {_HTTP}:{plan.platform} (stand-in)',
        f'team key   {plan.team_key} (team {TEAM})',
        f'operator key   {plan.operator_key}',
        '',
    ]
    for title, line in _commands(plan).items():
        lines.extend((f'{title}:', line, ''))
    lines.append('Ctrl-C ends the trial.')
    return '\n'.join(lines)


def _urls(plan: Plan, port: Callable[[int], int]) -> list[str]:
    return [f'{_HTTP}:{port(number)}' for number in range(plan.routers)]


def _commands(plan: Plan) -> dict[str, str]:
    callers = f'{_HTTP}:{plan.callers(0)}'
    operators = f'{_HTTP}:{plan.operators(0)}'
    chat = json.dumps(
        {
            'model': MODEL,
            'stream': True,
            'messages': [{'role': 'user', 'content': 'Quote a rewind.'}],
        }
    )
    bearer = f"-H 'Authorization: Bearer {plan.operator_key}'"
    pause = json.dumps({'version': -1, 'fields': {'state': 'paused'}})
    return {
        'A streamed chat': (
            f"curl -N -H 'Authorization: Bearer {plan.team_key}' "
            f"-H 'Content-Type: application/json' -d '{chat}' "
            f'{callers}/v1/chat/completions'
        ),
        "The team's budget": f'curl {bearer} {operators}/budgets/{TEAM}',
        'An edit of the table, which pauses the team': (
            f"curl -X PATCH {bearer} -d '{pause}' {operators}/table/team/{TEAM}"
        ),
    }
