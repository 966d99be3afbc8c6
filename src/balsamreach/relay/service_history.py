"""Keeps the releases of each service in the store."""

import math

import attrs

from balsamreach.placement.service_releases import ServiceReleases
from balsamreach.services.faults import CONFLICT, PlatformFault
from balsamreach.services.release_store import (
    ReleaseStore,
    ReleaseTimes,
    StoredService,
)
from balsamreach.services.times import ServiceClock

#: Seconds for which a release is kept after its last target was removed. No
#: stream lives for as long.
_KEEP_S = 86_400.0
#: Seconds by which routers may differ on the moment of a removal. Without a
#: tolerance, each router would write its own.
_TOLERANCE_S = 1.0
#: Seconds for which a release is remembered longer than its row says: the
#: store's time is known within the delay of a call only.
_CLOCK_MARGIN_S = 2.0
#: Seconds after a change during which rows are read again, and the seconds
#: between these reads. A router whose list lags may overwrite a row, and a
#: write whose answer was lost may be performed seconds later.
_VERIFY_S = 10.0
_VERIFY_INTERVAL_S = 2.0
_NO_ROW = StoredService({}, 0, math.inf)


@attrs.define(eq=False)
class ServiceHistory:
    """The rows of the services, of which each is written when it changes.

    Parameters
    ----------
    store : ReleaseStore
        The store.
    services : ServiceReleases
        The releases of the listed targets.
    times : ServiceClock
        Bounds on the clock of the store.
    is_first_start : bool
        Whether no router can have begun a stream before this one started.
    """

    store: ReleaseStore
    services: ServiceReleases
    times: ServiceClock
    is_first_start: bool = False
    _rows: dict[str, StoredService] = attrs.field(factory=dict)
    _known_edits: int = -1
    _seen_edits: int = 0
    _verify_until: float = -math.inf
    _read_at: float = -math.inf
    is_read: bool = False

    async def read(self) -> PlatformFault | None:
        """Read all rows, so that this router remembers what they hold."""
        self._read_at = self.times.clock.now()
        rows = await self.store.read_services()
        if isinstance(rows, PlatformFault):
            return rows
        self.is_read = True
        self._rows = rows
        self._known_edits = -1
        for service, row in rows.items():
            self._restore(service, row)
        return None

    async def write(self) -> PlatformFault | None:
        """Write the rows that differ from what this router knows."""
        edits = self.services.edits
        if edits != self._seen_edits:
            self._seen_edits = edits
            self._verify_until = self.times.clock.now() + _VERIFY_S
        if edits == self._known_edits:
            return await self._verify()
        faults = [
            await self._write_one(service) for service in self.services.names()
        ]
        fault = next(filter(None, faults), None)
        if fault is None:
            self._known_edits = edits
        return fault

    def forget(self, *, is_first_list: bool) -> None:
        """Record that the list of targets was outdated until now.

        Parameters
        ----------
        is_first_list : bool
            Whether it is the first list that this router has, so that it has
            sent no request before.
        """
        self.is_read = False
        self.services.forget_restored()
        if not is_first_list:
            self.is_first_start = False
            self.services.forget()

    async def _verify(self) -> PlatformFault | None:
        now = self.times.clock.now()
        is_due = now >= self._read_at + _VERIFY_INTERVAL_S
        if is_due and now < self._verify_until:
            return await self.read()
        return None

    async def _write_one(self, service: str) -> PlatformFault | None:
        row = self._rows.get(service, _NO_ROW)
        merged = StoredService(
            self._merge(service, row.releases),
            row.version,
            self._first_row_since(service)
            if math.isinf(row.since)
            else row.since,
        )
        if merged == row:
            return None
        self._verify_until = self.times.clock.now() + _VERIFY_S
        version = await self.store.write_service(service, merged)
        if version == CONFLICT:
            # Other routers see the same change at the same time.
            return await self.read() or CONFLICT
        if isinstance(version, PlatformFault):
            return version
        self._rows[service] = attrs.evolve(merged, version=version)
        self._restore(service, attrs.evolve(merged, releases={}))
        return None

    def _first_row_since(self, service: str) -> float:
        # Other routers may have served without being able to write a row.
        if self.is_first_start:
            return 0
        return self._store_time(self.services.known_since(service))

    def _store_time(self, moment: float) -> float:
        return self.times.at_least() - (self.times.clock.now() - moment)

    def _merge(self, service: str, stored: ReleaseTimes) -> ReleaseTimes:
        oldest = self.times.at_least() - _KEEP_S
        merged = dict(stored)
        for release, gone_at in self.services.gone_times(service).items():
            before = stored.get(release)
            gone = None if gone_at is None else self._store_time(gone_at)
            is_known = before is not None and gone is not None
            if not is_known or gone > before + _TOLERANCE_S:
                merged[release] = gone
        return {
            name: removed_at
            for name, removed_at in merged.items()
            if removed_at is None or removed_at >= oldest
        }

    def _restore(self, service: str, row: StoredService) -> None:
        now = self.times.clock.now()
        store_now = self.times.at_least()
        gone_at = {
            release: None
            if gone is None
            else now - (store_now - gone) + _CLOCK_MARGIN_S
            for release, gone in row.releases.items()
        }
        since = -math.inf
        if row.since:
            since = now - (store_now - row.since) + _CLOCK_MARGIN_S
        self.services.restore(service, since, gone_at)
