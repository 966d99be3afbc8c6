"""Interfaces and data types of the four platform services."""

import abc
from collections.abc import Mapping
from typing import Any

import attrs

from balsamreach.services.faults import PlatformFault

#: Version of a key without a row.
ABSENT = 0

RowValue = Mapping[str, Any]


@attrs.frozen
class Row:
    """A row as the table service returns it.

    Parameters
    ----------
    key : str
        Full key, with parts separated by slashes.
    version : int
        Number of the commit that last wrote the row; 0 if it never existed.
    value : Mapping or None
        JSON object; None if the row is absent or deleted.
    """

    key: str
    version: int
    value: RowValue | None


@attrs.frozen
class Check:
    """Condition of a commit: the row must have this version.

    With version ``ABSENT`` the row must be absent or deleted.
    """

    key: str
    version: int


@attrs.frozen
class Write:
    """A row to write; a value of None deletes it."""

    key: str
    value: RowValue | None


@attrs.frozen
class Commit:
    """Writes that are applied atomically if and only if all checks hold."""

    writes: tuple[Write, ...]
    checks: tuple[Check, ...] = ()


@attrs.frozen
class Page:
    """One page of a scan.

    Parameters
    ----------
    rows : tuple of Row
        In key order if ``since`` was 0; otherwise in version order and
        including deleted rows.
    version : int
        Number of the newest commit that the page includes.
    more : bool
        Whether more rows follow on another page.
    """

    rows: tuple[Row, ...]
    version: int
    more: bool = False


@attrs.frozen
class Scan:
    """Parameters of a scan by prefix, optionally only of later changes.

    Parameters
    ----------
    prefix : str
        Prefix of the keys.
    since : int
        0 for all rows; otherwise only those written by later commits.
    after : str
        With ``since`` 0, the last key of the previous page.
    limit : int
        Maximum number of rows of a page.
    """

    prefix: str
    since: int = 0
    after: str = ''
    limit: int = 1000


class TableService(abc.ABC):
    """Transactional table that persists when all routers stop."""

    @abc.abstractmethod
    async def commit(self, change: Commit) -> int | PlatformFault:
        """Apply a conditional commit.

        Returns
        -------
        int or PlatformFault
            The number of the commit; UNREACHABLE, UNAVAILABLE, CONFLICT or
            INVALID if nothing was applied; UNKNOWN if no answer came.
        """

    @abc.abstractmethod
    async def read(
        self, keys: tuple[str, ...]
    ) -> tuple[Row, ...] | PlatformFault:
        """Read rows by key in one consistent view.

        A row that never existed has version 0.
        """

    @abc.abstractmethod
    async def scan(self, scan: Scan) -> Page | PlatformFault:
        """Read one page of the rows whose keys start with a prefix."""


class ObjectStore(abc.ABC):
    """Store of named byte strings, which are replaced as a whole."""

    @abc.abstractmethod
    async def put(self, name: str, body: bytes) -> PlatformFault | None:
        """Store an object, replacing one of the same name."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | PlatformFault:
        """Return an object, or MISSING."""

    @abc.abstractmethod
    async def names(self, prefix: str) -> tuple[str, ...] | PlatformFault:
        """Return the sorted names that start with a prefix."""

    @abc.abstractmethod
    async def delete(self, name: str) -> PlatformFault | None:
        """Delete an object; no fault if it does not exist."""


@attrs.frozen
class HostEntry:
    """A host in the platform's host list, which may lag.

    Parameters
    ----------
    address : str
        Listen address of the host's service as ``ip:port``.
    service : str
        ``router``, or the name of its target service.
    zone : str
        Availability zone.
    state : str
        ``live`` or ``leaving``.
    incarnation : str
        Identity of this start of the host; empty if unknown.
    """

    address: str
    service: str
    zone: str
    state: str = 'live'
    incarnation: str = ''


class HostList(abc.ABC):
    """The platform's list of live and leaving hosts, which may lag."""

    @abc.abstractmethod
    async def hosts(self) -> tuple[HostEntry, ...] | PlatformFault:
        """Return the hosts in the list, which may lag."""

    @abc.abstractmethod
    async def power(
        self,
        address: str,
        *,
        on: bool,
        fence: int,
    ) -> PlatformFault | None:
        """Order a host to be switched on or off, with a fencing number."""


class WeightStore(abc.ABC):
    """The platform's rate-limited store of model weights."""

    @abc.abstractmethod
    async def reserve(self, model: str) -> float | PlatformFault:
        """Reserve a load; return the seconds to wait before it."""
