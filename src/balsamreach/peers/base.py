"""Abstract base of the net of routers, as the decision code uses it."""

import abc
from collections.abc import Awaitable, Callable, Iterable

import attrs

from balsamreach.peers.faults import PeerFault
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member

#: Takes a message from a member; what it returns answers an ``ask``.
Taker = Callable[[Member, Message], Awaitable[Message | None]]
#: Gap timeouts that an answer with much in it may take. The largest frame
#: passes a link of half a megabit a second in that time.
FETCH_GAPS = 8


class HubChoice(abc.ABC):
    """Names the routers of each zone that the others of it turn to."""

    @abc.abstractmethod
    def of(self, zone: str) -> tuple[Member, ...]:
        """Return a zone's hubs, the first one first; it may have none."""

    @abc.abstractmethod
    def zones(self) -> tuple[str, ...]:
        """Return the zones that have hubs."""


class NoHubs(HubChoice):
    """A fleet so small that everyone has a connection to everyone."""

    def of(self, _zone: str) -> tuple[Member, ...]:
        """Return none."""
        return ()

    def zones(self) -> tuple[str, ...]:
        """Return none."""
        return ()


@attrs.define
class PeerNet(abc.ABC):
    """Reaches other routers by their incarnation.

    Parameters
    ----------
    me : Member
        This router.
    hubs : HubChoice
        Whom the routers of each zone turn to.
    """

    me: Member
    hubs: HubChoice = attrs.field(factory=NoHubs, kw_only=True)

    @abc.abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return all routers held to be alive, this one included."""

    def departed(self) -> tuple[Member, ...]:
        """Return routers known to have died, as long as that is kept."""
        return ()

    @abc.abstractmethod
    def neighbours(self) -> tuple[Member, ...]:
        """Return the routers to which a lasting connection stands.

        They are few, and news spread to them reaches everyone; ``ask`` and
        ``tell`` reach others as well.
        """

    @abc.abstractmethod
    def home(self, key: str) -> Member:
        """Return the router of this zone that a key belongs to.

        Rendezvous hashing over the zone's members: routers that know the
        same members agree, and a change of members moves few keys.
        """

    @abc.abstractmethod
    def on(self, kind: type[Message], taker: Taker) -> None:
        """Name who takes messages of a kind; one taker for each kind."""

    @abc.abstractmethod
    async def ask(
        self,
        incarnation: str,
        message: Message,
        gaps: int = 1,
    ) -> Message | PeerFault:
        """Send a message and wait for the answer to it.

        Parameters
        ----------
        incarnation : str
            Whom to ask.
        message : Message
            What to ask.
        gaps : int
            Gap timeouts that the answer may take while the connection
            brings something; ``FETCH_GAPS`` where it holds much. On a small
            link that is long on its way. Given up meanwhile, it would be
            dropped when it is there, and asked for again each time.
        """

    @abc.abstractmethod
    def tell(self, incarnation: str, message: Message) -> bool:
        """Send without an answer; False if no connection stands."""

    @abc.abstractmethod
    def spread(self, message: Message, besides: str = '') -> None:
        """Send to all neighbours except the incarnation given.

        A taker that learns something new from a message spreads it on, so
        that it reaches routers that are no neighbours of its origin.
        """

    def tell_zone(self, message: Message, besides: str = '') -> None:
        """Send to all other routers of this one's zone but one."""
        left_out = {self.me.incarnation, besides}
        for member in self.members():
            near = member.zone == self.me.zone
            if near and member.incarnation not in left_out:
                self.tell(member.incarnation, message)

    def broadcast(self, message: Message, heard: Member | None = None) -> None:
        """Send to all routers by the hubs, or as ``spread`` without hubs.

        Over neighbours each router gets each piece of news from all of them;
        in a fleet of hundreds that would be most of what it reads. Each zone
        has more than one hub, so one that is silent keeps nobody from it.

        Parameters
        ----------
        message : Message
            News; a taker to whom it is news passes it on by this.
        heard : Member or None
            Who told it; None where it began here.
        """
        hubs = self.hubs.of(self.me.zone)
        source = heard.incarnation if heard else ''
        if not hubs:
            self.spread(message, besides=source)
        elif self.me.incarnation in _names(hubs):
            self._pass_on(message, heard)
        elif source not in _names(hubs):
            self._tell_all(hubs, message)

    def _pass_on(self, message: Message, heard: Member | None) -> None:
        self.tell_zone(message, besides=heard.incarnation if heard else '')
        if heard is not None and heard.zone != self.me.zone:
            return
        for zone in self.hubs.zones():
            if zone != self.me.zone:
                self._tell_all(self.hubs.of(zone), message)

    def _tell_all(self, members: Iterable[Member], message: Message) -> None:
        for member in members:
            self.tell(member.incarnation, message)


def _names(members: Iterable[Member]) -> frozenset[str]:
    return frozenset(member.incarnation for member in members)
