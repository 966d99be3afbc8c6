"""Refuses new connections unread while this router can't keep up with them.

Load pattern: for some seconds the load balancer hands nearly all connections
of a zone, or of all zones, to one router. Each request that it reads then
waits for all that were read before. A caller whose connection closes before
its request was read tries another router at once.
"""

import logging
from collections import deque

import attrs

from balsamreach.clock import Clock
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

SHED = 'balsamreach_connections_shed_total'

_logger = logging.getLogger(__name__)
_MS = 1000
#: Seconds between two calls of ``record_tick``.
TICK_S = 0.1
#: Seconds by which the event loop is late when a router counts as behind. The
#: shortest responses are to begin within about that time.
_MAX_LATE_S = 0.1
#: Connections of the last second, relative to the usual rate, from which they
#: count as a crowd, and below which the crowd is over.
_CROWD_RATIO = 4
_CROWD_OVER_RATIO = 2
#: Connections in a second below which there is never a crowd.
_MIN_CROWD = 20
#: Seconds in which the usual rate follows a change. A router that has not run
#: for as long knows no usual rate.
_USUAL_S = 30.0
#: Weight of the last tick in the usual rate.
_USUAL_WEIGHT = TICK_S / _USUAL_S
#: Seconds after which a crowd counts as usual. Connections that don't stop
#: coming are the load, and refusing them helps nobody.
_MAX_CROWD_S = 60.0
#: Factor of the admitted connections of a tick when the router is behind.
_DECREASE = 0.7


@attrs.frozen
class _Tick:
    """The new connections between two calls of ``record_tick``."""

    began_at: float
    ended_at: float
    connections: int

    @property
    def late(self) -> float:
        """Seconds by which the event loop was late."""
        return max(0.0, self.ended_at - self.began_at - TICK_S)

    @property
    def rate(self) -> float:
        """Connections a second."""
        return self.connections / max(TICK_S, self.ended_at - self.began_at)


@attrs.define(eq=False)
class ConnectionShedder:
    """Decides which new connections are read.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts refused connections.
    """

    clock: Clock
    metrics: Metrics
    _ticked_at: float | None = None
    _ticks: deque[_Tick] = attrs.field(factory=deque)
    _usual: float = 0
    _learnt: int = 0
    _learns_since: float | None = None
    _connections: int = 0
    _crowded_since: float | None = None
    _admitted: float = 0
    _left: float = 0

    @property
    def is_shedding(self) -> bool:
        """Whether connections are refused now."""
        return self._crowded_since is not None

    def admits(self) -> bool:
        """Count a new connection, and return whether to read from it."""
        self._connections += 1
        if self._crowded_since is None:
            return True
        self._left -= 1
        if self._left >= 0:
            return True
        self.metrics.count(SHED)
        return False

    def record_tick(self) -> None:
        """Record the end of a tick, and decide about the next one."""
        now = self.clock.now()
        tick = _Tick(self._ticked_at or now - TICK_S, now, self._connections)
        self._ticked_at = now
        self._connections = 0
        self._ticks.append(tick)
        while self._ticks[0].ended_at < now - 1:
            self._ticks.popleft()
        if self._crowded_since is None:
            self._learn(tick)
            if tick.late >= _MAX_LATE_S and self._is_crowd():
                self._begin(tick)
        else:
            self._adjust(tick)
            self._check_end(now)

    def _rate(self) -> float:
        """Return the connections a second of about the last second."""
        seconds = self._ticks[-1].ended_at - self._ticks[0].began_at
        return sum(one.connections for one in self._ticks) / max(1.0, seconds)

    def _learn(self, tick: _Tick) -> None:
        if self._learns_since is None:
            self._learns_since = tick.began_at
        self._learnt += 1
        weight = max(_USUAL_WEIGHT, 1 / self._learnt)
        self._usual += (tick.rate - self._usual) * weight

    def _is_crowd(self) -> bool:
        if self._ticked_at - self._learns_since < _USUAL_S:
            return False
        return self._rate() >= self._limit(_CROWD_RATIO)

    def _limit(self, ratio: float) -> float:
        return max(_MIN_CROWD, ratio * self._usual)

    def _begin(self, tick: _Tick) -> None:
        self._crowded_since = tick.ended_at
        # That many it has read in the time of a tick.
        self._admitted = max(1.0, tick.rate * TICK_S)
        self._left = 0
        self._log('connections_shed', tick.late)

    def _adjust(self, tick: _Tick) -> None:
        if tick.late >= _MAX_LATE_S:
            self._admitted = max(1.0, self._admitted * _DECREASE)
            self._left = 0
            return
        self._admitted += 1
        self._left = self._admitted

    def _check_end(self, now: float) -> None:
        if now - self._crowded_since >= _MAX_CROWD_S:
            self._usual = self._rate()
        elif self._rate() >= self._limit(_CROWD_OVER_RATIO):
            return
        self._crowded_since = None
        self._log('connections_admitted', 0)

    def _log(self, event: str, late: float) -> None:
        log_event(
            _logger,
            logging.WARNING,
            event,
            rate=round(self._rate(), 1),
            usual=round(self._usual, 1),
            late_ms=round(late * _MS),
        )
