"""Measures CPU time and control traffic of routers during a scenario."""

import time
from typing import Any

import attrs
from tornado.httpclient import AsyncHTTPClient

from balsamreach.peers.metric_names import BYTES
from bench.fleet import Fleet, fetch
from bench.processes import Process

_THOUSAND = 1000
_MIN_DIVISOR = 0.01


@attrs.frozen
class Reading:
    """Counters of one router at one time.

    Parameters
    ----------
    at : float
        Time of the reading on the monotonic clock.
    cpu_s : float
        CPU time in seconds.
    peer_bytes : float
        Bytes sent to and received from other routers.
    """

    at: float
    cpu_s: float = 0
    peer_bytes: float = 0


@attrs.define
class Meter:
    """Measures the difference of counters between two times.

    The last counters of a router have to be read with `read_last` before it is
    killed; a router that starts in between counts from its start.

    Parameters
    ----------
    fleet : Fleet
        Processes of the run.
    ended : bool
        Whether the last readings have been taken.
    """

    fleet: Fleet
    ended: bool = False
    _first: dict[Process, Reading] = attrs.field(factory=dict)
    _last: dict[Process, Reading] = attrs.field(factory=dict)
    _platform: list[dict[str, Any]] = attrs.field(factory=list)

    async def begin(self) -> None:
        """Take the first readings."""
        for router in self._alive():
            self._first[router] = await read(router)
        self._platform.append(await self._read_platform())

    async def read_last(self, router: Process) -> None:
        """Take the last reading of a router that is about to end."""
        self._last[router] = await read(router)

    async def end(self) -> None:
        """Take the last readings, once; later traffic isn't counted."""
        if self.ended:
            return
        self.ended = True
        for router in self._alive():
            await self.read_last(router)
        self._platform.append(await self._read_platform())

    def figures(self, requests: int) -> dict[str, float]:
        """Return traffic per router second and costs per request.

        Parameters
        ----------
        requests : int
            Number of requests of the run.
        """
        seconds = max(self._sum('at'), _MIN_DIVISOR)
        first, last = self._platform
        platform_bytes = last['bytes_moved'] - first['bytes_moved']
        writes = last['writes'] - first['writes']
        peer_bytes_s = self._sum('peer_bytes') / seconds
        platform_bytes_s = platform_bytes / seconds
        return {
            'requests_per_core_s': requests
            / max(self._sum('cpu_s'), _MIN_DIVISOR),
            'control_bytes_s': peer_bytes_s + platform_bytes_s,
            'peer_bytes_s': peer_bytes_s,
            'platform_bytes_s': platform_bytes_s,
            'platform_writes_per_1000': writes * _THOUSAND / max(requests, 1),
        }

    def _sum(self, name: str) -> float:
        return sum(
            getattr(last, name) - getattr(self._first_of(router), name)
            for router, last in self._last.items()
        )

    def _first_of(self, router: Process) -> Reading:
        return self._first.get(router, Reading(router.began_at))

    def _alive(self) -> list[Process]:
        return [router for router in self.fleet.routers if router.alive]

    async def _read_platform(self) -> dict[str, Any]:
        return await fetch(f'http://{self.fleet.platform.address}/control')


async def read(router: Process) -> Reading:
    """Read a router's byte counters and CPU time."""
    url = f'http://{router.started["operators"]}/metrics'
    reply = await AsyncHTTPClient().fetch(url)
    peer_bytes = sum(
        float(line.rpartition(' ')[2])
        for line in reply.body.decode().splitlines()
        if line.startswith(BYTES)
    )
    return Reading(time.monotonic(), router.cpu_s(), peer_bytes)
