"""Parameters and helpers of the slope measurements."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Mapping
from typing import Any

import attrs

_MICRO = 1_000_000


@attrs.frozen
class Size:
    """Parameters of one run of a measurement.

    Parameters
    ----------
    seed : int
        Seed of all random numbers.
    smoke : bool
        Whether sizes are small, for the tests.
    """

    seed: int
    smoke: bool = False

    def scale(self, full: int, small: int) -> int:
        """Return ``small`` for a smoke run, else ``full``."""
        return small if self.smoke else full


#: Function that returns figures by name; a name ends in its unit.
Measure = Callable[[Size], Mapping[str, float]]


def bytes_each(make: Callable[[int], Any], count: int) -> float:
    """Return the bytes per object, from the slope between two counts.

    Parameters
    ----------
    make : callable
        Creates a number of objects and returns a reference that keeps them.
    count : int
        Larger count; the smaller one is half of it.
    """
    sizes = [bytes_of(make, number) for number in (count // 2, count)]
    return (sizes[1] - sizes[0]) / (count - count // 2)


def bytes_of(make: Callable[[int], Any], number: int) -> int:
    """Return the bytes of a number of objects; see `bytes_each`."""
    gc.collect()
    tracemalloc.start()
    kept = make(number)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def cpu_us_each(work: Callable[[], Any], count: int) -> float:
    """Return the mean CPU microseconds of a call."""
    began = time.process_time()
    for _ in range(count):
        work()
    return (time.process_time() - began) / count * _MICRO


def cpu_us_since(began: float, count: int) -> float:
    """Return CPU microseconds per item since a process time."""
    return (time.process_time() - began) / count * _MICRO
