"""Consistent hashing: names in an order that a key decides."""

import bisect
from array import array
from collections.abc import Iterator, Sequence

import attrs
import xxhash

_POINTS = 64
_MOST_POINTS = 512
#: All points of a ring together. Beyond some hundred members each has fewer:
#: 64 for each of a model's 330 targets made a ring of 250 KB and 20 ms, and
#: the bound of load evens out what fewer points leave uneven.
_MOST_IN_ALL = 8192
_HALF = 32


@attrs.frozen
class Ring:
    """Points of all members on a circle of 32-bit hashes.

    Every router that knows the same members and weights builds the same
    ring, so they agree on a key's member without a message.
    """

    _hashes: array
    _owners: array

    def walk(self, key: int) -> Iterator[int]:
        """Yield members' indices in the order of a 64-bit key, each once."""
        size = len(self._hashes)
        start = bisect.bisect_left(self._hashes, key >> _HALF)
        seen: set[int] = set()
        for step in range(size):
            owner = self._owners[(start + step) % size]
            if owner not in seen:
                seen.add(owner)
                yield owner


def make_ring(names: Sequence[str], weights: Sequence[float]) -> Ring:
    """Return a ring with points in proportion to weights."""
    mean = sum(weights) / len(weights) if weights else 1
    usual = min(_POINTS, _MOST_IN_ALL / max(1, len(names)))
    points = []
    for owner, name in enumerate(names):
        count = round(usual * weights[owner] / mean)
        numbers = range(min(max(count, 1), _MOST_POINTS))
        points.extend((_hash(f'{name}#{num}'), owner) for num in numbers)
    # Sorted by whole hashes: among halves that are the same, routers that
    # list members in another order would walk another way.
    points.sort()
    return Ring(
        array('I', [point[0] >> _HALF for point in points]),
        array('I', [point[1] for point in points]),
    )


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
