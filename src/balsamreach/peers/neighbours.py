"""Which routers a router opens lasting connections to.

Two rings of all routers in the order of a hash, one per availability zone
and one of all zones, and on each ring the routers at certain distances.
Each router works this out alone from its list; as nobody is chosen more
often than anybody else, incoming connections are bounded like outgoing
ones.
"""

from collections.abc import Iterable

import attrs

from balsamreach.peers.homes import weigh
from balsamreach.wire.membership import Member

_RING = 'ring'
_FAR_SHARE = 3


@attrs.define(eq=False)
class Ring:
    """Routers in the order of a hash.

    Parameters
    ----------
    members : list of Member
        The routers in order.
    places : dict
        Place on the ring by incarnation.
    """

    members: list[Member]
    places: dict[str, int]

    def steps(
        self,
        incarnation: str,
        distances: Iterable[int],
    ) -> list[Member]:
        """Return the routers at distances from one that is on the ring."""
        start = self.places[incarnation]
        size = len(self.members)
        steps = [
            self.members[(start + distance) % size] for distance in distances
        ]
        return [step for step in steps if step.incarnation != incarnation]


@attrs.define(eq=False)
class Rings:
    """The rings of a fleet, made once for each change of the list.

    Parameters
    ----------
    members : iterable of Member
        Routers held to be alive; those that leave aren't chosen, but may
        still choose.
    max_peers : int
        Most lasting connections a router is to have, those opened by
        others included.
    """

    members: tuple[Member, ...] = attrs.field(converter=tuple)
    max_peers: int
    _whole: Ring = attrs.field(init=False)
    _zones: dict[str, Ring] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Put the routers in order."""
        ordered = sorted(self.members, key=_position)
        self._whole = _make_ring(ordered)
        zones = {member.zone for member in ordered}
        for zone in zones:
            self._zones[zone] = _make_ring(
                member for member in ordered if member.zone == zone
            )

    def choose(self, me: Member) -> tuple[Member, ...]:
        """Return the routers that one opens lasting connections to.

        Parameters
        ----------
        me : Member
            The router that chooses; it is on the rings itself.

        Returns
        -------
        tuple of Member
            At most half of ``max_peers``, except that in a fleet no larger
            than that everyone has a connection with everyone.
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
            The router that is chosen; it is on the rings itself.

        Returns
        -------
        tuple of Member
            Bounded like those that it chooses itself.
        """
        if len(self.members) <= self.max_peers + 1:
            near = self.members
        else:
            near = self._behind(me, self.max_peers // 2)
        return tuple(
            member
            for member in near
            if member.incarnation != me.incarnation and self.chooses(member, me)
        )

    def _behind(self, me: Member, most: int) -> tuple[Member, ...]:
        """Return those on the rings from which one lies at a distance."""
        zone = self._zones[me.zone]
        whole = self._whole
        distances = _doubling(len(zone.members))
        near = zone.steps(me.incarnation, _backwards(distances))
        distances = _spaced(len(whole.members), most)
        far = whole.steps(me.incarnation, _backwards(distances))
        both = {member.incarnation: member for member in (*near, *far)}
        return tuple(both.values())

    def _choose_by_distance(
        self,
        me: Member,
        most: int,
    ) -> tuple[Member, ...]:
        least_far = max(1, most // _FAR_SHARE)
        zone = self._zones[me.zone]
        near = zone.steps(me.incarnation, _doubling(len(zone.members)))
        size = len(self._whole.members)
        far = self._whole.steps(me.incarnation, _spaced(size, most))
        chosen: dict[str, Member] = {}
        for member in (*near[: most - least_far], *far):
            if len(chosen) < most and not member.leaving:
                chosen[member.incarnation] = member
        return tuple(chosen.values())


def _make_ring(members: Iterable[Member]) -> Ring:
    ordered = list(members)
    places = {member.incarnation: place for place, member in enumerate(ordered)}
    return Ring(ordered, places)


def _doubling(size: int) -> tuple[int, ...]:
    """Return 1, 2, 4 and so on: few steps to anywhere on a ring."""
    return tuple(
        1 << power for power in range(size.bit_length()) if 1 << power < size
    )


def _backwards(distances: Iterable[int]) -> tuple[int, ...]:
    return tuple(-distance for distance in distances)


def _spaced(size: int, most: int) -> tuple[int, ...]:
    """Return 1, then distances spread over the ring, then near ones."""
    least = max(1, most // _FAR_SHARE)
    spread = (round(size ** (step / least)) for step in range(least))
    more = range(2, 2 * most)
    return tuple(dict.fromkeys((*spread, *more)))


def _position(member: Member) -> tuple[int, str]:
    return (weigh(_RING, member.incarnation), member.incarnation)
