"""Messages about rows of the tables that routers replicate."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class TableAsk(Message):
    """Asks for the rows that were written after a version."""

    since: int = 0


@attrs.frozen(repr=False)
class TableRow(Message):
    """A row of the table as JSON; a row without JSON is deleted.

    Parameters
    ----------
    key : str
        Key of the row.
    version : int
        Version of the row; each change of it increases the version.
    body : str
        JSON text; empty if the row is deleted or the JSON is in ``packed``.
    packed : bytes
        Compressed JSON, used for large rows.
    """

    key: str
    version: int
    body: str = ''
    packed: bytes = b''


@attrs.frozen(repr=False)
class TableRows(Message):
    """Rows that were written between two versions of the table.

    Parameters
    ----------
    since, version : int
        The rows update a copy at ``since`` or later to ``version``.
    more : bool
        Whether more rows follow; the receiver asks again from ``version``.
    """

    since: int
    version: int
    rows: tuple[TableRow, ...] = ()
    more: bool = False


@attrs.frozen(repr=False)
class PowerRows(Message):
    """Rows about hosts' power that the sender read or wrote."""

    rows: tuple[TableRow, ...] = ()


@attrs.frozen(repr=False)
class TablePage(Message):
    """Changes that the sender has just received of a table.

    Parameters
    ----------
    table : str
        Name of the table.
    since : int
        Version after which the rows changed.
    version : int
        Version up to which the rows are all changes since ``since``.
    rows : bytes
        Encoded rows; empty for none.
    whole : bool
        Whether the rows are the whole content of the table.
    """

    table: str
    since: int
    version: int
    rows: bytes = b''
    whole: bool = False
