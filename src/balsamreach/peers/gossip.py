"""Spreads what a router learns about routers, and mends what got lost."""

import attrs

from balsamreach.peers.base import PeerNet
from balsamreach.peers.faults import PeerFault
from balsamreach.peers.membership import (
    Membership,
    differing,
    digest,
    part_of,
)
from balsamreach.wire.membership import Member, Members, MembersAsk

#: Most routers in one message.
MOST_AT_ONCE = 1000


@attrs.define(eq=False)
class Gossip:
    """Keeps the list of routers the same everywhere.

    News goes to all neighbours at the next ``flush``, in one message. News
    that got lost is found by comparing hashes of the parts of the list, so
    that equal lists cost a few hundred bytes whatever their length.

    Parameters
    ----------
    membership : Membership
        The list.
    net : PeerNet
        Carries the messages.
    """

    membership: Membership
    net: PeerNet
    _news: dict[str, tuple[Member, str]] = attrs.field(factory=dict)

    def start(self) -> None:
        """Take the messages about routers from now on."""
        self.net.on(Members, self._take_members)
        self.net.on(MembersAsk, self._take_ask)

    def tell(self, member: Member, source: str = '') -> None:
        """Let the next flush carry news, except to its source."""
        self._news[member.incarnation] = (member, source)

    def learn(self, members: tuple[Member, ...], source: str) -> None:
        """Merge what a router said, and pass on what is news."""
        for told in members:
            if self.membership.merge(told):
                known = self.membership.find(told.incarnation)
                same = known == told
                self.tell(known or told, source if same else '')

    def flush(self) -> None:
        """Send the news to all neighbours."""
        if not self._news:
            return
        news = tuple(self._news.values())
        self._news.clear()
        for neighbour in self.net.neighbours():
            incarnation = neighbour.incarnation
            wanted = [
                member for member, source in news if source != incarnation
            ]
            if wanted:
                self.net.tell(
                    incarnation,
                    Members(tuple(wanted[:MOST_AT_ONCE])),
                )

    async def compare(self, incarnation: str) -> bool:
        """Bring this list and a neighbour's to the same state.

        Returns
        -------
        bool
            Whether the neighbour answered.
        """
        ours = digest(self.membership.told())
        answer = await self.net.ask(incarnation, MembersAsk(ours))
        if isinstance(answer, PeerFault) or not isinstance(answer, Members):
            return False
        self.learn(answer.members, incarnation)
        heard = set(answer.members)
        missing = [
            member
            for member in self._within(frozenset(answer.wanted))
            if member not in heard
        ]
        if missing:
            self.net.tell(incarnation, Members(tuple(missing)))
        return True

    async def _take_members(self, member: Member, message: Members) -> None:
        self.learn(message.members, member.incarnation)

    async def _take_ask(
        self,
        member: Member,
        message: MembersAsk,
    ) -> Members:
        ours = digest(self.membership.told())
        parts = differing(ours, message.digest)
        return Members(tuple(self._within(parts)), bytes(sorted(parts)))

    def _within(self, parts: frozenset[int]) -> list[Member]:
        told = self.membership.told()
        within = [member for member in told if part_of(member) in parts]
        return within[:MOST_AT_ONCE]
