"""Works out how far requests fill the link of this router's host.

Load pattern: the balancer sends a caller to one router by hashing, so that
all requests of a large team may come through one small host. Each crosses its
link twice, and so does the answer. Once the link is full, connections to
targets and asks of homes time out, what was passed on in vain comes again,
and fewer requests are answered than before, down to none.
"""

import attrs

from balsamreach.clock import Clock

#: Bits of a Mbit/s in bytes.
_BYTES_PER_MBIT = 125_000
#: Part of the link that requests may use; the rest is for the words of
#: routers, for the store, and for connections.
_REQUESTS_SHARE = 0.85
#: Seconds of what the link carries that may wait. Source: a little less than
#: the shortest aim of the users' sheets.
_MOST_WAIT_S = 0.1
#: Bytes of a head, and of its connection's packets.
HEAD_BYTES = 900
#: Bytes that a piece of an answer needs beside itself, in its own packet and
#: in the one that acknowledges it.
PIECE_BYTES = 120


@attrs.define
class HostLink:
    """A queue that is only worked out: what came, less what was carried.

    Parameters
    ----------
    mbit : float
        Mbit/s of the link, both ways together; 0 where it is not known, and
        it never counts as full.
    clock : Clock
        Time.
    """

    mbit: float
    clock: Clock
    _waiting: float = 0
    _drained_at: float = 0

    def carry(self, size: float) -> None:
        """Count bytes that cross the link, in or out."""
        self._drain()
        self._waiting += size

    def is_full(self) -> bool:
        """Return whether too much waits for the link."""
        return self.wait() > _MOST_WAIT_S

    def wait(self) -> float:
        """Return the seconds that the link needs for what waits."""
        if not self.mbit:
            return 0
        self._drain()
        return self._waiting / self._rate

    @property
    def _rate(self) -> float:
        return self.mbit * _BYTES_PER_MBIT * _REQUESTS_SHARE

    def _drain(self) -> None:
        now = self.clock.now()
        carried = (now - self._drained_at) * self._rate
        self._waiting = max(0, self._waiting - carried)
        self._drained_at = now
