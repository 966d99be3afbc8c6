"""When a second attempt of a slow idempotent request is worth its load."""

from collections import deque

import attrs

from balsamreach.routing.pools import PoolKey

_REMEMBERED = 200
#: Answers that must have been seen before slow is told from usual.
_FEWEST = 20
_SHARE = 0.98
#: A hedge sooner than this would cost more than it saves.
_FLOOR = 0.05


@attrs.define
class HedgeDelays:
    """The usual time to the first byte, by model or service.

    Parameters
    ----------
    enabled : bool
        Setting ``[routing] hedge``.
    """

    enabled: bool
    _times: dict[PoolKey, deque[float]] = attrs.field(factory=dict)

    def observe(self, pool: PoolKey, first_byte: float) -> None:
        """Take note of the time that an attempt's first byte took."""
        if not self.enabled:
            return
        times = self._times.setdefault(pool, deque(maxlen=_REMEMBERED))
        times.append(first_byte)

    def delay(self, pool: PoolKey) -> float:
        """Return after how many seconds to hedge; 0 for not at all."""
        times = self._times.get(pool, ())
        if len(times) < _FEWEST:
            return 0
        ordered = sorted(times)
        return max(_FLOOR, ordered[int(_SHARE * len(ordered))])
