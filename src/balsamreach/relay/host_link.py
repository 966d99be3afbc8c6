"""Estimates the load that requests put on the link of this router's host.

Load pattern: the load balancer assigns a caller to one router by hashing, so
all requests of a large team may arrive through one small host. Each request
crosses its link twice, and so does each response. Once the link is full,
connections to targets and calls to other routers time out, failed requests
are sent again, and fewer requests are answered than before, down to none.
"""

import attrs

from balsamreach.clock import Clock
from balsamreach.relay.team_traffic import TeamTraffic

#: Bytes per megabit.
_BYTES_PER_MBIT = 125_000
#: Share of the link that requests may use; the rest is for messages between
#: routers, for the store, and for connection overhead.
_USABLE_SHARE = 0.85
#: Backlog, in seconds, above which the link counts as full: a little less than
#: the shortest latency goal of the users.
_MAX_WAIT_S = 0.1
#: Bytes of a request's headers and of its connection's packets.
HEADER_BYTES = 900
#: Overhead of a piece of a response, in bytes: its packet and the packet that
#: acknowledges it.
CHUNK_OVERHEAD_BYTES = 120


@attrs.define
class HostLink:
    """Estimates the backlog of the link from the bytes sent and received.

    Parameters
    ----------
    mbit : float
        Mbit/s of the link, both directions together; 0 if unknown, in which
        case it never counts as full.
    clock : Clock
        Source of the current time.
    traffic : TeamTraffic or None
        Counts the same bytes by team; None if that is not needed.
    """

    mbit: float
    clock: Clock
    traffic: TeamTraffic | None = None
    _backlog: float = 0
    _drained_at: float = 0

    def add(self, size: int, team: str = '', requests: int = 0) -> None:
        """Add bytes that cross the link, in either direction.

        Parameters
        ----------
        size : int
            The bytes.
        team : str
            Team whose request or response they belong to; empty if none.
        requests : int
            Requests of the team that were received with them.
        """
        self._drain()
        self._backlog += size
        if team and self.traffic is not None:
            self.traffic.add(team, size, requests)

    def is_full(self) -> bool:
        """Return whether the backlog is too large."""
        return self.backlog_seconds() > _MAX_WAIT_S

    def backlog_seconds(self) -> float:
        """Return the seconds that the link needs for its backlog."""
        if not self.mbit:
            return 0
        self._drain()
        return self._backlog / self.usable_rate

    @property
    def usable_rate(self) -> float:
        """Bytes per second that requests may use; 0 if unknown."""
        return self.mbit * _BYTES_PER_MBIT * _USABLE_SHARE

    def _drain(self) -> None:
        now = self.clock.now()
        carried = (now - self._drained_at) * self.usable_rate
        self._backlog = max(0, self._backlog - carried)
        self._drained_at = now
