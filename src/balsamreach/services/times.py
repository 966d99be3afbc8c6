"""What is known of the clock of a platform service."""

import attrs

from balsamreach.clock import Clock


@attrs.define
class ServiceClock:
    """A service's own steady clock, as far as its answers tell.

    Hosts' clocks jump and differ, and a host that was suspended has counted
    less time than has passed. An answer tells the service's time at some
    moment between the sending of the call and the hearing of the answer. So
    both bounds below hold whatever the delay, and however long this host was
    suspended.

    Parameters
    ----------
    clock : Clock
        Time of this host.
    """

    clock: Clock
    _least_lead: float | None = None
    _most_lead: float | None = None

    def note(self, told: float, sent: float, heard: float) -> None:
        """Take note of an answer.

        Parameters
        ----------
        told : float
            Seconds that the service's clock showed.
        sent, heard : float
            Monotonic seconds here at the sending and at the answer.
        """
        least = told - heard
        most = told - sent
        if self._least_lead is None or least > self._least_lead:
            self._least_lead = least
        if self._most_lead is None or most < self._most_lead:
            self._most_lead = most

    def at_least(self) -> float | None:
        """Return seconds that the service's clock has passed by now."""
        if self._least_lead is None:
            return None
        return self.clock.now() + self._least_lead

    def at_most(self, moment: float) -> float | None:
        """Return the most that the service's clock showed at a moment.

        Parameters
        ----------
        moment : float
            Monotonic seconds here, before the first answer.
        """
        if self._most_lead is None:
            return None
        return moment + self._most_lead
