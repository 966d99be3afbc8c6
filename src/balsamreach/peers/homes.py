"""Rendezvous hashing: which router of a zone a key belongs to."""

from collections.abc import Iterable

import attrs
import xxhash

from balsamreach.peers.membership import Membership
from balsamreach.wire.membership import Member


@attrs.define(eq=False)
class Homes:
    """Homes of keys in this router's zone, as its list of routers stands.

    Each request asks for a home, and the list has every router of the
    fleet, so those of the zone are picked out once per change of it.

    Parameters
    ----------
    membership : Membership
        The list.
    """

    membership: Membership
    _local: list[Member] = attrs.field(factory=list)
    _picked_at: int = -1

    def find(self, key: str) -> Member:
        """Return a key's home, this router if it knows no other."""
        membership = self.membership
        if self._picked_at != membership.version:
            self._picked_at = membership.version
            zone = membership.me.zone
            self._local = pick_local(membership.alive(), zone)
        return heaviest(key, self._local) or membership.me


def weigh(key: str, name: str) -> int:
    """Return a member's weight for a key; the heaviest member has it."""
    return xxhash.xxh3_64_intdigest(f'{key}\n{name}'.encode())


def pick_local(members: Iterable[Member], zone: str) -> list[Member]:
    """Return the members of a zone, leaving ones only if all leave."""
    local = [member for member in members if member.zone == zone]
    return [member for member in local if not member.leaving] or local


def heaviest(key: str, members: Iterable[Member]) -> Member | None:
    """Return the member that has a key, None if there is no member."""
    return max(
        members,
        key=lambda member: (
            weigh(key, member.incarnation),
            member.incarnation,
        ),
        default=None,
    )


def home_of(key: str, members: Iterable[Member], zone: str) -> Member | None:
    """Return the member of a zone that a key belongs to.

    Parameters
    ----------
    key : str
        Any text.
    members : iterable of Member
        Routers known; those of other zones don't count, and leaving ones
        only if no other is left.
    zone : str
        Availability zone.

    Returns
    -------
    Member or None
        The home, None if the zone has no member.
    """
    return heaviest(key, pick_local(members, zone))
