"""Messages by which a buddy keeps copies of bills."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class BillCopy(Message):
    """One bill as a buddy keeps it."""

    team: str
    key: str
    tokens: int


@attrs.frozen(repr=False)
class BillCopies(Message):
    """Bills to keep until their maker says that they are recorded.

    Parameters
    ----------
    left : bool
        Whether the maker has stopped spending for good, so that its buddy
        may settle its bills and close its allotments.
    address : str
        The maker's address if another router passes its copies on.
    """

    incarnation: str
    bills: tuple[BillCopy, ...] = ()
    recorded: tuple[BillCopy, ...] = ()
    left: bool = False
    address: str = ''
