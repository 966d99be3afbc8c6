"""Rendezvous hashing: which router of a zone a key belongs to."""

from collections.abc import Iterable

import xxhash

from balsamreach.wire.messages import Member


def weigh(key: str, name: str) -> int:
    """Return a member's weight for a key; the heaviest member has it."""
    return xxhash.xxh3_64_intdigest(f'{key}\n{name}'.encode())


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
    local = [member for member in members if member.zone == zone]
    staying = [member for member in local if not member.leaving]
    return max(
        staying or local,
        key=lambda member: (
            weigh(key, member.incarnation),
            member.incarnation,
        ),
        default=None,
    )
