"""Restrictions that a power row puts on one target's host."""

import attrs

from balsamreach.targets.reports import LoadReport

STARTING = 'starting'
LEAVING = 'leaving'
STOPPING = 'stopping'
OFF = 'off'
#: The power rows have not been read yet.
UNREAD = 'unread'

#: States whose recorded incarnation must get no more requests.
LEAVING_STATES = (LEAVING, STOPPING, OFF)


@attrs.frozen
class PowerHold:
    """The state of a host that is not simply on.

    Parameters
    ----------
    state : str
        ``starting``, ``leaving``, ``stopping`` or ``off``.
    incarnation : str
        The last incarnation known before; for a leaving host the one that
        leaves.
    models : tuple of str
        Models that a starting host must have loaded before it gets requests.
    """

    state: str
    incarnation: str = ''
    models: tuple[str, ...] = ()

    @property
    def down(self) -> bool:
        """Whether the host is off, or about to be."""
        return self.state in {STOPPING, OFF}

    def blocks(self, report: LoadReport) -> bool:
        """Return whether the host must get no new requests."""
        if self.down or self.state == UNREAD:
            # Whichever incarnation reports, an order to switch the host off
            # may still arrive, and not every host checks orders.
            return True
        if self.state == STARTING:
            is_old = report.incarnation in {'', self.incarnation}
            return is_old or not set(self.models) <= set(report.models)
        return False
