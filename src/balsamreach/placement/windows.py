"""Bounds requests in progress at a target after it has backed off.

Load pattern: through many routers, a service gets more requests than its
targets can take. Each rejection with a retry time removes a target from a
router for all of that time, so the router's requests pile up at the other
targets, which reject next; in the end most capacity is idle.
"""

import attrs

from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.placement.restrictions import Window

#: New limit as a share of the requests in progress besides the rejected one.
_NARROWED_SHARE = 0.75
#: Share of the peak of requests in progress up to which a window widens by
#: one with each accepted request, so that a target that rejected for another
#: reason than its load is soon in full use again.
_FAST_SHARE = 0.5
#: Multiple of the back-off time in which a window widens by one beyond that:
#: the cost of a rejection must stay small beside what is gained until the
#: next one.
_SLOW_FACTOR = 10


def narrow(
    place: RelayTarget,
    before: Window | None,
    retry_after: float,
    now: float,
) -> Window:
    """Return the window of a target that has just rejected a request.

    Parameters
    ----------
    place : RelayTarget
        The target; the request still counts as in progress there.
    before : Window or None
        Its window until now.
    retry_after : float
        Seconds for which it wants no requests.
    now : float
        Monotonic seconds.
    """
    others = place.running - 1
    limit = max(1, _NARROWED_SHARE * others)
    fast_until = _FAST_SHARE * place.peak_running
    if not others and before is not None:
        # A rejection without any load doesn't show how much load the target
        # can take.
        fast_until = before.fast_until
    return Window(
        limit=limit,
        fast_until=max(limit, fast_until),
        step=_SLOW_FACTOR * retry_after,
        widened_at=now + retry_after,
    )


def widen(window: Window, now: float) -> Window:
    """Return a window after its target has accepted a request."""
    if window.limit < window.fast_until:
        return attrs.evolve(window, limit=window.limit + 1, widened_at=now)
    elapsed = max(0, now - window.widened_at)
    limit = window.limit + elapsed / window.step
    return attrs.evolve(window, limit=limit, widened_at=now)
