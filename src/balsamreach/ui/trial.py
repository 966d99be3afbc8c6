"""Command ``trial``."""

import asyncio
import json
from functools import partial

import click

from balsamreach.daemon.run import Role, run_until_stopped
from balsamreach.trial.fleet import Fleet, TrialFault
from balsamreach.trial.plan import MODEL, Plan
from balsamreach.ui import exit_codes
from balsamreach.ui.errors import CommandError


@click.command('trial')
@click.option(
    '--shift',
    default=0,
    show_default=True,
    help='Added to every port, for a second trial.',
)
def command(shift: int) -> None:
    """Run a small fleet with stand-ins on this machine, to try it out."""
    fleet = Fleet(Plan(shift=shift))
    taken = fleet.check()
    if isinstance(taken, TrialFault):
        raise CommandError('start the trial', taken, exit_codes.USAGE)
    asyncio.run(_run(fleet))


async def _run(fleet: Fleet) -> None:
    await run_until_stopped(Role(partial(_start, fleet), fleet.stop))


async def _start(fleet: Fleet) -> None:
    await fleet.start()
    click.echo(_welcome(fleet.plan))


def _welcome(plan: Plan) -> str:
    callers = f'http://127.0.0.1:{plan.callers(0)}'
    operators = f'http://127.0.0.1:{plan.operators(0)}'
    chat = json.dumps(
        {
            'model': MODEL,
            'stream': True,
            'messages': [{'role': 'user', 'content': 'Quote a rewind.'}],
        }
    )
    bearer = f"-H 'Authorization: Bearer {plan.operator_key}'"
    pause = json.dumps({'version': -1, 'fields': {'state': 'paused'}})
    lines = [
        f'callers    {callers}, http://127.0.0.1:{plan.callers(1)}',
        f'operators  {operators}, http://127.0.0.1:{plan.operators(1)}',
        f'platform   http://127.0.0.1:{plan.platform} (stand-in)',
        f'team key   {plan.team_key} (team winders)',
        f'operator key   {plan.operator_key}',
        '',
        'A streamed chat:',
        f"curl -N -H 'Authorization: Bearer {plan.team_key}' "
        f"-H 'Content-Type: application/json' -d '{chat}' "
        f'{callers}/v1/chat/completions',
        '',
        "The team's budget:",
        f'curl {bearer} {operators}/budgets/winders',
        '',
        'An edit of the table, which pauses the team:',
        f"curl -X PATCH {bearer} -d '{pause}' {operators}/table/team/winders",
        '',
        'Ctrl-C ends the trial.',
    ]
    return '\n'.join(lines)
