"""Decides when this router asks the balancer to send callers elsewhere.

Load pattern: a large team's requests all come through one small host, second
after second, since the balancer hashes callers. Turned away, they come back
to the same host, so that a refusal serves nobody. Left out by the balancer
for a while, the host answers what it has, and the team's new connections go
to another one, which does the same before it is full.
"""

import attrs

from balsamreach.clock import Clock
from balsamreach.relay.host_link import HostLink

#: Seconds for which a router asks to be left out at least. Shorter, its
#: callers would be back before another host has taken them; longer, too much
#: of a zone would be out at once.
OUT_S = 6
#: Seconds for which the link must stay full. One long body fills a small link
#: for less; were a host left out for it, an eighth of the fleet would be out
#: at any time. The balancer takes seconds to follow, so it is short.
LASTING_S = 0.1


@attrs.define
class Rotation:
    """Whether callers should come by another router.

    Parameters
    ----------
    link : HostLink
        What waits for the host's link.
    clock : Clock
        Time.
    """

    link: HostLink
    clock: Clock
    _full_since: float | None = None
    _out_until: float = float('-inf')

    def is_out(self) -> bool:
        """Look at the link, and return whether to be left out."""
        now = self.clock.now()
        if not self.link.is_full():
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now
        elif now - self._full_since >= LASTING_S:
            self._out_until = now + OUT_S
        return now < self._out_until
