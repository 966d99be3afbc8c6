"""What the power row in force says of one target's host."""

import attrs

from balsamreach.targets.reports import LoadReport

STARTING = 'starting'
LEAVING = 'leaving'
STOPPING = 'stopping'
OFF = 'off'
#: The power rows have not been read yet.
UNREAD = 'unread'

#: States whose recorded start must get nothing more.
GOING = (LEAVING, STOPPING, OFF)


@attrs.frozen
class Hold:
    """A host that is not simply on.

    Parameters
    ----------
    state : str
        ``starting``, ``leaving``, ``stopping`` or ``off``.
    incarnation : str
        The last start known before; for a leaving host the one that leaves.
    models : tuple of str
        What a starting host has to have loaded before it gets work.
    """

    state: str
    incarnation: str = ''
    models: tuple[str, ...] = ()

    @property
    def down(self) -> bool:
        """Whether the host is off, or about to be."""
        return self.state in {STOPPING, OFF}

    def keeps_off(self, report: LoadReport) -> bool:
        """Return whether the host must get no new work."""
        if self.down or self.state == UNREAD:
            # Whatever start answers there, an order to switch it off may
            # still be on its way to a host that checks nothing.
            return True
        if self.state == STARTING:
            same = report.incarnation in {'', self.incarnation}
            return same or not set(self.models) <= set(report.models)
        return False
