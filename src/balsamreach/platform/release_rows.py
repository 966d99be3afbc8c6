"""Keeps releases of services and streams in rows of the platform's store."""

import base64
import math
from typing import Any

import attrs

from balsamreach.platform.row_store import RowKey, RowStore, StoredRow
from balsamreach.services.base import Check, Write
from balsamreach.services.faults import PlatformFault
from balsamreach.services.release_store import (
    ReleaseStore,
    StoredService,
    StreamBatch,
    time_key,
)

_SERVICES = 'releases'
_STREAMS = 'streams'
#: A part serialises the changes of all tables, so these rows have parts of
#: their own.
_SERVICES_PART = 'releases'
_STREAMS_PART = 'streams.{0}'
_MS = 1000
_DIGEST_BYTES = 8
#: What parsing a row of another form may raise.
_MALFORMED = (
    ArithmeticError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)


@attrs.frozen
class ReleaseRows(ReleaseStore):
    """Rows of releases and streams.

    Parameters
    ----------
    store : RowStore
        The platform's store.
    """

    store: RowStore

    async def read_services(self) -> dict[str, StoredService] | PlatformFault:
        """Return the releases of all services, in one call."""
        page = await self.store.read(_SERVICES, _SERVICES_PART)
        if isinstance(page, PlatformFault):
            return page
        return {row.key: _read_service(row) for row in page.rows}

    async def write_service(
        self, service: str, stored: StoredService
    ) -> int | PlatformFault:
        """Replace the row of a service that still has a version."""
        row_key = RowKey(_SERVICES, _SERVICES_PART, service)
        gone_ms = {
            release: None if gone_at is None else round(gone_at * _MS)
            for release, gone_at in stored.releases.items()
        }
        fields = {'gone_ms': gone_ms, 'since_ms': round(stored.since * _MS)}
        write = Write(service, fields)
        check = Check(service, stored.version)
        return await self.store.change([(row_key, write)], [(row_key, check)])

    async def read_batches(
        self, part: str, since: float
    ) -> tuple[StreamBatch, ...] | PlatformFault:
        """Return the batches of a part of the fleet."""
        page = await self.store.read(
            _STREAMS, _STREAMS_PART.format(part), time_key(since)
        )
        if isinstance(page, PlatformFault):
            return page
        return tuple(map(_read_batch, page.rows))

    async def write_batch(
        self, part: str, batch: StreamBatch | None, expired: tuple[str, ...]
    ) -> int | PlatformFault:
        """Write a batch, if any, and remove expired ones by their keys."""
        writes = [Write(key, None) for key in expired]
        if batch is not None:
            writes.append(Write(batch.key, _batch_fields(batch)))
        stored_part = _STREAMS_PART.format(part)
        return await self.store.change(
            [(RowKey(_STREAMS, stored_part, one.key), one) for one in writes],
            [],
        )


def _read_service(row: StoredRow) -> StoredService:
    try:
        return _parse_service(row)
    except _MALFORMED:
        # Only routers of other versions can have written it; nothing that it
        # says is relied on, and it is replaced.
        return StoredService({}, row.version, math.inf)


def _parse_service(row: StoredRow) -> StoredService:
    releases = {
        release: None if moment is None else moment / _MS
        for release, moment in row.fields['gone_ms'].items()
    }
    return StoredService(releases, row.version, row.fields['since_ms'] / _MS)


def _batch_fields(batch: StreamBatch) -> dict[str, Any]:
    return {
        'written_ms': round(batch.written_at * _MS),
        'keep_s': batch.keep_s,
        'streams': {
            release: _pack(digests)
            for release, digests in batch.streams.items()
        },
    }


def _read_batch(row: StoredRow) -> StreamBatch:
    try:
        return _parse_batch(row)
    except _MALFORMED:
        # An empty batch that has expired is removed.
        return StreamBatch(row.key, written_at=0, keep_s=0, streams={})


def _parse_batch(row: StoredRow) -> StreamBatch:
    fields = row.fields
    return StreamBatch(
        key=row.key,
        written_at=fields['written_ms'] / _MS,
        # An integer that no float holds can't be added to a time.
        keep_s=int(float(fields['keep_s'])),
        streams={
            release: _unpack(packed)
            for release, packed in fields['streams'].items()
        },
    )


def _pack(digests: tuple[int, ...]) -> str:
    packed = b''.join(one.to_bytes(_DIGEST_BYTES) for one in digests)
    return base64.b64encode(packed).decode()


def _unpack(packed: str) -> tuple[int, ...]:
    raw = base64.b64decode(packed)
    return tuple(
        int.from_bytes(raw[start : start + _DIGEST_BYTES])
        for start in range(0, len(raw), _DIGEST_BYTES)
    )
