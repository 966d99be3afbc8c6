"""Chooses the routers that keep the records of streams, and tells them."""

from collections import defaultdict

import attrs

from balsamreach.peers.base import PeerNet
from balsamreach.peers.rendezvous import rendezvous_weight
from balsamreach.wire.membership import Member
from balsamreach.wire.releases import StreamsBegun

#: Zones, besides that of the stream's router, with a keeper of its record. A
#: caller comes back in its own zone, or in another one if that has failed.
_OTHER_ZONES = 2


@attrs.define(eq=False)
class RecordKeepers:
    """The keepers of each stream's record.

    In a fleet without hubs, every router keeps the records of all streams. In
    a larger one the hubs of the zone do, and one hub in each of two other
    zones, which rendezvous hashing chooses by the stream. So a router needs no
    links but those to its hubs, and these have links to those of other zones.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    """

    net: PeerNet
    _members: tuple[Member, ...] = ()

    def refresh(self) -> bool:
        """Return whether the members have changed since the last call."""
        members = self.net.members()
        if members == self._members:
            return False
        self._members = members
        return True

    def of(self, key: int) -> tuple[str, ...]:
        """Return the incarnations of a stream's keepers, without this router.

        Parameters
        ----------
        key : int
            Digest of the stream's identity.
        """
        return self._local() + self._remote(key)

    def tell(self, message: StreamsBegun) -> bool:
        """Send records of this router's streams to their keepers.

        Returns
        -------
        bool
            Whether a keeper could be told.
        """
        me = self.net.me
        own_hubs = self.net.hubs.hubs_of(me.zone)
        if any(hub.incarnation == me.incarnation for hub in own_hubs):
            told_others = self.forward(message)
            return self._tell_local(message) or told_others
        return self._tell_local(message, forwards=bool(own_hubs))

    def forward(self, message: StreamsBegun) -> bool:
        """Send records to their keepers in other zones.

        Returns
        -------
        bool
            Whether a keeper could be told.
        """
        by_keeper = defaultdict(list)
        for key in message.keys:
            for hub in self._remote(key):
                by_keeper[hub].append(key)
        told = [
            self.net.tell(
                keeper,
                attrs.evolve(message, keys=tuple(keys), forward=False),
            )
            for keeper, keys in by_keeper.items()
        ]
        return any(told)

    def _tell_local(
        self, message: StreamsBegun, *, forwards: bool = False
    ) -> bool:
        """Tell all keepers of this zone; one of them passes it on if asked."""
        told = False
        for keeper in self._local():
            is_last = told or not forwards
            passed_on = attrs.evolve(message, forward=not is_last)
            told = self.net.tell(keeper, passed_on) or told
        return told

    def _local(self) -> tuple[str, ...]:
        me = self.net.me
        keepers = self.net.hubs.hubs_of(me.zone) or self.net.members()
        return tuple(
            member.incarnation
            for member in keepers
            if member.incarnation != me.incarnation
        )

    def _remote(self, key: int) -> tuple[str, ...]:
        hubs = self.net.hubs
        others = sorted(
            (zone for zone in hubs.zones() if zone != self.net.me.zone),
            key=lambda zone: rendezvous_weight(str(key), zone),
            reverse=True,
        )
        chosen = (hubs.hubs_of(zone) for zone in others[:_OTHER_ZONES])
        return tuple(members[0].incarnation for members in chosen if members)
