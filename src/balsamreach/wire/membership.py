"""Messages for greeting peers and tracking which routers are alive."""

import attrs

from balsamreach.wire.base import Message

#: Incremented when a message changes in a way that older routers misread.
PROTOCOL_VERSION = 1


@attrs.frozen(repr=False)
class Member(Message):
    """A router as known to the other routers.

    Parameters
    ----------
    incarnation : str
        Unique identifier of one run of the router process.
    host : str
        Name of the host.
    address : str
        ``ip:port`` of its listener for peers.
    zone : str
        Availability zone.
    started : float
        Start time as seconds of the wall clock; of two incarnations at the
        same address the later one is valid.
    leaving : bool
        Whether it has begun a graceful shutdown.
    revision : int
        Only incremented by the router itself; information about a lower
        revision is out of date.
    dead : bool
        Whether it is considered dead at this revision. A live router that
        receives this increments its revision.
    link : int
        Bandwidth of its host's link in Mbit/s; 0 if unknown.
    forwarding : str
        ``ip:port`` of its listener for requests that other routers forward;
        empty if it accepts none.
    binds_releases : bool
        Whether it sends a forwarded request to targets of the given releases
        only, and names that of the target in its response.
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
    forwarding: str = ''
    binds_releases: bool = False


@attrs.frozen(repr=False)
class Hello(Message):
    """First message on a connection, in both directions."""

    version: int
    fleet: str
    member: Member
    table_version: int = 0


@attrs.frozen(repr=False)
class Heartbeat(Message):
    """Sent at a fixed interval so that a broken connection is detected.

    Parameters
    ----------
    table_version : int
        Version of the table that the sender uses.
    orders : int
        Digest of the evacuations known to the sender; 0 for none.
    """

    table_version: int = 0
    orders: int = 0


@attrs.frozen(repr=False)
class Members(Message):
    """Routers known to the sender, including dead ones.

    Parameters
    ----------
    members : tuple of Member
        Entries that the receiver may not know yet.
    wanted : bytes
        In an answer, the numbers of the parts of the list that the sender
        requests in return, one byte each.
    """

    members: tuple[Member, ...] = ()
    wanted: bytes = b''


@attrs.frozen(repr=False)
class MembersAsk(Message):
    """Asks for entries that differ from the sender's list of routers.

    Parameters
    ----------
    digest : bytes
        One hash for each part of the list.
    """

    digest: bytes
