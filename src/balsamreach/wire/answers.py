"""Messages that carry the answer of a request that runs elsewhere."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class AnswerAsk(Message):
    """Asks the router that runs a request for a part of its answer."""

    team: str
    key: str
    fingerprint: str
    offset: int = 0


@attrs.frozen(repr=False)
class AnswerPart(Message):
    """Part of an answer from an offset on.

    Parameters
    ----------
    known : bool
        Whether the asked router has the answer at all.
    status : int
        HTTP status, 0 while it is not known.
    headers : tuple of str
        Names and texts in turn.
    body : bytes
        Bytes from the offset on, as far as they are there.
    ended, whole : bool
        Whether nothing more comes, and whether that is the whole answer.
    fault, reason, ran : str
        Code, sentence and ``no`` or ``unknown`` where it is not whole.
    """

    known: bool
    status: int = 0
    headers: tuple[str, ...] = ()
    body: bytes = b''
    ended: bool = False
    whole: bool = False
    fault: str = ''
    reason: str = ''
    ran: str = ''
