"""Messages that fetch the answer to a request that another router runs."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class AnswerAsk(Message):
    """Asks the router that runs a request for its answer from an offset on."""

    team: str
    key: str
    fingerprint: str
    offset: int = 0


@attrs.frozen(repr=False)
class AnswerPart(Message):
    """The bytes of an answer that are available from an offset on.

    Parameters
    ----------
    known : bool
        Whether the router that was asked has the answer.
    status : int
        HTTP status, 0 while it is not known.
    headers : tuple of str
        Header names and values, alternating.
    body : bytes
        Bytes from the offset on that have been received so far.
    ended, whole : bool
        Whether no more bytes follow, and whether the answer is complete.
    fault, reason, ran : str
        For an incomplete answer: the error code, a sentence for people, and
        whether the request ran (``no`` or ``unknown``).
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
