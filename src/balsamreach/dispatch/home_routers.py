"""Selects the home router of each request key."""

import attrs
import xxhash

from balsamreach.peers.base import PeerNet
from balsamreach.peers.rendezvous import rendezvous_weight
from balsamreach.wire.membership import Member

_HASH_BYTES = 8


@attrs.frozen
class HomeRouters:
    """Routers that can be the home router of a key.

    Parameters
    ----------
    net : PeerNet
        All routers.
    max_peers : int
        Number of peers that a router keeps connections to.
    """

    net: PeerNet
    max_peers: int

    @property
    def is_zone_local(self) -> bool:
        """Whether only routers of this router's zone are candidates."""
        return self._is_zone_local(self.net.members())

    def members(self) -> tuple[Member, ...]:
        """Return the candidates considered alive, including this router."""
        members = self.net.members()
        if not self._is_zone_local(members):
            return members
        # In this mode only routers of the zone ask the zone's home routers.
        zone = self.net.me.zone
        return tuple(member for member in members if member.zone == zone)

    def members_hash(self) -> bytes:
        """Return a hash of the candidates' incarnations in any order."""
        mixed = 0
        for member in self.members():
            mixed ^= xxhash.xxh3_64_intdigest(member.incarnation.encode())
        return mixed.to_bytes(_HASH_BYTES)

    def home(self, key: str, exclude: str = '') -> str:
        """Return the incarnation of a key's home router.

        Parameters
        ----------
        key : str
            The request key, qualified with its team.
        exclude : str
            Incarnation to leave out.
        """
        members = self.net.members()
        # Callers' retries arrive in any zone, and a home router chosen from
        # one zone would miss most of them. But in a fleet where not all
        # routers are connected to each other, the home must be in the zone.
        if self._is_zone_local(members):
            return self.net.home(key).incarnation
        names = [
            member.incarnation
            for member in members
            if not member.leaving and member.incarnation != exclude
        ]
        return max(
            names,
            key=lambda name: (rendezvous_weight(key, name), name),
            default=self.net.me.incarnation,
        )

    def _is_zone_local(self, members: tuple[Member, ...]) -> bool:
        return len(members) > self.max_peers + 1
