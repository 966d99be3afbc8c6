"""Gossip: spreads membership updates and repairs lost ones."""

import attrs

from balsamreach.peers.base import PeerNet
from balsamreach.peers.faults import PeerFault
from balsamreach.peers.membership import (
    Membership,
    bucket_of,
    differing_buckets,
    digest,
)
from balsamreach.wire.membership import Member, Members, MembersAsk

#: Maximum number of members in one message.
MAX_MEMBERS_PER_MESSAGE = 1000


@attrs.define(eq=False)
class Gossip:
    """Keeps the membership lists of all routers equal.

    Updates go to all neighbours at the next ``flush``, in one message. Updates
    that were lost are found by comparing hashes of the buckets of the list, so
    that comparing equal lists costs a few hundred bytes whatever their length.

    Parameters
    ----------
    membership : Membership
        The list.
    net : PeerNet
        Sends the messages.
    """

    membership: Membership
    net: PeerNet
    _updates: dict[str, tuple[Member, str]] = attrs.field(factory=dict)

    def start(self) -> None:
        """Register the handlers of membership messages."""
        self.net.on(Members, self._handle_members)
        self.net.on(MembersAsk, self._handle_members_ask)

    def queue_update(self, member: Member, source: str = '') -> None:
        """Queue an update for the next flush; it skips ``source``."""
        self._updates[member.incarnation] = (member, source)

    def merge_reports(self, members: tuple[Member, ...], source: str) -> None:
        """Merge members received from a router and pass on what is new."""
        for reported in members:
            if self.membership.merge(reported):
                known = self.membership.find(reported.incarnation)
                unchanged = known == reported
                self.queue_update(
                    known or reported, source if unchanged else ''
                )

    def flush(self) -> None:
        """Send the queued updates to all neighbours."""
        if not self._updates:
            return
        updates = tuple(self._updates.values())
        self._updates.clear()
        for neighbour in self.net.neighbours():
            incarnation = neighbour.incarnation
            wanted = [
                member for member, source in updates if source != incarnation
            ]
            if wanted:
                self.net.tell(
                    incarnation,
                    Members(tuple(wanted[:MAX_MEMBERS_PER_MESSAGE])),
                )

    async def sync_with(self, incarnation: str) -> bool:
        """Exchange the differences between this list and a neighbour's.

        Returns
        -------
        bool
            Whether the neighbour answered.
        """
        ours = digest(self.membership.advertised())
        answer = await self.net.ask(incarnation, MembersAsk(ours))
        if isinstance(answer, PeerFault) or not isinstance(answer, Members):
            return False
        self.merge_reports(answer.members, incarnation)
        received = set(answer.members)
        missing = [
            member
            for member in self._members_in(frozenset(answer.wanted))
            if member not in received
        ]
        if missing:
            self.net.tell(incarnation, Members(tuple(missing)))
        return True

    async def _handle_members(self, member: Member, message: Members) -> None:
        self.merge_reports(message.members, member.incarnation)

    async def _handle_members_ask(
        self,
        member: Member,
        message: MembersAsk,
    ) -> Members:
        ours = digest(self.membership.advertised())
        buckets = differing_buckets(ours, message.digest)
        return Members(tuple(self._members_in(buckets)), bytes(sorted(buckets)))

    def _members_in(self, buckets: frozenset[int]) -> list[Member]:
        advertised = self.membership.advertised()
        members = [
            member for member in advertised if bucket_of(member) in buckets
        ]
        return members[:MAX_MEMBERS_PER_MESSAGE]
