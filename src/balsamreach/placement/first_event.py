"""Predicts when a request's first event arrives, and what it costs others."""

#: Milliseconds to the first event of a prompt without unprocessed tokens.
BASE_MS = 30
#: Milliseconds that sending to another zone adds.
OTHER_ZONE_MS = 4
#: Share of the latency objective from which on more time costs extra. The
#: prediction is uncertain, since reported loads are up to 0.2 s old.
AIM_SHARE = 0.8
#: Cost of each millisecond beyond that share.
LATE_FACTOR = 4
#: Cost of each millisecond of processing for each running request. A stream
#: that is delayed within its event gap is still on time, so the dozen streams
#: of a busy engine together count about as much as the request itself.
DELAY_FACTOR = 0.08
_MS = 1000


def late_after_ms(aim: float) -> float:
    """Return the milliseconds to the first event that cost nothing extra.

    Parameters
    ----------
    aim : float
        Seconds within which the first event is on time.
    """
    return aim * AIM_SHARE * _MS


def first_event_ms(
    queued: float, uncached: float, speed: float, distance_ms: float = 0
) -> float:
    """Return the predicted milliseconds to the first event.

    Parameters
    ----------
    queued : float
        Unprocessed prompt tokens at the engine.
    uncached : float
        Tokens of the prompt that the engine has to process.
    speed : float
        Tokens that it processes in a millisecond.
    distance_ms : float
        Milliseconds that the distance adds.
    """
    return BASE_MS + (queued + uncached) / speed + distance_ms


def lateness_cost_ms(first_ms: float, late_after_ms: float) -> float:
    """Return the extra cost of a first event close to its objective."""
    if first_ms <= late_after_ms:
        return 0
    return LATE_FACTOR * (first_ms - late_after_ms)


def running_cost_ms(read_ms: float, running: int) -> float:
    """Return what processing a prompt costs the requests running there.

    Parameters
    ----------
    read_ms : float
        Milliseconds that the engine takes to process the prompt.
    running : int
        Requests running there.
    """
    return running * DELAY_FACTOR * read_ms
