"""Bounds how often requests are sent to another target."""

import attrs

from balsamreach.routing.retries import RetryBudget


@attrs.define
class Repeats:
    """A retry budget for each service.

    All routers together must stay within the users' share. Each keeps to it
    for the requests that came through itself, so no message is needed.

    Parameters
    ----------
    share : float
        Repeats for each request.
    reserve : float
        Repeats that a service may have beyond the share at the beginning.
    """

    share: float
    reserve: float
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    def first(self, service: str) -> None:
        """Take note of a request's first attempt."""
        self._budget(service).deposit()

    def again(self, service: str) -> bool:
        """Return whether a repeat may be sent; it is counted."""
        return self._budget(service).withdraw()

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self.share, self.reserve)
        return self._budgets[service]
