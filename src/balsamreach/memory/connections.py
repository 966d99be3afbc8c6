"""Decides which connections of a listener stay open.

Load pattern: clients open thousands of connections and send nothing. Without a
bound the process has no descriptor left for its targets and for the store.
"""

from collections.abc import Callable, Hashable

import attrs

#: Closes a connection.
Close = Callable[[], None]


@attrs.define(eq=False)
class ConnectionLimit:
    """Closes idle connections for new ones when there are too many.

    Connections without a request so far go first: their clients lose nothing.

    Parameters
    ----------
    max_connections : int
        Maximum number of open connections.
    closed, refused : int
        Idle connections that were closed, and new ones that were refused.
    """

    max_connections: int
    closed: int = 0
    refused: int = 0
    _open: set[Hashable] = attrs.field(factory=set)
    _unused: dict[Hashable, Close] = attrs.field(factory=dict)
    _kept: dict[Hashable, Close] = attrs.field(factory=dict)

    def admit(self, conn: Hashable) -> bool:
        """Return whether a new connection may be served."""
        if len(self._open) >= self.max_connections and not self._close_idle():
            self.refused += 1
            return False
        self._open.add(conn)
        return True

    def set_idle(self, conn: Hashable, close: Close, *, used: bool) -> None:
        """Record that a connection waits for a request.

        Parameters
        ----------
        conn : hashable
            Identifies the connection.
        close : callable
            Closes it.
        used : bool
            Whether it has had a request.
        """
        if conn in self._open:
            idle = self._kept if used else self._unused
            idle[conn] = close

    def set_busy(self, conn: Hashable) -> None:
        """Record that a connection receives or answers a request."""
        if self._unused.pop(conn, None) is None:
            self._kept.pop(conn, None)

    def remove(self, conn: Hashable) -> None:
        """Forget a connection that has been closed."""
        self._open.discard(conn)
        self.set_busy(conn)

    def _close_idle(self) -> bool:
        idle = self._unused or self._kept
        if not idle:
            return False
        conn = next(iter(idle))
        close = idle[conn]
        self.remove(conn)
        self.closed += 1
        close()
        return True
