"""The links that stand, by the peer at their other end."""

import attrs

from balsamreach.peers.link import Link
from balsamreach.wire.membership import Member


@attrs.define(eq=False)
class Links:
    """All links of a router.

    Two routers that dial each other at the same moment get two links. Both
    prefer the one that the smaller incarnation dialled, as long as it isn't
    silent, and who dialled the other parts from it. If each closed what it
    holds for surplus, both links would be closed.

    Parameters
    ----------
    own : str
        This router's incarnation.
    lasting : frozenset of str
        Incarnations that links are to last to; others stand for a while.
    """

    own: str
    lasting: frozenset[str] = frozenset()
    _links: list[Link] = attrs.field(factory=list)

    def add(self, link: Link) -> None:
        """Take a new link, and part from the one that it replaces.

        Whoever dials again has given the earlier link up, or didn't know of
        it yet. Just closed, it would look like a loss to a peer that has
        not seen the new one stand, and the peer would dial once more.
        """
        for other in self._to(link.peer.incarnation):
            if other.dialled == link.dialled:
                other.part()
        self._links.append(link)

    def remove(self, link: Link) -> None:
        """Drop a link that ended."""
        self._links.remove(link)

    def every(self) -> tuple[Link, ...]:
        """Return all links, surplus ones as well."""
        return tuple(self._links)

    def best(self, incarnation: str) -> Link | None:
        """Return the link to use for a peer, None if there is none."""
        return max(
            self._to(incarnation),
            key=self._preference,
            default=None,
        )

    def peers(self) -> tuple[Member, ...]:
        """Return the peers that links stand to, each once."""
        peers = {link.peer.incarnation: link.peer for link in self._links}
        return tuple(peers.values())

    def lasting_peers(self) -> tuple[Member, ...]:
        """Return the peers to spread news to: all while none lasts."""
        peers = self.peers()
        lasting = tuple(
            peer for peer in peers if peer.incarnation in self.lasting
        )
        return lasting or peers

    def lasts(self, link: Link) -> bool:
        """Return whether a link is to last."""
        return link.peer.incarnation in self.lasting

    def surplus(self) -> tuple[Link, ...]:
        """Return the links to part from that this router dialled.

        A link that has just closed has no better one beside it and is none
        of them. Parted from, its end would pass for wanted, and a peer that
        fell silent would never be found dead.
        """
        return tuple(
            link
            for link in self._links
            if link.dialled
            and self.best(link.peer.incarnation) not in {None, link}
        )

    def _to(self, incarnation: str) -> list[Link]:
        return [
            link
            for link in reversed(self._links)
            if link.peer.incarnation == incarnation and not link.stream.closed()
        ]

    def _preference(self, link: Link) -> tuple[bool, bool]:
        heartbeat = link.context.cfg.heartbeat
        silent = link.context.clock.now() - link.heard_at > 2 * heartbeat
        smaller = link.dialled == (self.own < link.peer.incarnation)
        return (not silent, smaller)
