"""Number of hosts that the demand requires."""

import math
from collections import deque

import attrs

from balsamreach.config.target_settings import PowerSettings

#: Slots assumed for hosts that report none.
_SLOTS = 1
#: From this share of busy slots on, there may be waiting requests that the load
#: does not show.
_SATURATED = 0.95
#: Required hosts at saturation, relative to those that are on.
_SATURATED_GROWTH = 1.5


@attrs.frozen
class Load:
    """Load of a service's hosts in a zone at one moment.

    Parameters
    ----------
    busy : int
        Requests running or waiting at the hosts and at this router.
    slots : int
        Requests that the hosts can run at once.
    hosts : int
        Number of hosts that these figures come from.
    """

    busy: int
    slots: int
    hosts: int


@attrs.define
class Demand:
    """Computes the desired number of hosts from recent loads.

    The number rises at once and falls only after it was not needed for the
    whole of ``idle``: demand that swings faster switches no host.
    """

    cfg: PowerSettings
    _recent_needs: deque[tuple[float, int]] = attrs.field(factory=deque)

    def reset(self, desired: int, now: float) -> None:
        """Start from the number that another decider required."""
        self._recent_needs.clear()
        self._recent_needs.append((now, desired))

    def desired(self, load: Load, now: float) -> int:
        """Return the number of hosts that should be on."""
        need = self._need(load)
        needs = self._recent_needs
        # Only the largest need of the window matters; an older need that is no
        # larger than a new one can never be the largest again.
        while needs and needs[-1][1] <= need:
            needs.pop()
        needs.append((now, need))
        while needs[0][0] <= now - self.cfg.idle:
            needs.popleft()
        return needs[0][1]

    def _need(self, load: Load) -> int:
        per_host = load.slots / load.hosts if load.hosts else _SLOTS
        usable_slots = max(_SLOTS, per_host) * max(0.01, self.cfg.utilisation)
        hosts = math.ceil(load.busy / usable_slots)
        if load.slots and load.busy >= load.slots * _SATURATED:
            hosts = max(hosts, math.ceil(load.hosts * _SATURATED_GROWTH))
        return max(self.cfg.least, hosts + self.cfg.spare)
