"""Decides whether a silent attempt ends, so that another one may follow.

Load pattern: a target stands still for seconds with all that runs there, or
connections have been lost on the way without a sign. Another attempt helps
in the second case, and only if it is allowed and finds a target. A response
that is still to come must not be given up for nothing: its caller and its
time limit end the wait.
"""

from collections.abc import Callable

import attrs

from balsamreach.dispatch.silence import SilencePolicy, check_interval

#: Seconds of silence after which a request leaves an open connection, if no
#: target of its service can be connected to. Sound targets write every few
#: tens of milliseconds, and a connection that still works shows it by then.
_UNREACHABLE_S = 0.5


def _never() -> bool:
    """Return false."""
    return False


def _ignore() -> None:
    """Record nothing."""


@attrs.define(eq=False, kw_only=True)
class AttemptSilence(SilencePolicy):
    """Ends an attempt only if another one has been allowed.

    Parameters
    ----------
    gap : float
        Seconds of silence after which another target is tried; 0 for no
        limit, as for responses that arrive as a whole.
    claim_next : callable
        Returns whether another attempt may follow, and counts it as a retry
        if so.
    is_unreachable : callable
        Returns whether no target of the service can be connected to.
    on_waiting : callable
        Called once in each silence that outlasts the gap while no other
        attempt may follow.
    """

    gap: float
    claim_next: Callable[[], bool]
    is_unreachable: Callable[[], bool] = _never
    on_waiting: Callable[[], None] = _ignore
    interval: float = attrs.field(init=False)
    _is_waiting: bool = False

    def __attrs_post_init__(self) -> None:
        """Set the interval of the checks."""
        self.interval = check_interval(self.gap)

    def gives_up(self, silence: float) -> bool:
        """Return whether another attempt is made now."""
        is_silent = 0 < self.gap <= silence
        if not is_silent:
            self._is_waiting = False
            if silence < _UNREACHABLE_S or not self.is_unreachable():
                return False
        if self.claim_next():
            return True
        if is_silent and not self._is_waiting:
            self._is_waiting = True
            self.on_waiting()
        return False
