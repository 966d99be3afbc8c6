"""Creates the components that watch the link of a router's host."""

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.peers.base import PeerNet
from balsamreach.relay.heavy_team_sharing import HeavyTeamSharing
from balsamreach.relay.heavy_teams import HeavyTeamTracker, ZoneReports
from balsamreach.relay.host_link import HostLink
from balsamreach.relay.link_delay import LinkDelay
from balsamreach.relay.rotation import Rotation
from balsamreach.relay.team_traffic import TeamTraffic

_MS = 1000


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
    rotation : Rotation
        Decides whether to be out of the load balancer's rotation.
    sharing : HeavyTeamSharing or None
        Exchanges reports about heavy teams; None while link control is off
        or the link's bandwidth is unknown.
    """

    link: HostLink
    delay: LinkDelay
    base_timeout: float
    rotation: Rotation
    sharing: HeavyTeamSharing | None

    def connect_timeout(self) -> float:
        """Return the maximum seconds to connect to a target now."""
        return self.base_timeout + self.delay.extra_seconds()

    def update(self) -> bool:
        """Decide and report whether this router should be out of rotation."""
        is_out = self.rotation.is_out()
        if self.sharing is not None:
            self.sharing.run_round(out_of_rotation=is_out)
        return is_out

    def describe_cause(self) -> dict[str, object]:
        """Return the report behind the last change of rotation, for a log."""
        cause = self.rotation.cause
        if cause is None:
            return {}
        return {
            'team': cause.team,
            'bytes_per_second': cause.bytes_per_second,
            'report_age_ms': round(cause.age * _MS),
        }


def make_link_parts(cfg: Settings, net: PeerNet, clock: Clock) -> LinkParts:
    """Create the components, and begin to receive reports.

    Parameters
    ----------
    cfg : Settings
        The router's settings.
    net : PeerNet
        The other routers.
    clock : Clock
        Source of the current time.
    """
    link, sharing = HostLink(cfg.host.link, clock), None
    if cfg.relay.link_control and link.mbit:
        sharing = _make_sharing(link, net, clock)
        sharing.start()
    return LinkParts(
        link=link,
        delay=LinkDelay(link, enabled=cfg.relay.link_control),
        base_timeout=cfg.relay.connect_timeout,
        rotation=Rotation(link, clock, sharing and sharing.tracker),
        sharing=sharing,
    )


def _make_sharing(
    link: HostLink, net: PeerNet, clock: Clock
) -> HeavyTeamSharing:
    link.traffic = TeamTraffic(clock)
    tracker = HeavyTeamTracker(
        link,
        link.traffic,
        ZoneReports(clock),
        net.me.incarnation,
        lambda: _count_zone(net),
        clock,
    )
    return HeavyTeamSharing(net, tracker, clock)


def _count_zone(net: PeerNet) -> int:
    return sum(member.zone == net.me.zone for member in net.members())
