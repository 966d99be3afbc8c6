"""Faults of reading and editing the table."""

from typing import Self

import attrs

from balsamreach.faults import Fault
from balsamreach.services.base import Row


@attrs.frozen
class TableFault(Fault):
    """A fault of reading or editing the table.

    Parameters
    ----------
    row : Row or None
        Current row, if the edit conflicts with it.
    """

    row: Row | None = attrs.field(default=None, eq=False)

    def with_row(self, row: Row) -> Self:
        """Return the same fault with the current row."""
        return attrs.evolve(self, row=row)


#: A field is unknown, missing or out of range.
BAD_ROW = TableFault('bad_row')
#: The row changed since the operator saw it.
STALE_EDIT = TableFault('stale_edit')
#: The new prepaid budget is less than what is already spent or allotted.
BELOW_TAKEN = TableFault('below_taken')
#: The row does not exist.
NO_ROW = TableFault('no_row')
#: The table service is unreachable or refuses requests.
TABLE_UNAVAILABLE = TableFault('table_away')
#: No answer came, so the edit may or may not have been committed.
EDIT_UNKNOWN = TableFault('edit_unknown')
#: The edit id was used before for another edit.
ID_TAKEN = TableFault('edit_id_taken')
#: A snapshot is damaged, truncated or in an unknown format.
BAD_SNAPSHOT = TableFault('bad_snapshot')
