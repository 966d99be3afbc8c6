"""Which routers share the knowledge of runs, and each key's home among them."""

import attrs
import xxhash

from balsamreach.peers.base import PeerNet
from balsamreach.peers.homes import weigh
from balsamreach.wire.membership import Member

_HASH_BYTES = 8


@attrs.frozen
class Sharers:
    """The routers that may be homes of this one's requests.

    Parameters
    ----------
    net : PeerNet
        All routers.
    max_peers : int
        Peers that a router has a connection to.
    """

    net: PeerNet
    max_peers: int

    @property
    def is_zoned(self) -> bool:
        """Whether only the own zone's routers share."""
        return self._is_zoned(self.net.members())

    def members(self) -> tuple[Member, ...]:
        """Return those held to be alive, this one included."""
        members = self.net.members()
        if not self._is_zoned(members):
            return members
        # A home of the zone alone is asked by the zone's routers alone.
        zone = self.net.me.zone
        return tuple(member for member in members if member.zone == zone)

    def fingerprint(self) -> bytes:
        """Return a hash of their incarnations, in whatever order."""
        mixed = 0
        for member in self.members():
            mixed ^= xxhash.xxh3_64_intdigest(member.incarnation.encode())
        return mixed.to_bytes(_HASH_BYTES)

    def home(self, place: str, besides: str = '') -> str:
        """Return the incarnation that a key belongs to.

        Parameters
        ----------
        place : str
            The key, with its team.
        besides : str
            Incarnation that does not count.
        """
        everyone = self.net.members()
        # Callers' retries come to any zone, so that a home of the zone alone
        # would miss most of them. In a fleet where not everyone has a
        # connection to everyone, the home must be a near one.
        if self._is_zoned(everyone):
            return self.net.home(place).incarnation
        names = [
            member.incarnation
            for member in everyone
            if not member.leaving and member.incarnation != besides
        ]
        return max(
            names,
            key=lambda name: (weigh(place, name), name),
            default=self.net.me.incarnation,
        )

    def _is_zoned(self, members: tuple[Member, ...]) -> bool:
        return len(members) > self.max_peers + 1
