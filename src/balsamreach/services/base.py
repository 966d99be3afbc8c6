"""Abstract bases and typed messages of the four platform services."""

import abc
from collections.abc import Mapping
from typing import Any

import attrs

from balsamreach.services.faults import PlatformFault

#: Version that stands for a key that has no row.
ABSENT = 0

RowValue = Mapping[str, Any]


@attrs.frozen
class Row:
    """One row as the table service returns it.

    Parameters
    ----------
    key : str
        Full key, its parts separated by slashes.
    version : int
        Number of the commit that last wrote the row; 0 if it never existed.
    value : Mapping or None
        JSON object; None for a row that is absent or deleted.
    """

    key: str
    version: int
    value: RowValue | None


@attrs.frozen
class Check:
    """Condition of a commit: the row must still have this version.

    A version of ``ABSENT`` demands that the row is absent or deleted.
    """

    key: str
    version: int


@attrs.frozen
class Write:
    """One row to write; a value of None deletes it."""

    key: str
    value: RowValue | None


@attrs.frozen
class Commit:
    """Writes that are applied together if and only if all checks hold."""

    writes: tuple[Write, ...]
    checks: tuple[Check, ...] = ()


@attrs.frozen
class Page:
    """One page of a scan.

    Parameters
    ----------
    rows : tuple of Row
        In key order where ``since`` was 0, else in version order, with
        deleted rows included.
    version : int
        Number of the newest commit that the page takes into account.
    more : bool
        Whether the scan has to go on after the last row.
    """

    rows: tuple[Row, ...]
    version: int
    more: bool = False


@attrs.frozen
class Scan:
    """What to read: a prefix, optionally only what changed since a version.

    Parameters
    ----------
    prefix : str
        Leading part of the keys wanted.
    since : int
        0 for a full read; else only rows written by later commits.
    after : str
        In a full read, the last key of the page before.
    limit : int
        Rows a page holds at most.
    """

    prefix: str
    since: int = 0
    after: str = ''
    limit: int = 1000


class TableService(abc.ABC):
    """Transactional rows that outlive every process of ours."""

    @abc.abstractmethod
    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a conditional commit.

        Returns
        -------
        int or PlatformFault
            The number of the commit, or UNREACHABLE, UNAVAILABLE, CONFLICT
            or INVALID (nothing was applied), or UNKNOWN (no answer came).
        """

    @abc.abstractmethod
    async def read(
        self, keys: tuple[str, ...]
    ) -> tuple[Row, ...] | PlatformFault:
        """Read rows by key at one instant, absent ones with version 0."""

    @abc.abstractmethod
    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Read one page of the rows under a prefix."""


class ObjectStore(abc.ABC):
    """Named byte strings, replaced as a whole."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> PlatformFault | None:
        """Store an object, replacing the one of the same name."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | PlatformFault:
        """Return an object, or MISSING."""

    @abc.abstractmethod
    async def names(self, prefix: str) -> tuple[str, ...] | PlatformFault:
        """Return the names under a prefix in order."""

    @abc.abstractmethod
    async def delete(self, name: str) -> PlatformFault | None:
        """Remove an object; one that is gone already counts as removed."""


@attrs.frozen
class HostEntry:
    """A host as the platform's lagging list shows it.

    Parameters
    ----------
    address : str
        ``ip:port`` on which the host's service listens.
    service : str
        ``router``, or the name of the target service it runs.
    zone : str
        Availability zone.
    state : str
        ``live`` or ``leaving``.
    incarnation : str
        Identity of this start of the host, empty where not known.
    """

    address: str
    service: str
    zone: str
    state: str = 'live'
    incarnation: str = ''


class HostList(abc.ABC):
    """The platform's lagging list of live and leaving hosts."""

    @abc.abstractmethod
    async def hosts(self) -> tuple[HostEntry, ...] | PlatformFault:
        """Return all hosts as far as the list has caught up."""

    @abc.abstractmethod
    async def power(
        self,
        address: str,
        *,
        on: bool,
        fence: int,
    ) -> PlatformFault | None:
        """Order a host switched on or off under a fencing number."""


class WeightStore(abc.ABC):
    """The platform's rate-limited store of model weights."""

    @abc.abstractmethod
    async def reserve(self, model: str) -> float | PlatformFault:
        """Ask for a load slot; return seconds to wait before loading."""
