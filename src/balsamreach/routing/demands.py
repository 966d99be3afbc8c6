"""Other routers' demand by team, as their newest messages tell it."""

from collections import OrderedDict

import attrs

from balsamreach.wire.messages import Uses

#: A router's word counts for this many intervals.
_FRESH_INTERVALS = 5


@attrs.define
class Demands:
    """Sums over routers, kept up with each message.

    A request then needs one look-up, whatever the number of routers.
    """

    _heard: OrderedDict[str, tuple[float, Uses]] = attrs.field(
        factory=OrderedDict,
    )
    _sums: dict[str, int] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return how many routers' words count now."""
        return len(self._heard)

    def put(self, uses: Uses, now: float, interval: float) -> bool:
        """Take a message; False if it is old news."""
        known = self._heard.get(uses.incarnation)
        if known is not None and known[1].window >= uses.window:
            return False
        self._drop(uses.incarnation)
        expires = now + _FRESH_INTERVALS * interval
        self._heard[uses.incarnation] = (expires, uses)
        self._add(uses, 1)
        return True

    def expire(self, now: float) -> None:
        """Let go of routers that have been silent for too long."""
        silent = [
            incarnation
            for incarnation, (expires, _uses) in self._heard.items()
            if expires < now
        ]
        for incarnation in silent:
            self._drop(incarnation)

    def of_team(self, team: str) -> int:
        """Return the demand of a team at all other routers."""
        return self._sums.get(team, 0)

    def _drop(self, incarnation: str) -> None:
        known = self._heard.pop(incarnation, None)
        if known is not None:
            self._add(known[1], -1)

    def _add(self, uses: Uses, sign: int) -> None:
        for use in uses.teams:
            total = self._sums.get(use.team, 0) + sign * use.requests
            if total > 0:
                self._sums[use.team] = total
            else:
                self._sums.pop(use.team, None)
