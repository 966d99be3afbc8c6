"""Consistent hashing of names, with an order of members for each key."""

import bisect
from array import array
from collections.abc import Iterator, Sequence

import attrs
import xxhash

_POINTS_PER_MEMBER = 64
_MAX_POINTS_PER_MEMBER = 512
#: Largest number of points on a ring. Beyond some hundred members each gets
#: fewer: 64 points for each of a model's 330 targets made a ring of 250 KB
#: that took 20 ms to build, and the load bound evens out the less uniform
#: distribution.
_MAX_POINTS = 8192
_HASH_SHIFT = 32


@attrs.frozen
class Ring:
    """Points of all members on a circle of 32-bit hashes.

    All routers that know the same members and weights build the same ring, so
    they map a key to the same member without communicating.
    """

    _hashes: array
    _members: array

    def walk(self, key: int) -> Iterator[int]:
        """Yield each member's index once, in the ring order of a 64-bit key."""
        size = len(self._hashes)
        start = bisect.bisect_left(self._hashes, key >> _HASH_SHIFT)
        seen: set[int] = set()
        for step in range(size):
            member = self._members[(start + step) % size]
            if member not in seen:
                seen.add(member)
                yield member


def make_ring(names: Sequence[str], weights: Sequence[float]) -> Ring:
    """Return a ring whose members have points in proportion to weight."""
    mean = sum(weights) / len(weights) if weights else 1
    base_count = min(_POINTS_PER_MEMBER, _MAX_POINTS / max(1, len(names)))
    points = []
    for member, name in enumerate(names):
        count = round(base_count * weights[member] / mean)
        numbers = range(min(max(count, 1), _MAX_POINTS_PER_MEMBER))
        points.extend((_hash(f'{name}#{number}'), member) for number in numbers)
    # Sorted by 64-bit hashes: points with the same upper half would otherwise
    # be in a different order on routers that list the members differently.
    points.sort()
    return Ring(
        array('I', [point[0] >> _HASH_SHIFT for point in points]),
        array('I', [point[1] for point in points]),
    )


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
