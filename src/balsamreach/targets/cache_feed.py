"""Brings a target's cache events, late and with gaps, into order."""

import attrs

from balsamreach.targets.client import CacheEvent, CacheEvents


@attrs.frozen
class CacheNews:
    """What a target's cache did since the last question.

    Parameters
    ----------
    events : tuple of CacheEvent
        Events not taken in before.
    missing : int
        Events between that were never told.
    anew : bool
        Whether what was known of the cache before counts no more.
    """

    events: tuple[CacheEvent, ...] = ()
    missing: int = 0
    anew: bool = False


@attrs.define
class CacheFeed:
    """Where a router stands in one target's events.

    Only the place is kept here. The blocks themselves are kept in one
    bounded set for all targets: a set for each took 4,096 names a target.

    Parameters
    ----------
    next_seq : int
        Where the next question starts.
    gaps : int
        How often events were missing.
    """

    next_seq: int = 0
    gaps: int = 0

    def restart(self) -> None:
        """Begin anew, such as after the target's restart."""
        self.next_seq = 0

    def take(self, told: CacheEvents) -> CacheNews:
        """Return what is news among the events of an answer."""
        # Numbers below the known ones began anew, so the cache did as well.
        anew = not self.next_seq or told.next_seq < self.next_seq
        since = 0 if anew else self.next_seq
        fresh = tuple(event for event in told.events if event.seq >= since)
        missing = 0 if anew else told.next_seq - since - len(fresh)
        self.next_seq = told.next_seq
        self.gaps += missing > 0
        return CacheNews(fresh, max(0, missing), anew)
