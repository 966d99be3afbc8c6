"""Abstract interface for messages between routers."""

import abc
from collections.abc import Awaitable, Callable, Iterable

import attrs

from balsamreach.peers.faults import PeerFault
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member

#: Handles a message from a member; its result answers an ``ask``.
Handler = Callable[[Member, Message], Awaitable[Message | None]]
#: Gap timeouts allowed for a large answer. The largest frame passes a link of
#: half a megabit a second in that time.
LARGE_ANSWER_GAPS = 8


class HubSelector(abc.ABC):
    """Selects the hubs of each zone.

    Hubs are the routers that pass messages on to all others of their zone.
    """

    @abc.abstractmethod
    def hubs_of(self, zone: str) -> tuple[Member, ...]:
        """Return the hubs of a zone, the preferred one first; may be empty."""

    @abc.abstractmethod
    def zones(self) -> tuple[str, ...]:
        """Return the zones that have hubs."""

    def has_hubs(self, _routers: int) -> bool:
        """Return whether a fleet of so many routers has hubs."""
        return False


class NoHubs(HubSelector):
    """No hubs: in a small fleet each router is connected to each other."""

    def hubs_of(self, _zone: str) -> tuple[Member, ...]:
        """Return an empty tuple."""
        return ()

    def zones(self) -> tuple[str, ...]:
        """Return an empty tuple."""
        return ()


@attrs.define
class PeerNet(abc.ABC):
    """Sends messages to other routers, addressed by incarnation.

    Parameters
    ----------
    me : Member
        This router.
    hubs : HubSelector
        The hubs of each zone.
    """

    me: Member
    hubs: HubSelector = attrs.field(factory=NoHubs, kw_only=True)

    @abc.abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return all routers believed alive, this one included."""

    def dead_members(self) -> tuple[Member, ...]:
        """Return the routers known to be dead and not yet forgotten."""
        return ()

    @abc.abstractmethod
    def neighbours(self) -> tuple[Member, ...]:
        """Return the routers with a persistent connection to this one.

        They are few, and messages spread over them reach all routers; ``ask``
        and ``tell`` reach other routers as well.
        """

    @abc.abstractmethod
    def home(self, key: str) -> Member:
        """Return the router of this zone that a key is assigned to.

        Rendezvous hashing over the members of the zone: routers that know the
        same members agree, and a change of members moves few keys.
        """

    @abc.abstractmethod
    def on(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler of a kind of message; one for each kind."""

    @abc.abstractmethod
    async def ask(
        self,
        incarnation: str,
        message: Message,
        timeout_gaps: int = 1,
    ) -> Message | PeerFault:
        """Send a request and wait for the answer.

        Parameters
        ----------
        incarnation : str
            The router to ask.
        message : Message
            The request.
        timeout_gaps : int
            Gap timeouts that the answer may take while the connection receives
            data; ``LARGE_ANSWER_GAPS`` for a large answer, which takes long on
            a slow link. With a shorter timeout it would be dropped on arrival
            and requested again each time.

        Returns
        -------
        Message or PeerFault
            The answer, or why there is none.
        """

    @abc.abstractmethod
    def tell(self, incarnation: str, message: Message) -> bool:
        """Send a one-way message; False if there is no connection."""

    @abc.abstractmethod
    def tell_neighbours(self, message: Message, exclude: str = '') -> None:
        """Send to all neighbours except the incarnation ``exclude``.

        A handler that learns something new from a message spreads it on, so
        that it reaches routers that are not neighbours of its origin.
        """

    def tell_zone(self, message: Message, exclude: str = '') -> None:
        """Send to all other routers of this zone except ``exclude``."""
        excluded = {self.me.incarnation, exclude}
        for member in self.members():
            same_zone = member.zone == self.me.zone
            if same_zone and member.incarnation not in excluded:
                self.tell(member.incarnation, message)

    def broadcast(self, message: Message, source: Member | None = None) -> None:
        """Send to all routers via hubs; ``tell_neighbours`` without hubs.

        Spread over neighbours, each router receives each message from all of
        them; in a fleet of hundreds that would be most of what it reads. Each
        zone has more than one hub, so that the message still arrives if one hub
        hangs.

        Parameters
        ----------
        message : Message
            The message; a handler to which it is new broadcasts it again.
        source : Member or None
            The router it was received from; None if it originates here.
        """
        hubs = self.hubs.hubs_of(self.me.zone)
        source_incarnation = source.incarnation if source else ''
        if not hubs:
            self.tell_neighbours(message, exclude=source_incarnation)
        elif self.me.incarnation in _incarnations(hubs):
            self._forward(message, source)
        elif source_incarnation not in _incarnations(hubs):
            self._send_to(hubs, message)

    def _forward(self, message: Message, source: Member | None) -> None:
        self.tell_zone(message, exclude=source.incarnation if source else '')
        if source is not None and source.zone != self.me.zone:
            return
        for zone in self.hubs.zones():
            if zone != self.me.zone:
                self._send_to(self.hubs.hubs_of(zone), message)

    def _send_to(self, members: Iterable[Member], message: Message) -> None:
        for member in members:
            self.tell(member.incarnation, message)


def _incarnations(members: Iterable[Member]) -> frozenset[str]:
    return frozenset(member.incarnation for member in members)
