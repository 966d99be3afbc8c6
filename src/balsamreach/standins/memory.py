"""The four platform services kept in one process's memory."""

import attrs

from balsamreach.clock import Clock
from balsamreach.standins.memory_stores import (
    MemoryHostList,
    MemoryObjectStore,
    MemoryWeightStore,
)
from balsamreach.standins.memory_table import MemoryTableService
from balsamreach.standins.weather import Weather


@attrs.frozen
class MemoryPlatform:
    """All four services under one weather.

    Parameters
    ----------
    weather : Weather
        Conditions shared by the four services.
    """

    weather: Weather
    table: MemoryTableService
    objects: MemoryObjectStore
    hosts: MemoryHostList
    weights: MemoryWeightStore

    @classmethod
    def start(cls, clock: Clock) -> 'MemoryPlatform':
        """Return empty services on the given clock."""
        weather = Weather(clock)
        return cls(
            weather=weather,
            table=MemoryTableService(weather),
            objects=MemoryObjectStore(weather),
            hosts=MemoryHostList(weather),
            weights=MemoryWeightStore(weather),
        )
