"""Which routers hold a team's tokens in a fleet that has hubs."""

from collections.abc import Iterable

from balsamreach.peers.base import PeerNet
from balsamreach.peers.homes import heaviest
from balsamreach.wire.membership import Member

#: Most teams that a home holds tokens of before their first request. Beyond
#: it most of a configuration's teams are idle, and what is held of each is
#: lost with the host's power.
_MOST_AHEAD = 200


def home_of(team: str, net: PeerNet, zone: str) -> Member | None:
    """Return the router that holds a team's tokens for a zone.

    Parameters
    ----------
    team : str
        The team.
    net : PeerNet
        The routers.
    zone : str
        The zone.

    Returns
    -------
    Member or None
        One of the zone's hubs; None where each router holds its own.
    """
    return heaviest(team, net.hubs.of(zone))


def homes_of(team: str, net: PeerNet) -> tuple[Member, ...]:
    """Return whom this router may ask for a team's tokens.

    These are the homes of all zones, and the other hubs of its own, which
    may reach the table service where the home does not.
    """
    homes = [home_of(team, net, zone) for zone in net.hubs.zones()]
    near = net.hubs.of(net.me.zone)
    found = {home.incarnation: home for home in (*homes, *near) if home}
    found.pop(net.me.incarnation, None)
    return tuple(found.values())


def is_holder(team: str, net: PeerNet) -> bool:
    """Return whether this router holds a team's tokens."""
    home = home_of(team, net, net.me.zone)
    return home is None or home.incarnation == net.me.incarnation


def held_ahead(teams: Iterable[str], net: PeerNet) -> tuple[str, ...]:
    """Return the teams whose home this router is, few in a large fleet.

    Parameters
    ----------
    teams : iterable of str
        Teams that may send requests.
    net : PeerNet
        The routers.

    Returns
    -------
    tuple of str
        None where each router holds its own, or there are too many.
    """
    if not net.hubs.of(net.me.zone):
        return ()
    held = tuple(team for team in teams if is_holder(team, net))
    return held if len(held) <= _MOST_AHEAD else ()


def count_holders(net: PeerNet) -> int:
    """Return how many routers hold a team's tokens: one a zone, or all."""
    return len(net.hubs.zones()) or len(net.members())


def count_reporting(net: PeerNet) -> int:
    """Return how many routers report what they may use: the hubs, or all."""
    hubs = sum(len(net.hubs.of(zone)) for zone in net.hubs.zones())
    return hubs or len(net.members())
