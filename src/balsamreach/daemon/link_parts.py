"""Creates the components that watch the link of a router's host."""

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.relay.host_link import HostLink
from balsamreach.relay.link_delay import LinkDelay


@attrs.define(kw_only=True)
class LinkParts:
    """The components that watch the link.

    Parameters
    ----------
    link : HostLink
        The host's link.
    delay : LinkDelay
        Extends timeouts; not at all while link control is off.
    base_timeout : float
        Seconds to connect to a target over an idle link.
    """

    link: HostLink
    delay: LinkDelay
    base_timeout: float

    def connect_timeout(self) -> float:
        """Return the maximum seconds to connect to a target now."""
        return self.base_timeout + self.delay.extra_seconds()


def make_link_parts(cfg: Settings, clock: Clock) -> LinkParts:
    """Create the components, without starting them.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    clock : Clock
        Source of the current time.
    """
    link = HostLink(cfg.host.link, clock)
    return LinkParts(
        link=link,
        delay=LinkDelay(link, enabled=cfg.relay.link_control),
        base_timeout=cfg.relay.connect_timeout,
    )
