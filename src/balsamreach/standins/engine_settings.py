"""Settings of a simulated model engine."""

import attrs


@attrs.define
class EngineSettings:
    """Settings of a simulated engine, including its faults.

    Parameters
    ----------
    models : list of str
        Served models and adapters.
    ip, port : str, int
        Listen address; port 0 selects a free one.
    first_ms, block_ms, pace_ms : float
        Milliseconds until the first word, additional ones per uncached
        block of the prompt, and between words.
    slots, queue_limit, cache_blocks : int
        Maximum number of running and queued generations and of cached
        blocks.
    honour_fences : bool
        Whether orders with an older fencing number are refused.
    honour_incarnations : bool
        Whether orders for another incarnation are refused.
    events_lag_s : float
        Seconds after which cache events are reported.
    events_lost : float
        Share of cache events that are never reported.
    load_lag_s : float
        Maximum age of the load report in seconds.
    leaving_header : str
        Value of the response header ``X-Leaving``; no header if empty.
    retry_after_s : float
        Value of ``Retry-After`` when the engine is full or leaving; 0 for
        no header.
    usage : str
        Reported token usage: ``right``, ``missing``, ``negative`` or
        ``huge``.
    cut_after : int
        Number of events after which a stream is cut off; 0 for never.
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
