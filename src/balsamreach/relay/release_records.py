"""Records of the releases that began streams, for a limited time."""

import attrs

from balsamreach.clock import Clock

#: Maximum number of records. A router of the largest fleet keeps some 15,000
#: if all its services run several releases.
_MAX_RECORDS = 50_000


@attrs.frozen
class ReleaseRecord:
    """The release that began one stream.

    Parameters
    ----------
    release : str
        The release.
    learnt_at, expires_at : float
        Monotonic seconds.
    """

    release: str
    learnt_at: float
    expires_at: float


@attrs.define(eq=False)
class ReleaseRecords:
    """Records by the digest of the stream's identity.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    clock: Clock
    _by_key: dict[int, ReleaseRecord] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._by_key)

    def put(self, key: int, release: str, keep: float) -> None:
        """Add a record for some seconds.

        The first release stays: a stream has only one, so that another one is
        reported by a router that has no record of its beginning.
        """
        known = self.find(key)
        now = self.clock.now()
        if known is not None:
            release = known.release
        self._by_key.pop(key, None)
        self._by_key[key] = ReleaseRecord(release, now, now + keep)
        self._drop_expired(now)

    def find(self, key: int) -> ReleaseRecord | None:
        """Return the record of a stream, None if there is none."""
        record = self._by_key.get(key)
        if record is None or record.expires_at <= self.clock.now():
            return None
        return record

    def _drop_expired(self, now: float) -> None:
        # The oldest come first, and nearly all are kept for the same time.
        while self._by_key:
            key, record = next(iter(self._by_key.items()))
            if record.expires_at > now and len(self._by_key) <= _MAX_RECORDS:
                return
            self._by_key.pop(key)
