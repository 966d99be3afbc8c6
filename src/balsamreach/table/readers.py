"""Choice of the routers of a zone that poll the table service."""

import xxhash

from balsamreach.peers.base import PeerNet


def rank_in_zone(net: PeerNet) -> int:
    """Return this router's place among its zone's readers, from 0.

    Rendezvous hashing: routers that know the same members agree without a
    message, and one that leaves moves the others up by one place at most.

    Parameters
    ----------
    net : PeerNet
        Knows the members.

    Returns
    -------
    int
        The place; those below the set number of readers poll quickly.
    """
    me = net.me
    rivals = {
        member.incarnation
        for member in net.members()
        if member.zone == me.zone and not member.leaving
    }
    own = _weigh(me.incarnation)
    rivals.discard(me.incarnation)
    return sum(_weigh(rival) < own for rival in rivals)


def _weigh(incarnation: str) -> int:
    return xxhash.xxh3_64_intdigest(f'table-reader/{incarnation}'.encode())
