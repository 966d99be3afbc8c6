"""Finds a team's home: the hub that holds its tokens for a zone."""

from collections.abc import Iterable

from balsamreach.peers.base import PeerNet
from balsamreach.peers.rendezvous import highest_weight_member
from balsamreach.wire.membership import Member

#: Most teams for which a home draws tokens before their first request. With
#: more teams in a configuration most of them are idle, and the tokens held
#: for each are lost if the host loses power.
_MAX_HOME_TEAMS = 200


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
        One of the zone's hubs; None if there are no hubs and each router
        holds its own tokens.
    """
    return highest_weight_member(team, net.hubs.hubs_of(zone))


def homes_of(team: str, net: PeerNet) -> tuple[Member, ...]:
    """Return a team's home in this router's zone and the hub after it.

    Returns
    -------
    tuple of Member
        At most two; empty if there are no hubs.
    """
    hubs = net.hubs.hubs_of(net.me.zone)
    home = highest_weight_member(team, hubs)
    others = [hub for hub in hubs if hub != home]
    second = highest_weight_member(team, others)
    return tuple(hub for hub in (home, second) if hub is not None)


def potential_lenders(team: str, net: PeerNet) -> tuple[Member, ...]:
    """Return the routers that this one may ask for a team's tokens.

    These are the homes of all zones, and the other hubs of its own zone,
    which may reach the table service where the home does not.
    """
    homes = [home_of(team, net, zone) for zone in net.hubs.zones()]
    local_hubs = net.hubs.hubs_of(net.me.zone)
    found = {home.incarnation: home for home in (*homes, *local_hubs) if home}
    found.pop(net.me.incarnation, None)
    return tuple(found.values())


def is_holder(team: str, net: PeerNet) -> bool:
    """Return whether this router holds a team's tokens."""
    home = home_of(team, net, net.me.zone)
    return home is None or home.incarnation == net.me.incarnation


def home_teams(teams: Iterable[str], net: PeerNet) -> tuple[str, ...]:
    """Return the teams whose home this router is.

    Parameters
    ----------
    teams : iterable of str
        Teams that may send requests.
    net : PeerNet
        The routers.

    Returns
    -------
    tuple of str
        Empty if there are no hubs, or if there are more teams than this
        router should draw for before their first requests.
    """
    if not net.hubs.hubs_of(net.me.zone):
        return ()
    held = tuple(team for team in teams if is_holder(team, net))
    return held if len(held) <= _MAX_HOME_TEAMS else ()


def count_holders(net: PeerNet) -> int:
    """Return how many routers hold a team's tokens: one per zone, or all.

    A router of a large fleet that sees no other one counts all that it has
    known. It can't tell whether they died or it is cut off from them; as the
    only holder it would draw a third of a budget while they hold the rest.
    """
    members = net.members()
    if len(members) == 1:
        known = {member.address for member in (*members, *net.dead_members())}
        if net.hubs.has_hubs(len(known)):
            return len(known)
    return len(net.hubs.zones()) or len(members)


def count_reporters(net: PeerNet) -> int:
    """Return how many routers report their use: the hubs, or all."""
    hubs = sum(len(net.hubs.hubs_of(zone)) for zone in net.hubs.zones())
    return hubs or len(net.members())
