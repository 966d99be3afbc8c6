"""Object store, host list and weight store kept in memory."""

import attrs
from sortedcontainers import SortedDict

from balsamreach.services.base import (
    HostEntry,
    HostList,
    ObjectStore,
    WeightStore,
)
from balsamreach.services.faults import (
    CONFLICT,
    MISSING,
    UNAVAILABLE,
    PlatformFault,
)
from balsamreach.standins.weather import Weather


@attrs.define
class MemoryObjectStore(ObjectStore):
    """Named byte strings in memory."""

    weather: Weather
    _objects: SortedDict = attrs.Factory(SortedDict)

    async def put(self, name: str, body: bytes) -> PlatformFault | None:
        """Store an object, replacing the one of the same name."""
        refusal = await self.weather.admit_write()
        if refusal is None:
            self._objects[name] = bytes(body)
        return refusal

    async def get(self, name: str) -> bytes | PlatformFault:
        """Return an object, or MISSING."""
        refusal = await self.weather.admit_read()
        if refusal is not None:
            return refusal
        if name not in self._objects:
            return MISSING.because(f'no object {name}')
        return self._objects[name]

    async def names(self, prefix: str) -> tuple[str, ...] | PlatformFault:
        """Return the names under a prefix in order."""
        refusal = await self.weather.admit_read()
        if refusal is not None:
            return refusal
        return tuple(name for name in self._objects if name.startswith(prefix))

    async def delete(self, name: str) -> PlatformFault | None:
        """Remove an object; one that is gone already counts as removed."""
        refusal = await self.weather.admit_write()
        if refusal is None:
            self._objects.pop(name, None)
        return refusal


@attrs.frozen
class _Listing:
    """The true list from one moment on."""

    since: float
    entries: tuple[HostEntry, ...]


@attrs.define
class MemoryHostList(HostList):
    """Host list that trails the true one by the lag set.

    Parameters
    ----------
    weather : Weather
        Conditions, among them the lag and the check of fencing numbers.
    """

    weather: Weather
    #: Power orders taken, in order: address, on, fence.
    orders: list[tuple[str, bool, int]] = attrs.Factory(list)
    _history: list[_Listing] = attrs.Factory(list)
    _fences: dict[str, int] = attrs.Factory(dict)

    async def hosts(self) -> tuple[HostEntry, ...] | PlatformFault:
        """Return all hosts as far as the list has caught up."""
        refusal = await self.weather.admit_read()
        if refusal is not None:
            return refusal
        horizon = self.weather.clock.now() - self.weather.hosts_lag_s
        visible: tuple[HostEntry, ...] = ()
        for listing in self._history:
            if listing.since <= horizon:
                visible = listing.entries
        return visible

    async def power(
        self,
        address: str,
        *,
        on: bool,
        fence: int,
    ) -> PlatformFault | None:
        """Order a host switched on or off under a fencing number."""
        refusal = await self.weather.admit_write()
        if refusal is not None:
            return refusal
        newest = self._fences.get(address, 0)
        if self.weather.refuse_old_fences and fence < newest:
            return CONFLICT.because('an older fencing number')
        self._fences[address] = max(newest, fence)
        self.orders.append((address, on, fence))
        self._switch(address, on=on)
        return None

    def replace(self, entries: tuple[HostEntry, ...]) -> None:
        """Make this the true list; the first one is visible at once."""
        since = self.weather.clock.now() if self._history else float('-inf')
        self._history.append(_Listing(since, entries))

    def _switch(self, address: str, *, on: bool) -> None:
        current = self._history[-1].entries if self._history else ()
        found = tuple(host for host in current if host.address == address)
        if found and not on:
            self.replace(tuple(host for host in current if host not in found))


@attrs.define
class MemoryWeightStore(WeightStore):
    """Weight store that hands out one load slot per interval.

    Parameters
    ----------
    weather : Weather
        Conditions the service runs under.
    interval_s : float
        Seconds between the starts of two loads.
    longest_wait_s : float
        A wait longer than this is refused as unavailable.
    """

    weather: Weather
    interval_s: float = 0
    longest_wait_s: float = 600
    _next_slot: float = float('-inf')

    async def reserve(self, model: str) -> float | PlatformFault:
        """Ask for a load slot; return seconds to wait before loading."""
        refusal = await self.weather.admit_write()
        if refusal is not None:
            return refusal
        now = self.weather.clock.now()
        slot = max(now, self._next_slot)
        if slot - now > self.longest_wait_s:
            return UNAVAILABLE.because('too many loads wait already')
        self._next_slot = slot + self.interval_s
        return slot - now
