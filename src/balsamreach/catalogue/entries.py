"""Immutable entries of the operators' configuration."""

import attrs


@attrs.frozen
class Split:
    """One service's share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the sum of the route's weights.
    """

    service: str
    weight: float = 1


@attrs.frozen(kw_only=True)
class Route:
    """Services and rules for requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Name for logs.
    host : str
        Host name that callers request, in lower case.
    prefix : str
        Leading part of the path, with a slash at both ends.
    splits : tuple of Split
        Services that run the requests.
    streams : bool
        Whether the answer is a stream of events.
    idempotent : bool
        Whether a request may run more than once from its beginning.
    resumable : bool
        Whether a broken stream may be resumed at another target after the last
        received event.
    timeout : float
        Seconds after which a request gets its final answer in any case.
    aim : float
        Seconds within which an answer (the first event of a stream) counts as
        on time.
    event_gap : float
        Maximum seconds between two events of a stream that still count as on
        time; 0 if not specified.
    priority : int
        Rank among requests, 0 is highest.
    most_targets : int
        Maximum number of targets that one request may be sent to.
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
        """Whether a request may continue at another target after it ran."""
        return self.idempotent or self.resumable


@attrs.frozen(kw_only=True)
class EngineTraits:
    """Properties of the model engines behind a service.

    Parameters
    ----------
    slots : int
        Requests that one engine runs concurrently.
    cache_tokens : int
        Tokens that fit into an engine's memory.
    tokens_per_event : int
        Maximum tokens in one event of a stream.
    backups : bool
        Whether an engine may copy the KV cache of a request to another one.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1
    backups: bool = False


@attrs.frozen(kw_only=True)
class Service:
    """A set of interchangeable targets.

    Parameters
    ----------
    name : str
        Name of the service.
    most_connections : int
        Connections that one target accepts from all callers together.
    engine : EngineTraits or None
        None for a plain service.
    cold_rate : float
        Requests per second, from all routers together, that a cold target can
        take; 0 if not specified.
    cold_time : float
        Seconds for which a target stays cold.
    """

    name: str
    most_connections: int = 0
    engine: EngineTraits | None = None
    cold_rate: float = 0
    cold_time: float = 0


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum sizes.
    header_time, idle_time : float
        Maximum seconds to receive a header and for an idle connection.
    """

    header_bytes: int = 65536
    body_bytes: int = 1 << 22
    header_time: float = 10
    idle_time: float = 60


@attrs.frozen(kw_only=True)
class Team:
    """A team with prepaid tokens.

    Parameters
    ----------
    name : str
        Name of the team.
    keys : tuple of str
        API keys of its callers.
    priority : int or None
        Rank of its requests, overriding that of the route.
    prepaid : int or None
        Prepaid tokens; None if the team is not metered.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    prepaid: int | None = None
