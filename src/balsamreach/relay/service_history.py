"""Keeps the releases of each service in the store."""

import attrs

from balsamreach.placement.service_releases import ServiceReleases
from balsamreach.relay.release_store import (
    ReleaseStore,
    ReleaseTimes,
    StoredService,
)
from balsamreach.services.faults import CONFLICT, PlatformFault
from balsamreach.services.times import ServiceClock

#: Seconds for which a release is kept after its last target was removed. No
#: stream lives for as long.
_KEEP_S = 86_400.0
#: Seconds by which routers may differ on the moment of a removal. Without a
#: tolerance, each router would write its own.
_TOLERANCE_S = 1.0
_NO_ROW = StoredService({}, 0)


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
    """

    store: ReleaseStore
    services: ServiceReleases
    times: ServiceClock
    _rows: dict[str, StoredService] = attrs.field(factory=dict)
    _known_edits: int = -1

    async def read(self) -> PlatformFault | None:
        """Read all rows, so that this router remembers what they hold."""
        rows = await self.store.read_services()
        if isinstance(rows, PlatformFault):
            return rows
        self._rows = rows
        self._known_edits = -1
        for service, row in rows.items():
            self._restore(service, row)
        return None

    async def write(self) -> PlatformFault | None:
        """Write the rows that differ from what this router knows."""
        edits = self.services.edits
        if edits == self._known_edits:
            return None
        for service in self.services.names():
            fault = await self._write_one(service)
            if fault is not None:
                return fault
        self._known_edits = edits
        return None

    async def _write_one(self, service: str) -> PlatformFault | None:
        row = self._rows.get(service, _NO_ROW)
        merged = self._merge(service, row.releases)
        if row.version and merged == row.releases:
            return None
        version = await self.store.write_service(
            service, StoredService(merged, row.version)
        )
        if version == CONFLICT:
            # Other routers see the same change at the same time.
            return await self.read() or CONFLICT
        if isinstance(version, PlatformFault):
            return version
        self._rows[service] = StoredService(merged, version)
        # Nobody has listed a target of the service before its first row.
        self.services.restore(service, {})
        return None

    def _merge(self, service: str, stored: ReleaseTimes) -> ReleaseTimes:
        oldest = self.times.at_most(self.times.clock.now() - _KEEP_S)
        merged = dict(stored)
        for release, gone_at in self.services.gone_times(service).items():
            before = stored.get(release)
            gone = None if gone_at is None else self.times.at_most(gone_at)
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
        # A lower bound of the store's time remembers a release for longer.
        store_now = self.times.at_least()
        gone_at = {
            release: now if gone is None else now - (store_now - gone)
            for release, gone in row.releases.items()
        }
        self.services.restore(service, gone_at)
