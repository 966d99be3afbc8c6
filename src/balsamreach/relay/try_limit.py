"""Limit of the attempts of one request."""

import attrs

from balsamreach.dispatch.upstream import ConnectFailure, UpstreamFault

#: Maximum number of attempts for one request. Attempts without a connection
#: reached no target and don't count against the route's own limit.
_MAX_TRIES = 4
#: Maximum number of attempts while connections are refused. A refused
#: connection takes milliseconds; with four attempts, requests were rejected
#: although most engines worked while a fifth of them had crashed.
_MAX_REFUSED_TRIES = 8
#: Share of the route's aim after which refused connections no longer allow
#: further attempts.
_AIM_SHARE = 0.25


@attrs.define
class TryLimit:
    """Counts the attempts of one request.

    Parameters
    ----------
    started : float
        Monotonic seconds at which the first attempt started.
    aim : float
        Seconds within which the response is on time.
    extends_refused : bool
        Whether refused connections allow more attempts.
    """

    started: float
    aim: float
    extends_refused: bool = True
    _tries: int = 0
    _was_refused: bool = False

    def record(self, end: UpstreamFault | None) -> None:
        """Record the end of an attempt."""
        self._tries += 1
        self._was_refused = (
            end is not None and end.connect_failure is ConnectFailure.REFUSED
        )

    @property
    def leaves_room(self) -> bool:
        """Whether an attempt may follow the one in progress."""
        return self._tries + 1 < _MAX_TRIES

    def allows(self, now: float) -> bool:
        """Return whether another attempt may be made."""
        if self._tries < _MAX_TRIES:
            return True
        in_time = now - self.started < self.aim * _AIM_SHARE
        more = self.extends_refused and self._was_refused and in_time
        return more and self._tries < _MAX_REFUSED_TRIES
