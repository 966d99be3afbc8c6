"""Messages that copy a router's bills to its backup peer."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class BillCopy(Message):
    """One bill as a backup peer stores it."""

    team: str
    key: str
    tokens: int


@attrs.frozen(repr=False)
class BillCopies(Message):
    """Bills to store until the router that made them has recorded them.

    Parameters
    ----------
    incarnation : str
        Incarnation of the router that made the bills.
    bills : tuple of BillCopy
        Bills to store.
    recorded : tuple of BillCopy
        Bills that are recorded and need no copy any more.
    left : bool
        Whether that router has stopped spending permanently, so that its
        backup peer may settle its bills and close its allotments.
    address : str
        Address of that router if another router forwards the copies.
    """

    incarnation: str
    bills: tuple[BillCopy, ...] = ()
    recorded: tuple[BillCopy, ...] = ()
    left: bool = False
    address: str = ''
