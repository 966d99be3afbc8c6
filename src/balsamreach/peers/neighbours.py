"""Selection of the routers that a router keeps connections to.

All routers are arranged in the order of a hash on two rings, one of their
availability zone and one of the whole fleet; neighbours are the routers at
certain distances on each. Each router computes this from its own list. All
routers are chosen equally often, so the number of incoming connections is
limited like that of outgoing ones.
"""

from collections.abc import Iterable

import attrs

from balsamreach.peers.rendezvous import rendezvous_weight
from balsamreach.wire.membership import Member

_HASH_KEY = 'ring'
_FLEET_RING_DIVISOR = 3


@attrs.define(eq=False)
class Ring:
    """Routers in the order of a hash.

    Parameters
    ----------
    members : list of Member
        The routers in order.
    positions : dict
        Position on the ring by incarnation.
    """

    members: list[Member]
    positions: dict[str, int]

    def at_distances(
        self,
        incarnation: str,
        distances: Iterable[int],
    ) -> list[Member]:
        """Return the routers at some distances from one on the ring."""
        start = self.positions[incarnation]
        size = len(self.members)
        found = [
            self.members[(start + distance) % size] for distance in distances
        ]
        return [member for member in found if member.incarnation != incarnation]


@attrs.define(eq=False)
class Rings:
    """The rings of a fleet, built once for each change of the list.

    Parameters
    ----------
    members : iterable of Member
        Routers believed alive; leaving ones aren't chosen, but may still choose
        others.
    max_peers : int
        Maximum number of persistent connections of a router, those opened by
        others included.
    """

    members: tuple[Member, ...] = attrs.field(converter=tuple)
    max_peers: int
    _fleet_ring: Ring = attrs.field(init=False)
    _zone_rings: dict[str, Ring] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the rings."""
        ordered = sorted(self.members, key=_ring_order)
        self._fleet_ring = _make_ring(ordered)
        zones = {member.zone for member in ordered}
        for zone in zones:
            self._zone_rings[zone] = _make_ring(
                member for member in ordered if member.zone == zone
            )

    def choose(self, me: Member) -> tuple[Member, ...]:
        """Return the routers that one opens persistent connections to.

        Parameters
        ----------
        me : Member
            The router that chooses; it must be on the rings.

        Returns
        -------
        tuple of Member
            At most half of ``max_peers``; but in a fleet of at most ``max_peers
            + 1`` routers each has a connection to each other.
        """
        if len(self.members) <= self.max_peers + 1:
            return tuple(
                member
                for member in self.members
                if member.incarnation > me.incarnation and not member.leaving
            )
        return self._choose_by_distance(me, self.max_peers // 2)

    def chooses(self, one: Member, other: Member) -> bool:
        """Return whether one router chooses another."""
        chosen = self.choose(one)
        return any(member.incarnation == other.incarnation for member in chosen)

    def choosers(self, me: Member) -> tuple[Member, ...]:
        """Return the routers that choose one.

        Parameters
        ----------
        me : Member
            The chosen router; it must be on the rings.

        Returns
        -------
        tuple of Member
            Limited in number like those that it chooses itself.
        """
        if len(self.members) <= self.max_peers + 1:
            candidates = self.members
        else:
            candidates = self._possible_choosers(me, self.max_peers // 2)
        return tuple(
            member
            for member in candidates
            if member.incarnation != me.incarnation and self.chooses(member, me)
        )

    def _possible_choosers(self, me: Member, limit: int) -> tuple[Member, ...]:
        """Return the routers that have one at a distance they choose from."""
        zone = self._zone_rings[me.zone]
        fleet = self._fleet_ring
        distances = _powers_of_two(len(zone.members))
        from_zone = zone.at_distances(me.incarnation, _negated(distances))
        distances = _spread_distances(len(fleet.members), limit)
        from_fleet = fleet.at_distances(me.incarnation, _negated(distances))
        distinct = {
            member.incarnation: member for member in (*from_zone, *from_fleet)
        }
        return tuple(distinct.values())

    def _choose_by_distance(
        self,
        me: Member,
        limit: int,
    ) -> tuple[Member, ...]:
        min_from_fleet = max(1, limit // _FLEET_RING_DIVISOR)
        zone = self._zone_rings[me.zone]
        from_zone = zone.at_distances(
            me.incarnation, _powers_of_two(len(zone.members))
        )
        size = len(self._fleet_ring.members)
        from_fleet = self._fleet_ring.at_distances(
            me.incarnation, _spread_distances(size, limit)
        )
        chosen: dict[str, Member] = {}
        for member in (*from_zone[: limit - min_from_fleet], *from_fleet):
            if len(chosen) < limit and not member.leaving:
                chosen[member.incarnation] = member
        return tuple(chosen.values())


def _make_ring(members: Iterable[Member]) -> Ring:
    ordered = list(members)
    positions = {
        member.incarnation: position for position, member in enumerate(ordered)
    }
    return Ring(ordered, positions)


def _powers_of_two(size: int) -> tuple[int, ...]:
    """Return 1, 2, 4 and so on: reaches any position in few hops."""
    return tuple(
        1 << power for power in range(size.bit_length()) if 1 << power < size
    )


def _negated(distances: Iterable[int]) -> tuple[int, ...]:
    return tuple(-distance for distance in distances)


def _spread_distances(size: int, limit: int) -> tuple[int, ...]:
    """Return 1, then distances spread over the ring, then small ones."""
    count = max(1, limit // _FLEET_RING_DIVISOR)
    spread = (round(size ** (step / count)) for step in range(count))
    small = range(2, 2 * limit)
    return tuple(dict.fromkeys((*spread, *small)))


def _ring_order(member: Member) -> tuple[int, str]:
    return (
        rendezvous_weight(_HASH_KEY, member.incarnation),
        member.incarnation,
    )
