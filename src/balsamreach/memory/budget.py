"""Decides which requests a process holds while its memory lasts.

Load pattern: many clients send large bodies at the same time, or many small
ones, and most of them stop before the end and stay connected. Without a bound
the process is killed, and with it the requests of all other callers.
"""

from collections.abc import Callable
from itertools import takewhile

import attrs

from balsamreach.clock import Clock

#: Bytes up to which a request counts as small.
SMALL_BYTES = 64 * 1024
#: Share of the memory that larger requests may fill, so that small ones are
#: still served beside a crowd of large ones.
_LARGE_SHARE = 0.75
#: Bytes a second at which a request must arrive while memory is short. At this
#: rate, the largest bodies arrive just within a minute.
_MIN_RATE = 64 * 1024
#: Seconds by which a request may be behind that rate. After as long, it yields
#: to another one.
_MAX_BEHIND_S = 1.0


@attrs.define(eq=False)
class Reservation:
    """The bytes that one request makes the process hold.

    Parameters
    ----------
    evict : callable
        Gives the request up; called while it is received.
    began_at : float
        Monotonic seconds at which its first bytes arrived.
    size : int
        Bytes that are reserved for it.
    received : int
        Bytes that have arrived.
    """

    evict: Callable[[], None]
    began_at: float
    size: int = 0
    received: int = 0

    def seconds_behind(self, now: float) -> float:
        """Return by how much it arrives too slowly while memory is short."""
        return now - self.began_at - self.received / _MIN_RATE


@attrs.define(eq=False)
class MemoryBudget:
    """Counts the bytes of all requests, and admits what fits.

    While there is room, each request is admitted, however slowly it arrives.
    When there is none, requests that arrive too slowly are given up for new
    ones, those first that hold most for longest.

    Parameters
    ----------
    capacity : int
        Bytes that all requests may take.
    clock : Clock
        Source of the current time.
    used : int
        Bytes that are reserved.
    """

    capacity: int
    clock: Clock
    used: int = 0
    _receiving: dict[Reservation, None] = attrs.field(factory=dict)

    @property
    def largest(self) -> int:
        """Bytes of the largest request that can ever be admitted."""
        return int(self.capacity * _LARGE_SHARE)

    def begin(self, evict: Callable[[], None]) -> Reservation:
        """Return the reservation of a request that begins to arrive."""
        reservation = Reservation(evict, self.clock.now())
        self._receiving[reservation] = None
        return reservation

    def resize(self, reservation: Reservation, size: int) -> bool:
        """Change what is reserved for a request.

        Returns
        -------
        bool
            Whether there is room for it; otherwise nothing has changed.
        """
        growth = size - reservation.size
        limit = self.capacity if size <= SMALL_BYTES else self.largest
        if growth > 0 and self.used + growth > limit:
            self._evict(reservation, self.used + growth - limit)
            if self.used + growth > limit:
                return False
        self.used += growth
        reservation.size = size
        return True

    def end_receiving(self, reservation: Reservation) -> None:
        """Keep a request that has arrived until it is released."""
        self._receiving.pop(reservation, None)

    def release(self, reservation: Reservation) -> None:
        """Give back what is reserved for a request; may be repeated."""
        self._receiving.pop(reservation, None)
        self.used -= reservation.size
        reservation.size = 0

    def _evict(self, wanting: Reservation, needed: int) -> None:
        now = self.clock.now()
        # The oldest come first, so a crowd of new ones isn't searched.
        old = takewhile(
            lambda one: now - one.began_at > _MAX_BEHIND_S, self._receiving
        )
        behind = [
            one
            for one in old
            if one is not wanting and one.seconds_behind(now) > _MAX_BEHIND_S
        ]
        behind.sort(key=lambda one: one.size * one.seconds_behind(now))
        freed = 0
        while behind and freed < needed:
            victim = behind.pop()
            freed += victim.size
            victim.evict()
            self.release(victim)
