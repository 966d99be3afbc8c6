"""Messages by which routers greet each other and know who is alive."""

import attrs

from balsamreach.wire.base import Message

#: Raised when a message changes in a way that older routers misread.
PROTOCOL_VERSION = 1


@attrs.frozen(repr=False)
class Member(Message):
    """A router as others know it.

    Parameters
    ----------
    incarnation : str
        Identity of one start of the router.
    host : str
        Name of the host.
    address : str
        ``ip:port`` of its peers' listener.
    zone : str
        Availability zone.
    started : float
        Wall time of the start; of two incarnations on one address the
        later one holds.
    leaving : bool
        Whether it has begun a graceful shutdown.
    revision : int
        Raised by the router itself only; what is said about a lower
        revision is out of date.
    dead : bool
        Whether it is held to be dead at this revision. A router that lives
        and hears this raises its revision.
    link : int
        Mbit/s of its host's link; 0 where not known.
    """

    incarnation: str
    host: str
    address: str
    zone: str
    started: float = 0
    leaving: bool = False
    revision: int = 0
    dead: bool = False
    link: int = 0


@attrs.frozen(repr=False)
class Hello(Message):
    """First message on a connection, both ways."""

    version: int
    fleet: str
    member: Member
    table_version: int = 0


@attrs.frozen(repr=False)
class Heartbeat(Message):
    """Sent at a steady interval; its absence shows a silent connection.

    Parameters
    ----------
    table_version : int
        Version of the table in force at the sender.
    orders : int
        Digest of the evacuations that it knows; 0 for none.
    """

    table_version: int = 0
    orders: int = 0


@attrs.frozen(repr=False)
class Members(Message):
    """Routers that the sender knows, dead ones among them.

    Parameters
    ----------
    members : tuple of Member
        What the receiver may not know yet.
    wanted : bytes
        In an answer, the numbers of the parts of the list, one byte each,
        that the sender wants in turn.
    """

    members: tuple[Member, ...] = ()
    wanted: bytes = b''


@attrs.frozen(repr=False)
class MembersAsk(Message):
    """Asks for what differs from the sender's list of routers.

    Parameters
    ----------
    digest : bytes
        One hash for each part of the list.
    """

    digest: bytes
