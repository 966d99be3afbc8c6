"""Entries of the operators' configuration, each frozen."""

import attrs


@attrs.frozen
class Split:
    """One share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service that gets them.
    weight : float
        Part of the sum of all weights of the route.
    """

    service: str
    weight: float = 1


@attrs.frozen(kw_only=True)
class Route:
    """Where requests of one host and path prefix may go, and how.

    Parameters
    ----------
    name : str
        Name for logs.
    host : str
        Host name that callers ask for, in lower case.
    prefix : str
        Leading part of the path, with a slash at both ends.
    splits : tuple of Split
        Services that run the requests.
    streams : bool
        Whether the answer is a stream of events.
    idempotent : bool
        Whether a request may run more than once from its beginning.
    resumable : bool
        Whether a broken stream may be resumed at another target after the
        last event that came.
    timeout : float
        Seconds after which a request gets its final answer in any case.
    aim : float
        Seconds within which an answer (the first event of a stream) is on
        time.
    event_gap : float
        Seconds between two events of a stream that are still on time; 0
        where nothing is said.
    priority : int
        Rank among requests, 0 before all others.
    most_targets : int
        Targets that one request may be sent to.
    public : bool
        Whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    splits: tuple[Split, ...]
    streams: bool = False
    idempotent: bool = False
    resumable: bool = False
    timeout: float = 30
    aim: float = 1
    event_gap: float = 0
    priority: int = 0
    most_targets: int = 1
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may go on at another target after it ran."""
        return self.idempotent or self.resumable


@attrs.frozen(kw_only=True)
class EngineTraits:
    """What is known of the model engines behind a service.

    Parameters
    ----------
    slots : int
        Requests that one engine runs at once.
    cache_tokens : int
        Tokens that fit into an engine's memory.
    tokens_per_event : int
        Most tokens that one event of a stream holds.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1


@attrs.frozen(kw_only=True)
class Service:
    """A set of targets that are copies of each other.

    Parameters
    ----------
    name : str
        Its name.
    most_connections : int
        Connections that one target takes from all callers together.
    engine : EngineTraits or None
        None for a plain service.
    cold_rate : float
        Requests a second of all routers together that a target bears while
        it is cold; 0 where nothing is said.
    cold_time : float
        Seconds for which a target is cold after it became so.
    """

    name: str
    most_connections: int = 0
    engine: EngineTraits | None = None
    cold_rate: float = 0
    cold_time: float = 0


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Sizes.
    header_time, idle_time : float
        Seconds that a header may take, and a connection may stay idle.
    """

    header_bytes: int = 65536
    body_bytes: int = 1 << 22
    header_time: float = 10
    idle_time: float = 60


@attrs.frozen(kw_only=True)
class Team:
    """A team that pays in advance.

    Parameters
    ----------
    name : str
        Its name.
    keys : tuple of str
        Keys that its callers show.
    priority : int or None
        Rank of its requests, which goes before that of the route.
    prepaid : int or None
        Tokens paid for; None where nothing is metered.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    prepaid: int | None = None
