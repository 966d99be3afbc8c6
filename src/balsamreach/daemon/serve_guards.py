"""Creates the guards of the listeners of the command serve."""

import attrs
from tornado.web import Application

from balsamreach.daemon.client_limits import client_shares, settings_limits
from balsamreach.daemon.parts import Parts
from balsamreach.gateway.guard import Guard, GuardParts
from balsamreach.gateway.refusals import CallersRefuser
from balsamreach.gateway.request_meter import MeterParts
from balsamreach.memory.answers import AnswerMemory
from balsamreach.memory.budget import MemoryBudget
from balsamreach.memory.connections import ConnectionLimit
from balsamreach.memory.response_buffers import ResponseBuffers

_OPERATORS_CONNECTIONS = 64


@attrs.frozen
class ServeGuards:
    """Guards of the listeners for callers and for operators."""

    callers: Guard
    operators: Guard


def make_serve_guards(
    parts: Parts, callers: Application, operators: Application
) -> ServeGuards:
    """Return the guards of the listeners, and limit the targets' answers.

    Parameters
    ----------
    parts : Parts
        Components of the router.
    callers, operators : Application
        Applications of the listeners.
    """
    shares = client_shares(parts.cfg)
    meter = MeterParts(
        limits=lambda: settings_limits(parts.cfg),
        budget=MemoryBudget(shares.requests, parts.clock),
        clock=parts.clock,
    )
    buffers = ResponseBuffers(shares.responses)
    parts.upstream.handles.memory = AnswerMemory(
        shares.answers, lambda: buffers.excess
    )
    callers_parts = GuardParts(
        meter=meter,
        refuser=CallersRefuser(),
        connections=ConnectionLimit(shares.callers),
        buffers=buffers,
        metrics=parts.metrics,
    )
    operators_parts = attrs.evolve(
        callers_parts, connections=ConnectionLimit(_OPERATORS_CONNECTIONS)
    )
    return ServeGuards(
        Guard(callers, callers_parts), Guard(operators, operators_parts)
    )
