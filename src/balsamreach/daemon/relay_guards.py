"""Creates the guards of a relay router's listeners."""

import sys
from collections.abc import Callable

import attrs
from tornado.httputil import HTTPServerConnectionDelegate

from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.catalogue.entries import CallerLimits
from balsamreach.daemon.client_limits import client_shares, settings_limits
from balsamreach.daemon.relay_parts import RelayParts
from balsamreach.gateway.guard import Guard, GuardParts
from balsamreach.gateway.parsing_turns import ParsingTurns
from balsamreach.gateway.relay_refusers import (
    ForwardingRefuser,
    ProbesRefuser,
    RelayRefuser,
)
from balsamreach.gateway.request_limits import Refuser, RequestLimits
from balsamreach.gateway.request_meter import MeterParts
from balsamreach.memory.answers import AnswerMemory
from balsamreach.memory.budget import MemoryBudget
from balsamreach.memory.connections import ConnectionLimit
from balsamreach.memory.response_buffers import ResponseBuffers
from balsamreach.memory.shares import ClientShares
from balsamreach.wire.codec import MAX_MESSAGE_BYTES

#: Requests for readiness and metrics have no bodies.
_PROBES_BODY_BYTES = 64 * 1024
_PROBES_CONNECTIONS = 64
#: A forwarded request is held as it was received, and its body once more.
_FORWARDED_COPIES = 2


@attrs.define(eq=False)
class RelayGuards:
    """Guards of the listeners of a relay router.

    Parameters
    ----------
    parts : RelayParts
        Components of the router.
    shares : ClientShares
        What clients may take.
    budget : MemoryBudget
        Memory for requests.
    buffers : ResponseBuffers
        Memory for responses.
    turns : ParsingTurns
        Limits the bodies in chunks that are parsed at the same time.
    """

    parts: RelayParts
    shares: ClientShares
    budget: MemoryBudget
    buffers: ResponseBuffers
    turns: ParsingTurns = attrs.field(factory=ParsingTurns)
    _catalogue: Catalogue | None = None
    _current: RequestLimits | None = None

    def guard_callers(self, app: HTTPServerConnectionDelegate) -> Guard:
        """Return the guard of the callers' listener."""
        run = self.parts.run
        refuser = RelayRefuser(run.codec, run.retry_jitter)
        return self._guard(app, self._limits, refuser, self.shares.callers)

    def guard_forwarding(self, app: HTTPServerConnectionDelegate) -> Guard:
        """Return the guard of the listener for other routers."""
        guard = self._guard(
            app,
            self._forwarding_limits,
            ForwardingRefuser(),
            self.shares.routers,
        )
        guard.parts.meter.copies = _FORWARDED_COPIES
        return guard

    def guard_probes(self, app: HTTPServerConnectionDelegate) -> Guard:
        """Return the guard of the listener for readiness and metrics."""
        limits = attrs.evolve(
            settings_limits(self.parts.cfg), body_bytes=_PROBES_BODY_BYTES
        )
        return self._guard(
            app, lambda: limits, ProbesRefuser(), _PROBES_CONNECTIONS
        )

    def _guard(
        self,
        app: HTTPServerConnectionDelegate,
        limits: Callable[[], RequestLimits],
        refuser: Refuser,
        connections: int,
    ) -> Guard:
        meter = MeterParts(
            limits=limits, budget=self.budget, clock=self.parts.clock
        )
        parts = GuardParts(
            meter=meter,
            refuser=refuser,
            connections=ConnectionLimit(connections),
            buffers=self.buffers,
            metrics=self.parts.metrics,
            turns=self.turns,
        )
        return Guard(app, parts)

    def _limits(self) -> RequestLimits:
        catalogue = self.parts.view.current
        if catalogue is not self._catalogue or self._current is None:
            self._catalogue = catalogue
            self._current = _read_limits(catalogue)
        return self._current

    def _forwarding_limits(self) -> RequestLimits:
        limits = self._limits()
        return attrs.evolve(
            settings_limits(self.parts.cfg),
            body_bytes=limits.body_bytes + MAX_MESSAGE_BYTES,
        )


def _read_limits(catalogue: Catalogue | None) -> RequestLimits:
    if catalogue is None:
        # A request that may be allowed must not be refused for good.
        limits = attrs.evolve(CallerLimits(), body_bytes=sys.maxsize)
    else:
        limits = catalogue.limits
    return RequestLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_time=limits.header_time,
        idle_time=limits.idle_time,
    )


def make_relay_guards(parts: RelayParts) -> RelayGuards:
    """Create what guards the listeners, and limit the answers of targets.

    Parameters
    ----------
    parts : RelayParts
        Components of the router.
    """
    shares = client_shares(parts.cfg)
    buffers = ResponseBuffers(shares.responses)
    answers = AnswerMemory(shares.answers, lambda: buffers.excess)
    parts.exchange.handles.memory = answers
    parts.forwarding.exchange.handles.memory = answers
    return RelayGuards(
        parts, shares, MemoryBudget(shares.requests, parts.clock), buffers
    )
