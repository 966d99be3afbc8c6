"""Decides when this router leaves the rotation of the load balancer.

Load pattern: since the load balancer assigns callers by hashing, all requests
of a large team arrive through one small host, second after second. Refused
callers would retry at the same host, so refusing doesn't help. Out of
rotation for a while, the host finishes its requests in progress, and the
team's new connections go to another host, which does the same before its link
is full.
"""

import attrs

from balsamreach.clock import Clock
from balsamreach.relay.host_link import HostLink

#: Minimum seconds out of rotation. If shorter, callers would be back before
#: another host has taken them; if longer, too many hosts of a zone would be
#: out at once.
MIN_OUT_S = 6
#: Seconds for which the link must stay full. One long body fills a small link
#: for less; if that were enough, an eighth of the fleet would be out at any
#: time. It is short, because the load balancer takes seconds to react.
FULL_FOR_S = 0.1


@attrs.define
class Rotation:
    """Whether this router should be out of rotation.

    Parameters
    ----------
    link : HostLink
        The host's link.
    clock : Clock
        Source of the current time.
    """

    link: HostLink
    clock: Clock
    _full_since: float | None = None
    _out_until: float = float('-inf')

    def is_out(self) -> bool:
        """Check the link, and return whether to be out of rotation."""
        now = self.clock.now()
        if not self.link.is_full():
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now
        elif now - self._full_since >= FULL_FOR_S:
            self._out_until = now + MIN_OUT_S
        return now < self._out_until
