"""How long a transfer may bring no data before it is stopped."""

import abc

import attrs

#: Number of checks of a transfer within one timeout.
_CHECKS_PER_TIMEOUT = 8
#: Seconds that a timeout would have, for the interval of checks without one.
DEFAULT_TIMEOUT_S = 2.0


def check_interval(timeout: float) -> float:
    """Return the seconds between two checks of a transfer.

    Parameters
    ----------
    timeout : float
        Seconds of silence that end it; 0 for no limit.
    """
    return (timeout or DEFAULT_TIMEOUT_S) / _CHECKS_PER_TIMEOUT


class SilencePolicy(abc.ABC):
    """Decides whether a silent transfer is stopped.

    Parameters
    ----------
    interval : float
        Seconds between two checks of the transfer.
    """

    interval: float

    @abc.abstractmethod
    def gives_up(self, silence: float) -> bool:
        """Return whether a transfer is stopped now.

        It is called at each check at which no data has arrived.

        Parameters
        ----------
        silence : float
            Seconds for which the transfer has brought no data.
        """


@attrs.define
class SilenceTimeout(SilencePolicy):
    """Stops a transfer after a fixed time.

    Parameters
    ----------
    timeout : float
        Seconds of silence that end it; 0 for no limit.
    """

    timeout: float = 0
    interval: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set the interval of the checks."""
        self.interval = check_interval(self.timeout)

    def gives_up(self, silence: float) -> bool:
        """Return whether the timeout has passed."""
        return 0 < self.timeout <= silence
