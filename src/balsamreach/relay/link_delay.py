"""Effect of the link's backlog on calls to targets and other routers."""

import attrs

from balsamreach.relay.host_link import HostLink

#: Backlog in seconds above which a timeout says nothing about the other end.
_MIN_BACKLOG_S = 0.1
#: Multiple of the backlog by which timeouts are extended: a call and its
#: answer each wait for the link.
_CROSSINGS = 2
#: Maximum extension of a timeout in seconds. With more, callers at a saturated
#: host wait until they give up, although they could retry at another host.
_MAX_EXTRA_S = 0.3


@attrs.frozen
class LinkDelay:
    """Delay that calls meet on this host's own link.

    With timeouts that ignore it, a saturated link makes all targets and homes
    appear to be down.

    Parameters
    ----------
    link : HostLink
        The host's link.
    enabled : bool
        Whether timeouts allow for the delay.
    """

    link: HostLink
    enabled: bool = attrs.field(kw_only=True)

    def is_high(self) -> bool:
        """Return whether a timeout may be due to the link alone."""
        return self.enabled and self.link.backlog_seconds() > _MIN_BACKLOG_S

    def extra_seconds(self) -> float:
        """Return the seconds by which timeouts of calls are extended."""
        if not self.is_high():
            return 0
        return min(_MAX_EXTRA_S, _CROSSINGS * self.link.backlog_seconds())
