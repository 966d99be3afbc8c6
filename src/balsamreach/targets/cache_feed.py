"""Tracks a target's cache events, which may be late or have gaps."""

import attrs

from balsamreach.targets.client import CacheEvent, CacheEvents


@attrs.frozen
class CacheChanges:
    """Changes of a target's cache since the last request for events.

    Parameters
    ----------
    events : tuple of CacheEvent
        New events.
    missing : int
        Number of events in between that were not received.
    reset : bool
        Whether everything known about the cache before is invalid.
    """

    events: tuple[CacheEvent, ...] = ()
    missing: int = 0
    reset: bool = False


@attrs.define
class CacheFeed:
    """A router's position in the cache events of one target.

    Only the position is stored here. The blocks themselves are stored in one
    bounded set for all targets, since a set for each took 4,096 names a
    target.

    Parameters
    ----------
    next_seq : int
        Sequence number at which the next request starts.
    gaps : int
        How often events were missing.
    """

    next_seq: int = 0
    gaps: int = 0

    def restart(self) -> None:
        """Reset the position, for example after the target's restart."""
        self.next_seq = 0

    def advance(self, received: CacheEvents) -> CacheChanges:
        """Return the new events of a response, and advance the position."""
        # Lower sequence numbers than the known ones mean that the target has
        # restarted, with an empty cache.
        reset = not self.next_seq or received.next_seq < self.next_seq
        since = 0 if reset else self.next_seq
        fresh = tuple(event for event in received.events if event.seq >= since)
        missing = 0 if reset else received.next_seq - since - len(fresh)
        self.next_seq = received.next_seq
        self.gaps += missing > 0
        return CacheChanges(fresh, max(0, missing), reset)
