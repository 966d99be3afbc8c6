"""The open links of a router, by peer."""

import attrs

from balsamreach.peers.link import Link
from balsamreach.wire.membership import Member


@attrs.define(eq=False)
class Links:
    """All links of a router.

    Two routers that dial each other at the same moment get two links. Both
    prefer the link dialled by the smaller incarnation, unless it is silent, and
    the router that dialled the other link releases it. If each closed the link
    that it considers redundant, both links would be closed.

    Parameters
    ----------
    own_incarnation : str
        This router's incarnation.
    persistent : frozenset of str
        Incarnations whose links are kept open; other links are released when
        idle.
    """

    own_incarnation: str
    persistent: frozenset[str] = frozenset()
    _links: list[Link] = attrs.field(factory=list)

    def add(self, link: Link) -> None:
        """Add a link, and release an earlier one dialled by the same end.

        A peer that dials again has given up the earlier link, or didn't know of
        it yet. If the earlier link were closed without a release, a peer that
        doesn't yet know the new one would take that for a loss and dial once
        more.
        """
        for other in self._open_links_to(link.peer.incarnation):
            if other.dialled == link.dialled:
                other.release()
        self._links.append(link)

    def remove(self, link: Link) -> None:
        """Remove a link that ended."""
        self._links.remove(link)

    def all_links(self) -> tuple[Link, ...]:
        """Return all links, duplicates included."""
        return tuple(self._links)

    def preferred(self, incarnation: str) -> Link | None:
        """Return the link to use for a peer, None if there is none."""
        return max(
            self._open_links_to(incarnation),
            key=self._preference,
            default=None,
        )

    def peers(self) -> tuple[Member, ...]:
        """Return the peers that have a link, without duplicates."""
        peers = {link.peer.incarnation: link.peer for link in self._links}
        return tuple(peers.values())

    def persistent_peers(self) -> tuple[Member, ...]:
        """Return the peers with persistent links; all peers if none has."""
        peers = self.peers()
        lasting = tuple(
            peer for peer in peers if peer.incarnation in self.persistent
        )
        return lasting or peers

    def is_persistent(self, link: Link) -> bool:
        """Return whether a link is kept open while idle."""
        return link.peer.incarnation in self.persistent

    def duplicates(self) -> tuple[Link, ...]:
        """Return the redundant links that this router has to release.

        A link that has just closed is not included, as no preferred link exists
        beside it. If it were released, its end would count as intended, and a
        silent peer would never be declared dead.
        """
        return tuple(
            link
            for link in self._links
            if link.dialled
            and self.preferred(link.peer.incarnation) not in {None, link}
        )

    def _open_links_to(self, incarnation: str) -> list[Link]:
        return [
            link
            for link in reversed(self._links)
            if link.peer.incarnation == incarnation and not link.stream.closed()
        ]

    def _preference(self, link: Link) -> tuple[bool, bool]:
        heartbeat = link.context.cfg.heartbeat
        silent = (
            link.context.clock.now() - link.last_received_at > 2 * heartbeat
        )
        smaller = link.dialled == (self.own_incarnation < link.peer.incarnation)
        return (not silent, smaller)
