"""Rendezvous hashing: assigns keys to the routers of a zone."""

from collections.abc import Iterable

import attrs
import xxhash

from balsamreach.peers.membership import Membership
from balsamreach.wire.membership import Member


@attrs.define(eq=False)
class HomeCache:
    """Assigns keys to routers of this router's zone.

    A home is looked up for each request, and the list has all routers of the
    fleet, so the routers of the zone are selected once per change of the list.

    Parameters
    ----------
    membership : Membership
        The list.
    """

    membership: Membership
    _local: list[Member] = attrs.field(factory=list)
    _local_version: int = -1

    def find(self, key: str) -> Member:
        """Return a key's home, this router if there is no other."""
        membership = self.membership
        if self._local_version != membership.version:
            self._local_version = membership.version
            zone = membership.me.zone
            self._local = pick_local(membership.alive(), zone)
        return highest_weight_member(key, self._local) or membership.me


def rendezvous_weight(key: str, name: str) -> int:
    """Return a member's weight for a key; the highest weight is its home."""
    return xxhash.xxh3_64_intdigest(f'{key}\n{name}'.encode())


def pick_local(members: Iterable[Member], zone: str) -> list[Member]:
    """Return the members of a zone, without leaving ones if any stay."""
    local = [member for member in members if member.zone == zone]
    return [member for member in local if not member.leaving] or local


def highest_weight_member(key: str, members: Iterable[Member]) -> Member | None:
    """Return the member with the highest weight for a key.

    Returns
    -------
    Member or None
        The member; None if there is none.
    """
    return max(
        members,
        key=lambda member: (
            rendezvous_weight(key, member.incarnation),
            member.incarnation,
        ),
        default=None,
    )


def home_in_zone(
    key: str, members: Iterable[Member], zone: str
) -> Member | None:
    """Return the member of a zone that a key is assigned to.

    Parameters
    ----------
    key : str
        Any text.
    members : iterable of Member
        Known routers; those of other zones are ignored, and leaving ones too
        unless all leave.
    zone : str
        Availability zone.

    Returns
    -------
    Member or None
        The home, None if the zone has no member.
    """
    return highest_weight_member(key, pick_local(members, zone))
