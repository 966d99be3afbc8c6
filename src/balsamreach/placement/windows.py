"""Bounds requests in progress at a target by what made it back off.

Load pattern: more requests than the targets of a service bear, through many
routers. Each rejection that names a time takes a target from a router for all
of it, so its requests pile up at the others, which reject next; in the end
most capacity is idle.
"""

import attrs

from balsamreach.placement.places import Place
from balsamreach.placement.standings import Window

#: Part of the requests in progress beside the one rejected that may be there
#: at once from then on.
_BORNE_SHARE = 0.75
#: Part of the most requests that were in progress, up to which a window opens
#: by one with each request accepted. A target that rejected for another
#: reason than its load is in full use again soon.
_FAST_SHARE = 0.5
#: Times the back-off in which a window beyond that opens by one: what a
#: rejection costs must stay small beside what is gained until the next one.
_SLOW_TIMES = 10


def narrow(
    place: Place,
    before: Window | None,
    retry_after: float,
    now: float,
) -> Window:
    """Return the window of a target that has just rejected a request.

    Parameters
    ----------
    place : Place
        The target; the request still counts as in progress there.
    before : Window or None
        Its window until now.
    retry_after : float
        Seconds for which it wants no requests.
    now : float
        Monotonic seconds.
    """
    others = place.running - 1
    limit = max(1, _BORNE_SHARE * others)
    fast_until = _FAST_SHARE * place.most_running
    if not others and before is not None:
        # A rejection without any load says nothing of how much is borne.
        fast_until = before.fast_until
    return Window(
        limit=limit,
        fast_until=max(limit, fast_until),
        step=_SLOW_TIMES * retry_after,
        opened_at=now + retry_after,
    )


def widen(window: Window, now: float) -> Window:
    """Return a window after its target has accepted a request."""
    if window.limit < window.fast_until:
        return attrs.evolve(window, limit=window.limit + 1, opened_at=now)
    elapsed = max(0, now - window.opened_at)
    limit = window.limit + elapsed / window.step
    return attrs.evolve(window, limit=limit, opened_at=now)
