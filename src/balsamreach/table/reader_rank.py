"""Selection of the routers of a zone that poll the table service often."""

import xxhash

from balsamreach.peers.base import PeerNet


def rank_in_zone(net: PeerNet) -> int:
    """Return this router's rank among the routers of its zone, from 0.

    The rank comes from rendezvous hashing: routers that know the same members
    agree without messages, and a member that leaves moves the others up by at
    most one.

    Parameters
    ----------
    net : PeerNet
        Provides the members.

    Returns
    -------
    int
        The rank; routers with a rank below ``readers_per_zone`` are readers.
    """
    me = net.me
    others = {
        member.incarnation
        for member in net.members()
        if member.zone == me.zone and not member.leaving
    }
    own_hash = _hash(me.incarnation)
    others.discard(me.incarnation)
    return sum(_hash(other) < own_hash for other in others)


def _hash(incarnation: str) -> int:
    return xxhash.xxh3_64_intdigest(f'table-reader/{incarnation}'.encode())
