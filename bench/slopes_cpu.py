"""CPU time and bytes per message, table edit and bill."""

import asyncio
import json
import random
import time
from collections.abc import Mapping
from functools import partial

from balsamreach.budget.account import Bill
from balsamreach.budget.budgets import Budgets
from balsamreach.clock import SystemClock
from balsamreach.config.reader import read_settings
from balsamreach.routing.rate_groups import team_hash
from balsamreach.table.view import TableView
from balsamreach.wire.base import Message
from balsamreach.wire.bills import BillCopies, BillCopy
from balsamreach.wire.codec import Envelope, decode, encode
from balsamreach.wire.framing import LENGTH_BYTES
from balsamreach.wire.loads import TargetLoad, TargetLoads
from balsamreach.wire.membership import Heartbeat
from balsamreach.wire.rates import RateDemands, RatePart
from balsamreach.wire.runs import RunNote
from balsamreach.wire.tables import TableRow, TableRows
from bench import table_size
from bench.slopes_kinds import Measure, Size, cpu_us_each, cpu_us_since
from bench.slopes_memory import fund
from tools import measure_links

_MICRO = 1_000_000
_INCARNATION = 'f' * 32
_REPORTS = 11
_RATE_PARTS = 8
_KEY = 'quote-2027-03-17-0042'
_COPIED_BILLS = 50


def _samples() -> dict[str, Message]:
    """Return one sample of each frequent message between routers."""
    row = table_size.team_row(1)
    body = json.dumps(row.value, separators=(',', ':'))
    reports = tuple(_report(number) for number in range(_REPORTS))
    rates = tuple(
        RatePart(team_hash(f'team-{number:05}'), 12_000 + number)
        for number in range(_RATE_PARTS)
    )
    copies = tuple(
        BillCopy('team-00001', f'{_KEY}-{number}', 900)
        for number in range(_COPIED_BILLS)
    )
    return {
        'heartbeat': Heartbeat(123456789),
        'table_row': TableRows(
            1000,
            1001,
            (TableRow(row.key, row.version, body),),
        ),
        'loads_of_11': TargetLoads(reports),
        'rates_of_8': RateDemands(1, 3, 70_000, parts=rates),
        'bill_copies_of_50': BillCopies(_INCARNATION, copies, copies),
        'run_note': RunNote(
            'team-00001',
            _KEY,
            _INCARNATION,
            _INCARNATION,
            '10.0.0.1:8080',
        ),
    }


def _report(number: int) -> TargetLoad:
    return TargetLoad(
        f'target-{number:05}',
        f'{random.Random(number).getrandbits(128):032x}',
        6,
        1,
        8,
        False,
        0.25,
        True,
    )


def _messages(size: Size) -> Mapping[str, float]:
    count = size.scale(2000, 10)
    figures = {}
    for name, message in _samples().items():
        encoded = encode(Envelope(message))
        figures[f'{name}_bytes'] = len(encoded) + LENGTH_BYTES
        encoding = partial(encode, Envelope(message))
        figures[f'{name}_encode_us'] = cpu_us_each(encoding, count)
        decoding = partial(decode, encoded)
        figures[f'{name}_decode_us'] = cpu_us_each(decoding, count)
    return figures


def _links(size: Size) -> Mapping[str, float]:
    cfg = read_settings(None, ('host.zone=zone-a',))
    tell, ask = asyncio.run(measure_links.measure_messages(cfg))
    return {
        'told_both_ends_us': tell * _MICRO,
        'ask_and_answer_both_ends_us': ask * _MICRO,
    }


def _edits(size: Size) -> Mapping[str, float]:
    teams = size.scale(table_size.TEAMS, 100)
    count = size.scale(2000, 10)
    view = TableView()
    view.apply(tuple(map(table_size.team_row, range(teams))), teams)
    edited = [table_size.team_row(number % teams) for number in range(count)]
    began = time.process_time()
    for number, row in enumerate(edited):
        version = teams + number + 1
        view.apply((_with_version(row, version),), version)
    return {
        'team_edit_us': cpu_us_since(began, count),
    }


def _with_version(row, version):
    return type(row)(row.key, version, row.value)


def _bills(size: Size) -> Mapping[str, float]:
    count = size.scale(200, 10)
    return asyncio.run(_reserve_and_settle(count))


async def _reserve_and_settle(count: int) -> Mapping[str, float]:
    teams = [f'team-{number}' for number in range(8)]
    budgets = await _budgets(teams)
    began = time.process_time()
    for number in range(count):
        team = teams[number % len(teams)]
        reservation = await budgets.reserve(team, 100)
        budgets.bill(reservation, Bill(team, f'{_KEY}-{number}', 90))
    reserved = cpu_us_since(began, count)
    began = time.process_time()
    await budgets.flush()
    settled = cpu_us_since(began, count)
    # These include the table service, since it is in the same process.
    return {'reserve_and_bill_us': reserved, 'settle_bill_us': settled}


async def _budgets(teams: list[str]) -> Budgets:
    clock = SystemClock()
    platform = await fund(teams, clock)
    cfg = read_settings(None, ('host.zone=zone-a',))
    return Budgets(platform.table, 'r', cfg.budget, clock)


MEASURES: dict[str, Measure] = {
    'messages': _messages,
    'links': _links,
    'edits': _edits,
    'bills': _bills,
}
