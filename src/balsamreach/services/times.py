"""Bounds on the clock of a platform service."""

import attrs

from balsamreach.clock import Clock


@attrs.define
class ServiceClock:
    """Bounds on the clock of a service, from the times in its answers.

    Clocks of hosts jump and differ, and a suspended host counts less time than
    passes. An answer has the service's time at some moment between the sending
    of the call and the arrival of the answer, so both bounds hold for any
    delay and any suspension of this host.

    Parameters
    ----------
    clock : Clock
        Clock of this host.
    """

    clock: Clock
    _min_offset: float | None = None
    _max_offset: float | None = None

    def note(
        self, service_seconds: float, sent: float, received: float
    ) -> None:
        """Update the bounds with the time in an answer.

        Parameters
        ----------
        service_seconds : float
            Time of the service in seconds, as the answer has it.
        sent, received : float
            Monotonic seconds of this host when the call was sent and when
            the answer was received.
        """
        min_offset = service_seconds - received
        max_offset = service_seconds - sent
        if self._min_offset is None or min_offset > self._min_offset:
            self._min_offset = min_offset
        if self._max_offset is None or max_offset < self._max_offset:
            self._max_offset = max_offset

    def at_least(self) -> float | None:
        """Return a lower bound of the service's time now, in seconds.

        None before the first answer.
        """
        if self._min_offset is None:
            return None
        return self.clock.now() + self._min_offset

    def at_most(self, moment: float) -> float | None:
        """Return an upper bound of the service's time at a moment.

        None before the first answer.

        Parameters
        ----------
        moment : float
            Monotonic seconds of this host, before the first answer.
        """
        if self._max_offset is None:
            return None
        return moment + self._max_offset
