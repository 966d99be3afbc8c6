"""Messages about the releases that began streams."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class StreamsBegun(Message):
    """Streams whose callers have events of one release.

    Parameters
    ----------
    release : str
        The release.
    keys : tuple of int
        Digests of the streams' identities.
    keep_s : int
        Seconds for which callers may take the streams up again.
    forward : bool
        Whether the receiver, a hub, passes them on to other zones.
    """

    release: str
    keys: tuple[int, ...] = ()
    keep_s: int = 0
    forward: bool = False


@attrs.frozen(repr=False)
class ReleaseAsk(Message):
    """Asks which release began a stream.

    Parameters
    ----------
    key : int
        Digest of the stream's identity; 0 if it is unknown.
    service : str
        Service of the stream.
    within_s : int
        Seconds in which the stream can have begun.
    """

    key: int
    service: str
    within_s: int = 0


@attrs.frozen(repr=False)
class ReleaseTold(Message):
    """What a router knows of the release that began a stream.

    Parameters
    ----------
    release : str
        The release, if ``basis`` is not empty.
    basis : str
        ``record`` if it is that of the stream, ``only`` if the service had no
        other one in that time; empty if neither is known.
    age_ms : int
        Milliseconds since the router learnt it.
    seen : tuple of str
        Releases that the service had in that time, as far as the router has
        seen.
    remembers : bool
        Whether the router knows all releases of that time, except what it may
        have missed while its list was outdated.
    """

    release: str = ''
    basis: str = ''
    age_ms: int = 0
    seen: tuple[str, ...] = ()
    remembers: bool = False
