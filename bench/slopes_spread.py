"""Copies and bytes of messages to all routers, by fleet size."""

import asyncio
from collections.abc import Mapping
from typing import Any

from balsamreach.routing.limits import TeamLimits
from balsamreach.table.exchange import TableExchange
from balsamreach.table.rows import TeamRow
from balsamreach.table.view import TableView
from balsamreach.telemetry.metrics import Metrics
from bench import table_size
from bench.slopes_kinds import Measure, Size
from tools.measure_gossip import Fleet, add_routers

_FLEETS = (8, 32, 128)
_DELIVERY_ROUNDS = 8
_TEAMS = 12


def _spread(size: Size) -> Mapping[str, float]:
    figures = {}
    for routers in _FLEETS if not size.smoke else _FLEETS[:1]:
        fleet_figures = asyncio.run(_measure_fleet(routers))
        for key, amount in fleet_figures.items():
            figures[f'{key}_at_{routers}'] = amount
    return figures


async def _measure_fleet(routers: int) -> Mapping[str, float]:
    fleet = Fleet()
    add_routers(fleet, routers)
    limits = [_limits(fleet, net) for net in fleet.nets.values()]
    for one in limits:
        one.tick()
    await _deliver(fleet)
    # Every router has sent once; `bench.rates` measures the cost.
    messages = routers
    figures = {
        'use_copies_each': fleet.sent['RateDemands'] / messages / routers
    }
    return figures | await _edit(fleet, routers)


def _limits(fleet: Fleet, net: Any) -> TeamLimits:
    limits = TeamLimits(fleet.clock, net)
    for number in range(_TEAMS):
        row = TeamRow(name=f'team-{number:05}', requests_per_minute=10**6)
        for _ in range(_TEAMS):
            limits.enter(row, 1)
    return limits


async def _edit(fleet: Fleet, routers: int) -> Mapping[str, float]:
    exchanges = []
    row = table_size.team_row(1)
    for net in fleet.nets.values():
        view = TableView()
        view.apply((), row.version - 1)
        view.complete = True
        exchanges.append(TableExchange(net, view, Metrics()))
        exchanges[-1].start()
    exchanges[0].view.apply((row,), row.version)
    exchanges[0].broadcast((row,), row.version - 1, row.version)
    await _deliver(fleet)
    reached = sum(one.view.version == row.version for one in exchanges)
    return {
        'edit_reached_share': reached / routers,
        'edit_bytes': fleet.sent_bytes['TableRows'] / routers,
    }


async def _deliver(fleet: Fleet) -> None:
    for _ in range(_DELIVERY_ROUNDS):
        for net in fleet.nets.values():
            inbox = net.inbox
            net.inbox = []
            for member, message in inbox:
                await net.handlers[type(message)](member, message)


MEASURES: dict[str, Measure] = {'spread': _spread}
