"""In-memory implementation of the four platform services."""

import attrs

from balsamreach.clock import Clock
from balsamreach.standins.conditions import PlatformConditions
from balsamreach.standins.memory_stores import (
    MemoryHostList,
    MemoryObjectStore,
    MemoryWeightStore,
)
from balsamreach.standins.memory_table import MemoryTableService


@attrs.frozen
class MemoryPlatform:
    """The four platform services under the same simulated conditions.

    Parameters
    ----------
    weather : PlatformConditions
        Delays, outages and rate limits of the four services.
    """

    weather: PlatformConditions
    table: MemoryTableService
    objects: MemoryObjectStore
    hosts: MemoryHostList
    weights: MemoryWeightStore

    @classmethod
    def start(cls, clock: Clock) -> 'MemoryPlatform':
        """Return empty services that use a clock."""
        weather = PlatformConditions(clock)
        return cls(
            weather=weather,
            table=MemoryTableService(weather),
            objects=MemoryObjectStore(weather),
            hosts=MemoryHostList(weather),
            weights=MemoryWeightStore(weather),
        )
