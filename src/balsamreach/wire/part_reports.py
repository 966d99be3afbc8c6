"""Messages about parts of prompts that may crash targets."""

import attrs

from balsamreach.wire.base import Message

#: A connection broke before a target had answered a prompt with the part.
BROKE = 'broke'
#: A prompt with the part is tried at a target, although it is suspected.
TRIED = 'tried'
#: A target has answered a prompt with the part.
ANSWERED = 'answered'
#: The part crashes targets.
QUARANTINED = 'quarantined'


@attrs.frozen(repr=False)
class PartReport(Message):
    """What a router has seen of one part.

    Parameters
    ----------
    service, model : str
        Service and model that the prompts were for.
    part : str
        Identity of the part.
    outcome : str
        ``broke``, ``tried``, ``answered`` or ``quarantined``.
    target : str
        Incarnation of the target whose connection broke.
    fingerprint : str
        The request whose connection broke.
    ran_ms : int
        Milliseconds from the sending of that request to the break.
    age_ms : int
        Milliseconds since then.
    """

    service: str
    model: str
    part: str
    outcome: str
    target: str = ''
    fingerprint: str = ''
    ran_ms: int = 0
    age_ms: int = 0


@attrs.frozen(repr=False)
class PartReports(Message):
    """Reports of one or more routers.

    Parameters
    ----------
    reports : tuple of PartReport
        The reports, in the order in which they were made.
    routed : bool
        Whether they are on their way to the keepers of their parts.
    """

    reports: tuple[PartReport, ...] = ()
    routed: bool = False
