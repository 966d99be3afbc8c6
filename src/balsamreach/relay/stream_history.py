"""Keeps records of streams in the store, in batches."""

from collections import defaultdict

import attrs

from balsamreach.relay.release_records import ReleaseRecords
from balsamreach.services.faults import PlatformFault
from balsamreach.services.release_store import (
    ReleaseStore,
    StreamBatch,
    time_key,
)
from balsamreach.services.times import ServiceClock
from balsamreach.wire.releases import StreamsBegun

#: Maximum digests in a batch. A row of the store holds 64 KiB.
_MAX_BATCH = 4000
#: Maximum streams that wait while the store is away.
_MAX_PENDING = 50_000
#: Maximum rows that one call removes. The store allows 100 entries.
_MAX_REMOVED = 90
#: Expired rows up to this number wait for the next batch, to save a call.
_FEW_EXPIRED = 20
#: Seconds before the last read from which on rows are read again: a write
#: whose answer was lost may be performed seconds later.
_LATE_WRITE_S = 5.0


@attrs.frozen
class _Pending:
    """A stream whose record hasn't been written."""

    release: str
    keep_s: int


@attrs.frozen
class _WrittenRow:
    """A row in the store, and when it expires on this router's clock."""

    key: str
    part: str
    expires_at: float


@attrs.define(eq=False)
class StreamHistory:
    """The rows of the streams that began while services were mixed.

    Parameters
    ----------
    store : ReleaseStore
        The store.
    records : ReleaseRecords
        Streams of which this router knows the release.
    times : ServiceClock
        Bounds on the clock of the store.
    name : str
        Incarnation of this router, which makes its keys unique.
    """

    store: ReleaseStore
    records: ReleaseRecords
    times: ServiceClock
    name: str
    _pending: dict[int, _Pending] = attrs.field(factory=dict)
    _written: ReleaseRecords = attrs.field(init=False)
    _rows: dict[str, _WrittenRow] = attrs.field(factory=dict)
    _batches: int = 0
    _read_until: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the records of what has been written."""
        self._written = ReleaseRecords(self.times.clock)

    def add(self, message: StreamsBegun) -> None:
        """Add streams to the next batch, unless they have been written."""
        for digest in message.keys:
            if self._written.find(digest) is None:
                self._pending.setdefault(
                    digest, _Pending(message.release, message.keep_s)
                )
        while len(self._pending) > _MAX_PENDING:
            self._pending.pop(next(iter(self._pending)))

    async def read(self, part: str) -> PlatformFault | None:
        """Add the records in the store to those of this router."""
        since = self._read_until.get(part, 0)
        began = self.times.at_least()
        batches = await self.store.read_batches(part, since)
        if isinstance(batches, PlatformFault):
            return batches
        for batch in batches:
            self._restore(part, batch)
        if began is not None:
            self._read_until[part] = began - _LATE_WRITE_S
        return None

    async def write(self, part: str) -> PlatformFault | None:
        """Write the streams that have begun since the last batch."""
        expired = self._expired(part)
        if not self._pending and len(expired) <= _FEW_EXPIRED:
            return None
        batch = self._next_batch()
        version = await self.store.write_batch(
            part, batch, tuple(row.key for row in expired)
        )
        if isinstance(version, PlatformFault):
            return version
        for row in expired:
            self._rows.pop(row.key, None)
        if batch is not None:
            self._record_written(part, batch)
        return None

    def _next_batch(self) -> StreamBatch | None:
        written_at = self.times.at_least()
        if not self._pending or written_at is None:
            return None
        streams = defaultdict(list)
        chosen = list(self._pending.items())[:_MAX_BATCH]
        for digest, pending in chosen:
            streams[pending.release].append(digest)
        self._batches += 1
        return StreamBatch(
            key=f'{time_key(written_at)}.{self.name}.{self._batches}',
            written_at=written_at,
            keep_s=max(one.keep_s for _, one in chosen),
            streams={name: tuple(keys) for name, keys in streams.items()},
        )

    def _record_written(self, part: str, batch: StreamBatch) -> None:
        now = self.times.clock.now()
        self._add_row(batch.key, part, now + batch.keep_s)
        for release, digests in batch.streams.items():
            for digest in digests:
                self._pending.pop(digest, None)
                self._written.put(digest, release, batch.keep_s)

    def _add_row(self, key: str, part: str, expires_at: float) -> None:
        self._rows[key] = _WrittenRow(key, part, expires_at)

    def _expired(self, part: str) -> list[_WrittenRow]:
        now = self.times.clock.now()
        expired = [
            row
            for row in self._rows.values()
            if row.expires_at <= now and row.part == part
        ]
        return expired[:_MAX_REMOVED]

    def _restore(self, part: str, batch: StreamBatch) -> None:
        left = batch.written_at + batch.keep_s - self.times.at_least()
        # The router that wrote it may have died, so others remove it as well.
        expires_at = self.times.clock.now() + left
        self._add_row(batch.key, part, expires_at)
        if left <= 0:
            return
        for release, digests in batch.streams.items():
            for digest in digests:
                if self.records.find(digest) is None:
                    self.records.put(digest, release, left)
