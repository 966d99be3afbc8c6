"""What every measurement of a slope is given and returns."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Mapping
from typing import Any

import attrs

_MICRO = 1_000_000


@attrs.frozen
class Size:
    """One run of one measurement.

    Parameters
    ----------
    seed : int
        Seed of all its randomness.
    smoke : bool
        Whether sizes are small, for the tests.
    """

    seed: int
    smoke: bool = False

    def scale(self, full: int, small: int) -> int:
        """Return a count for this kind of run."""
        return small if self.smoke else full


#: Returns figures by name; a name ends in its unit.
Measure = Callable[[Size], Mapping[str, float]]


def bytes_each(make: Callable[[int], Any], count: int) -> float:
    """Return the memory of one more, from half and all of a count.

    Parameters
    ----------
    make : callable
        Makes that many and returns what keeps them in memory.
    count : int
        The larger of the two sizes.
    """
    sizes = [bytes_of(make, number) for number in (count // 2, count)]
    return (sizes[1] - sizes[0]) / (count - count // 2)


def bytes_of(make: Callable[[int], Any], number: int) -> int:
    """Return the memory of a number of things."""
    gc.collect()
    tracemalloc.start()
    kept = make(number)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def cpu_us_each(work: Callable[[], Any], count: int) -> float:
    """Return microseconds of processor time of one call out of many."""
    began = time.process_time()
    for _ in range(count):
        work()
    return (time.process_time() - began) / count * _MICRO


def cpu_us_since(began: float, count: int) -> float:
    """Return microseconds for each of a count since a process time."""
    return (time.process_time() - began) / count * _MICRO
