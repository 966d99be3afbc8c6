"""Delay before a slow idempotent request gets a second attempt."""

from collections import deque

import attrs

from balsamreach.routing.pools import PoolKey

_MAX_SAMPLES = 200
#: Samples needed before a delay can be computed.
_MIN_SAMPLES = 20
_QUANTILE = 0.98
#: Hedging sooner than this costs more than it saves.
_MIN_DELAY = 0.05


@attrs.define
class HedgeDelays:
    """Hedge delays from recent first-byte times, by model or service.

    Parameters
    ----------
    enabled : bool
        Setting ``[routing] hedge``.
    """

    enabled: bool
    _times: dict[PoolKey, deque[float]] = attrs.field(factory=dict)

    def add_first_byte(self, pool: PoolKey, first_byte: float) -> None:
        """Add the first-byte time of an attempt, in seconds."""
        if not self.enabled:
            return
        times = self._times.setdefault(pool, deque(maxlen=_MAX_SAMPLES))
        times.append(first_byte)

    def delay(self, pool: PoolKey) -> float:
        """Return the seconds before a hedge; 0 means no hedge."""
        times = self._times.get(pool, ())
        if len(times) < _MIN_SAMPLES:
            return 0
        ordered = sorted(times)
        return max(_MIN_DELAY, ordered[int(_QUANTILE * len(ordered))])
