"""Settings of a stand-in model engine."""

import attrs


@attrs.define
class EngineSettings:
    """How one stand-in engine is set up and how it misbehaves.

    Parameters
    ----------
    models : list of str
        Models and adapters it serves.
    ip, port : str, int
        Where it listens; port 0 takes a free one.
    first_ms, block_ms, pace_ms : float
        Time to the first word, more of it per block of the prompt that
        isn't cached, and time between words.
    slots, queue_limit, cache_blocks : int
        Bounds of the running batch, the queue and the prefix cache.
    honour_fences : bool
        Whether orders with an older fencing number are refused.
    honour_incarnations : bool
        Whether orders that name another start are refused.
    events_lag_s : float
        Age from which cache events are told.
    events_lost : float
        Share of cache events that are never told.
    load_lag_s : float
        How old the load report may be.
    leaving_header : str
        What each answer's header ``X-Leaving`` says; none if empty.
    retry_after_s : float
        Seconds that a rejection for want of room names; 0 for none.
    usage : str
        ``right``, ``missing``, ``negative`` or ``huge``.
    cut_after : int
        Events after which a stream is cut off; 0 never cuts.
    """

    models: list[str] = attrs.Factory(lambda: ['model-a'])
    ip: str = '127.0.0.1'
    port: int = 0
    zone: str = 'zone-a'
    incarnation: str = 'first'
    role: str = ''
    first_ms: float = 20
    block_ms: float = 1
    pace_ms: float = 5
    slots: int = 8
    queue_limit: int = 64
    cache_blocks: int = 1024
    honour_fences: bool = True
    honour_incarnations: bool = True
    events_lag_s: float = 0
    events_lost: float = 0
    load_lag_s: float = 0
    silent: bool = False
    leaving: bool = False
    leaving_header: str = ''
    retry_after_s: float = 0
    crash_mark: str = ''
    exit_on_crash: bool = False
    fail_share: float = 0
    usage: str = 'right'
    cut_after: int = 0
    seed: int = 0
