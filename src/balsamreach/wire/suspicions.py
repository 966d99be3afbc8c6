"""Messages about requests that may crash targets."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class Suspicion(Message):
    """A request that may crash targets, or the end of that suspicion.

    Parameters
    ----------
    fingerprint : str
        Hash of team, path and body.
    team : str
        Team that sent it.
    target : str
        Target that crashed, with its incarnation; empty where lifted.
    lifted : bool
        Whether an operator lifted the quarantine.
    at : float
        Wall time, so that a lift is not undone by older reports.
    unexplained : bool
        Whether the connection only broke and no crash is known of. ``at``
        is 0 then, which a router that does not know this field ignores.
    """

    fingerprint: str
    team: str
    target: str = ''
    lifted: bool = False
    at: float = 0
    unexplained: bool = False
