"""Memory per team, target, peer, link, ledger, bill and answer."""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any

from balsamreach.budget.account import Account, Bill, account_key, encode_record
from balsamreach.budget.budgets import Budgets
from balsamreach.clock import Clock, SystemClock
from balsamreach.config.reader import read_settings
from balsamreach.requests.answers import AnswerEnd
from balsamreach.requests.identity import RequestId
from balsamreach.requests.registry import AnswerRegistry
from balsamreach.services.base import Commit, Write
from balsamreach.standins.memory import MemoryPlatform
from bench import table_size
from bench.slopes_kinds import Measure, Size, bytes_each
from tools import measure_links

_PREPAID = 10**12
_TOKENS = 100
_ANSWER = b'x' * 1000


def _table(size: Size) -> Mapping[str, float]:
    count = size.scale(8000, 200)
    return {
        'team_view_bytes': table_size.bytes_per_row(table_size.team_row, count),
        'target_view_bytes': table_size.bytes_per_row(
            table_size.target_row, count
        ),
    }


def _peers(size: Size) -> Mapping[str, float]:
    cfg = read_settings(None, ('host.zone=zone-a',))
    return {
        'member_bytes': measure_links.measure_members(),
        'link_end_bytes': asyncio.run(measure_links.measure_link_memory(cfg)),
    }


def _budgets(size: Size) -> Mapping[str, float]:
    count = size.scale(4000, 100)
    return {
        'ledger_bytes': bytes_each(_run_async(_with_ledgers), count),
        'waiting_bill_bytes': bytes_each(_run_async(_with_bills), count),
    }


def _run_async(make: Callable[[int], Any]) -> Callable[[int], Any]:
    return lambda count: asyncio.run(make(count))


async def fund(teams: list[str], clock: Clock) -> MemoryPlatform:
    """Return a platform with a prepaid account for each team."""
    platform = MemoryPlatform.start(clock)
    account = encode_record(Account(prepaid=_PREPAID))
    for name in teams:
        write = Write(account_key(name), account)
        await platform.table.commit(Commit((write,)))
    return platform


async def _with_ledgers(count: int) -> Any:
    clock = SystemClock()
    names = [f'team-{number:05}' for number in range(count)]
    platform = await fund(names, clock)
    cfg = read_settings(None, ('host.zone=zone-a',))
    budgets = Budgets(platform.table, 'r', cfg.budget, clock)
    for name in names:
        budgets.release(await budgets.reserve(name, _TOKENS))
    # Rows of the table service don't count, since they belong to the platform.
    budgets.service = None
    return budgets.ledgers, budgets


async def _with_bills(count: int) -> Any:
    clock = SystemClock()
    platform = await fund(['team'], clock)
    cfg = read_settings(
        None, ('host.zone=zone-a', 'budget.bills_limit=1000000')
    )
    budgets = Budgets(platform.table, 'r', cfg.budget, clock)
    for number in range(count):
        reservation = await budgets.reserve('team', _TOKENS)
        key = f'{random.Random(number).getrandbits(128):032x}'
        budgets.bill(reservation, Bill('team', key, _TOKENS))
    return budgets


def _answers(size: Size) -> Mapping[str, float]:
    count = size.scale(8000, 100)
    each = bytes_each(_run_async(_with_answers), count)
    return {'kept_answer_bytes_beyond_body': each - len(_ANSWER)}


async def _with_answers(count: int) -> AnswerRegistry:
    cfg = read_settings(None, ('host.zone=zone-a',))
    answers = AnswerRegistry(cfg.requests, SystemClock())
    for number in range(count):
        key = f'key-{number:032}'
        answer = answers.open(RequestId('team', key, False, f'{number:064x}'))
        answer.start(200, {'Content-Type': f'text/event-stream; n={number}'})
        # Each body is a separate object, like one received from a target.
        answer.write(bytes(bytearray(_ANSWER)))
        answers.finish(answer, AnswerEnd(is_complete=True))
    await asyncio.sleep(0)
    return answers


MEASURES: dict[str, Measure] = {
    'memory_table': _table,
    'memory_peers': _peers,
    'memory_budgets': _budgets,
    'memory_answers': _answers,
}
