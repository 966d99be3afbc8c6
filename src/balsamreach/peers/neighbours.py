"""Which routers a router opens connections to.

Two rings of all routers in the order of a hash, one per availability zone
and one of all zones, and on each ring the routers at certain distances.
Each router works this out alone from its list; as nobody is chosen more
often than anybody else, incoming connections are bounded like outgoing
ones.
"""

from collections.abc import Iterable, Sequence

from balsamreach.peers.homes import weigh
from balsamreach.wire.messages import Member

_RING = 'ring'
_FAR_SHARE = 3


def choose(
    me: Member,
    members: Sequence[Member],
    max_peers: int,
) -> tuple[Member, ...]:
    """Return the routers to open connections to.

    Parameters
    ----------
    me : Member
        The router that chooses.
    members : sequence of Member
        Routers held to be alive; those that leave aren't chosen.
    max_peers : int
        Most connections a router is to have, those opened by others
        included.

    Returns
    -------
    tuple of Member
        At most half of ``max_peers``, except that in a fleet no larger than
        that everyone has a connection with everyone.
    """
    staying = [
        member
        for member in members
        if not member.leaving or member.incarnation == me.incarnation
    ]
    if len(staying) <= max_peers + 1:
        return tuple(
            member for member in staying if member.incarnation > me.incarnation
        )
    return _choose_on_rings(me, staying, max_peers // 2)


def _choose_on_rings(
    me: Member,
    members: list[Member],
    most: int,
) -> tuple[Member, ...]:
    ring = sorted(members, key=_position)
    zone_ring = [member for member in ring if member.zone == me.zone]
    near = _steps(me, zone_ring, _doubling(len(zone_ring)))
    far = _steps(me, ring, _spaced(len(ring), most))
    least_far = max(1, most // _FAR_SHARE)
    chosen: dict[str, Member] = {}
    for member in (*near[: most - least_far], *far):
        if len(chosen) < most:
            chosen[member.incarnation] = member
    return tuple(chosen.values())


def _steps(
    me: Member,
    ring: list[Member],
    distances: Iterable[int],
) -> tuple[Member, ...]:
    size = len(ring)
    names = [member.incarnation for member in ring]
    start = names.index(me.incarnation)
    steps = (ring[(start + distance) % size] for distance in distances)
    return tuple(
        member for member in steps if member.incarnation != me.incarnation
    )


def _doubling(size: int) -> tuple[int, ...]:
    """Return 1, 2, 4 and so on: few steps to anywhere on a ring."""
    return tuple(
        1 << power for power in range(size.bit_length()) if 1 << power < size
    )


def _spaced(size: int, most: int) -> tuple[int, ...]:
    """Return 1, then distances spread over the ring."""
    least = max(1, most // _FAR_SHARE)
    spread = (round(size ** (step / least)) for step in range(least))
    more = range(2, most + 2)
    return tuple(dict.fromkeys((*spread, *more)))


def _position(member: Member) -> tuple[int, str]:
    return (weigh(_RING, member.incarnation), member.incarnation)
