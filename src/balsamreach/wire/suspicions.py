"""Messages about requests that are suspected of crashing targets."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class Suspicion(Message):
    """A request suspected of crashing targets, or the end of the suspicion.

    Parameters
    ----------
    fingerprint : str
        Hash of team, path and body.
    team : str
        Team that sent the request.
    target : str
        Target that crashed, with its incarnation; empty if ``lifted``.
    lifted : bool
        Whether an operator lifted the quarantine.
    at : float
        Time of the wall clock in seconds, so that older reports don't revert
        the lifting of a quarantine.
    unexplained : bool
        Whether only the connection broke and no crash is known. ``at`` is
        then 0, so that routers without this field ignore the report.
    """

    fingerprint: str
    team: str
    target: str = ''
    lifted: bool = False
    at: float = 0
    unexplained: bool = False
