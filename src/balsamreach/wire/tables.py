"""Messages about rows of the tables that routers follow."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class TableAsk(Message):
    """Asks for the rows written after a version."""

    since: int = 0


@attrs.frozen(repr=False)
class TableRow(Message):
    """A row of the table with its JSON; no JSON means deleted.

    Parameters
    ----------
    key : str
        Which row.
    version : int
        Raised by each change of it.
    body : str
        Its JSON; empty where the row is deleted or the JSON is packed.
    packed : bytes
        The JSON compressed, where it is large.
    """

    key: str
    version: int
    body: str = ''
    packed: bytes = b''


@attrs.frozen(repr=False)
class TableRows(Message):
    """Rows written between two versions of the table.

    Parameters
    ----------
    since, version : int
        The rows bring a view at ``since`` or later to ``version``.
    more : bool
        Whether to ask again from ``version``.
    """

    since: int
    version: int
    rows: tuple[TableRow, ...] = ()
    more: bool = False


@attrs.frozen(repr=False)
class PowerRows(Message):
    """Power rows that the sender read or wrote."""

    rows: tuple[TableRow, ...] = ()


@attrs.frozen(repr=False)
class TablePage(Message):
    """What the sender has just heard of a table that it follows.

    Parameters
    ----------
    table : str
        The table.
    since : int
        Version after which the rows changed.
    version : int
        Version up to which nothing else changed.
    rows : bytes
        The rows, packed; empty for none.
    whole : bool
        Whether they are all that the table holds.
    """

    table: str
    since: int
    version: int
    rows: bytes = b''
    whole: bool = False
