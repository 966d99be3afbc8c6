"""How many hosts demand calls for."""

import math
from collections import deque

import attrs

from balsamreach.config.target_settings import PowerSettings

#: Slots assumed of hosts that report none.
_SLOTS = 1
#: From this share of busy slots on, requests may be waiting unseen.
_SATURATED = 0.95
#: Hosts asked for at saturation, in relation to those that are on.
_GROWTH = 1.5


@attrs.frozen
class Load:
    """What a service's hosts in a zone carry at one moment.

    Parameters
    ----------
    busy : int
        Requests running or waiting at hosts and at this router.
    slots : int
        Requests that the hosts can run at once.
    hosts : int
        Hosts that these figures come from.
    """

    busy: int
    slots: int
    hosts: int


@attrs.define
class Demand:
    """Works out the desired number from the loads seen so far.

    The number rises at once and falls only after it was not needed for the
    whole of ``idle``: demand that swings faster than that moves no host.
    """

    cfg: PowerSettings
    _needs: deque[tuple[float, int]] = attrs.field(factory=deque)

    def begin(self, desired: int, now: float) -> None:
        """Take over what another decider held to be needed."""
        self._needs.clear()
        self._needs.append((now, desired))

    def desired(self, load: Load, now: float) -> int:
        """Return the number of hosts that should be on."""
        need = self._need(load)
        needs = self._needs
        # Only the largest need of the window matters; whatever is smaller
        # and older than a new one can never be the largest again.
        while needs and needs[-1][1] <= need:
            needs.pop()
        needs.append((now, need))
        while needs[0][0] <= now - self.cfg.idle:
            needs.popleft()
        return needs[0][1]

    def _need(self, load: Load) -> int:
        per_host = load.slots / load.hosts if load.hosts else _SLOTS
        useful = max(_SLOTS, per_host) * max(0.01, self.cfg.utilisation)
        hosts = math.ceil(load.busy / useful)
        if load.slots and load.busy >= load.slots * _SATURATED:
            hosts = max(hosts, math.ceil(load.hosts * _GROWTH))
        return max(self.cfg.least, hosts + self.cfg.spare)
