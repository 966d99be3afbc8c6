"""Answers that any ask may get."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class Refused(Message):
    """Answers a message, or a connection, that isn't taken.

    Parameters
    ----------
    code : str
        Fixed name of the reason.
    reason : str
        One sentence for a person.
    """

    code: str
    reason: str = ''


@attrs.frozen(repr=False)
class Done(Message):
    """Answers a message that asks for nothing but to be taken."""
