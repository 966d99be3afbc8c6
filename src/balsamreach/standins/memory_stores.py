"""In-memory object store, host list and weight store."""

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
from balsamreach.standins.conditions import PlatformConditions


@attrs.define
class MemoryObjectStore(ObjectStore):
    """In-memory object store."""

    weather: PlatformConditions
    _objects: SortedDict = attrs.Factory(SortedDict)

    async def put(self, name: str, body: bytes) -> PlatformFault | None:
        """Store an object, replacing one of the same name."""
        fault = await self.weather.admit_write()
        if fault is None:
            self._objects[name] = bytes(body)
        return fault

    async def get(self, name: str) -> bytes | PlatformFault:
        """Return an object, or MISSING."""
        fault = await self.weather.admit_read()
        if fault is not None:
            return fault
        if name not in self._objects:
            return MISSING.because(f'no object {name}')
        return self._objects[name]

    async def names(self, prefix: str) -> tuple[str, ...] | PlatformFault:
        """Return the sorted names that start with a prefix."""
        fault = await self.weather.admit_read()
        if fault is not None:
            return fault
        return tuple(name for name in self._objects if name.startswith(prefix))

    async def delete(self, name: str) -> PlatformFault | None:
        """Delete an object; no fault if it does not exist."""
        fault = await self.weather.admit_write()
        if fault is None:
            self._objects.pop(name, None)
        return fault


@attrs.frozen
class _HostSnapshot:
    """The actual list of hosts from a moment on."""

    since: float
    entries: tuple[HostEntry, ...]


@attrs.define
class MemoryHostList(HostList):
    """Host list that lags behind the actual one by ``hosts_lag_s``.

    Parameters
    ----------
    weather : PlatformConditions
        Conditions, including the lag and the check of fencing numbers.
    """

    weather: PlatformConditions
    #: Accepted power orders, oldest first: address, on, fence.
    orders: list[tuple[str, bool, int]] = attrs.Factory(list)
    _history: list[_HostSnapshot] = attrs.Factory(list)
    _fences: dict[str, int] = attrs.Factory(dict)

    async def hosts(self) -> tuple[HostEntry, ...] | PlatformFault:
        """Return the hosts in the list, which may lag."""
        fault = await self.weather.admit_read()
        if fault is not None:
            return fault
        visible_until = self.weather.clock.now() - self.weather.hosts_lag_s
        visible: tuple[HostEntry, ...] = ()
        for snapshot in self._history:
            if snapshot.since <= visible_until:
                visible = snapshot.entries
        return visible

    async def power(
        self,
        address: str,
        *,
        on: bool,
        fence: int,
    ) -> PlatformFault | None:
        """Order a host to be switched on or off.

        CONFLICT if ``refuse_old_fences`` is set and the fencing number is
        older than the newest one for the address.
        """
        fault = await self.weather.admit_write()
        if fault is not None:
            return fault
        newest = self._fences.get(address, 0)
        if self.weather.refuse_old_fences and fence < newest:
            return CONFLICT.because('the fencing number is outdated')
        self._fences[address] = max(newest, fence)
        self.orders.append((address, on, fence))
        self._apply_power(address, on=on)
        return None

    def replace(self, entries: tuple[HostEntry, ...]) -> None:
        """Replace the actual list; the first one is visible at once."""
        since = self.weather.clock.now() if self._history else float('-inf')
        self._history.append(_HostSnapshot(since, entries))

    def _apply_power(self, address: str, *, on: bool) -> None:
        current = self._history[-1].entries if self._history else ()
        matching = tuple(host for host in current if host.address == address)
        if matching and not on:
            self.replace(
                tuple(host for host in current if host not in matching)
            )


@attrs.define
class MemoryWeightStore(WeightStore):
    """Weight store that grants one load per interval.

    Parameters
    ----------
    weather : PlatformConditions
        Simulated conditions.
    interval_s : float
        Seconds between the starts of consecutive loads.
    longest_wait_s : float
        Seconds; a longer wait is refused with UNAVAILABLE.
    """

    weather: PlatformConditions
    interval_s: float = 0
    longest_wait_s: float = 600
    _next_slot: float = float('-inf')

    async def reserve(self, model: str) -> float | PlatformFault:
        """Reserve a load; return the seconds to wait before it."""
        fault = await self.weather.admit_write()
        if fault is not None:
            return fault
        now = self.weather.clock.now()
        slot = max(now, self._next_slot)
        if slot - now > self.longest_wait_s:
            return UNAVAILABLE.because('too many loads are waiting')
        self._next_slot = slot + self.interval_s
        return slot - now
