"""Interface of the store that keeps releases while all routers restart."""

import abc
from collections.abc import Mapping

import attrs

from balsamreach.services.faults import UNAVAILABLE, PlatformFault

_MS = 1000
#: Releases of a service, with the store's time in seconds at which the last
#: target of each was removed; None while targets are listed.
ReleaseTimes = Mapping[str, float | None]


@attrs.frozen
class StoredService:
    """The releases that a service has had, as the store holds them.

    Parameters
    ----------
    releases : mapping
        Store's time in seconds at which each was removed, or None.
    version : int
        Version of the row, 0 if there is none.
    since : float
        Store's time in seconds from which on these are all releases; 0 if the
        service never had others.
    """

    releases: ReleaseTimes
    version: int
    since: float = 0


@attrs.frozen
class StreamBatch:
    """Streams that have begun, written together.

    Parameters
    ----------
    key : str
        Key of the row, which begins with the result of ``time_key``.
    written_at : float
        Store's time in seconds.
    keep_s : int
        Seconds for which the records are valid from then on.
    streams : mapping of str to tuple of int
        Digests of the streams' identities by release.
    """

    key: str
    written_at: float
    keep_s: int
    streams: Mapping[str, tuple[int, ...]]


def time_key(seconds: float) -> str:
    """Return the first part of the keys of batches written at a time.

    Keys sort by time, so that a router reads only what is new.

    Parameters
    ----------
    seconds : float
        Store's time in seconds.
    """
    return f'{max(0, round(seconds * _MS)):015d}'


class ReleaseStore(abc.ABC):
    """What survives a restart of all routers.

    All calls return a ``PlatformFault`` if the store doesn't answer.
    """

    @abc.abstractmethod
    async def read_services(self) -> dict[str, StoredService] | PlatformFault:
        """Return the releases of all services."""

    @abc.abstractmethod
    async def write_service(
        self, service: str, stored: StoredService
    ) -> int | PlatformFault:
        """Replace the row of a service that still has a version.

        Returns
        -------
        int or PlatformFault
            The new version; CONFLICT if the row has another version.
        """

    @abc.abstractmethod
    async def read_batches(
        self, part: str, since: float
    ) -> tuple[StreamBatch, ...] | PlatformFault:
        """Return the batches of a part of the fleet.

        Parameters
        ----------
        part : str
            Part of the fleet.
        since : float
            Store's time in seconds from which on batches are wanted.
        """

    @abc.abstractmethod
    async def write_batch(
        self, part: str, batch: StreamBatch | None, expired: tuple[str, ...]
    ) -> int | PlatformFault:
        """Write a batch, if any, and remove expired ones by their keys."""


class NoReleaseStore(ReleaseStore):
    """A store that is never available."""

    async def read_services(self) -> dict[str, StoredService] | PlatformFault:
        """Return UNAVAILABLE."""
        return UNAVAILABLE.because('there is no store of releases')

    async def write_service(
        self, _service: str, _stored: StoredService
    ) -> int | PlatformFault:
        """Return UNAVAILABLE."""
        return UNAVAILABLE.because('there is no store of releases')

    async def read_batches(
        self, _part: str, _since: float
    ) -> tuple[StreamBatch, ...] | PlatformFault:
        """Return UNAVAILABLE."""
        return UNAVAILABLE.because('there is no store of releases')

    async def write_batch(
        self, _part: str, _batch: StreamBatch | None, _expired: tuple[str, ...]
    ) -> int | PlatformFault:
        """Return UNAVAILABLE."""
        return UNAVAILABLE.because('there is no store of releases')
