"""Generic answers to any message."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class Refused(Message):
    """Rejects a message or a connection.

    Parameters
    ----------
    code : str
        Fixed code of the reason.
    reason : str
        One sentence for people.
    """

    code: str
    reason: str = ''


@attrs.frozen(repr=False)
class Done(Message):
    """Acknowledges a message that needs no other answer."""
