"""Sentinel errors of the table layer."""

from typing import Self

import attrs

from balsamreach.faults import Fault
from balsamreach.services.base import Row


@attrs.frozen
class TableFault(Fault):
    """An error met while reading or editing the table.

    Parameters
    ----------
    row : Row or None
        The row as it stands, where an edit lost against it.
    """

    row: Row | None = attrs.field(default=None, eq=False)

    def against(self, row: Row) -> Self:
        """Return the same fault with the row as it stands."""
        return attrs.evolve(self, row=row)


#: A field is unknown, missing or out of its range.
BAD_ROW = TableFault('bad_row')
#: The row changed since the operator saw it.
STALE_EDIT = TableFault('stale_edit')
#: The new prepaid budget is below what is spent or allotted already.
BELOW_TAKEN = TableFault('below_taken')
#: There is no such row.
NO_ROW = TableFault('no_row')
#: The table service cannot be reached or refuses for now.
TABLE_AWAY = TableFault('table_away')
#: No answer came, and the edit could not be found either way.
EDIT_UNKNOWN = TableFault('edit_unknown')
#: An edit id was used before for another edit.
ID_TAKEN = TableFault('edit_id_taken')
#: A snapshot is damaged, cut or of a format that is not known here.
BAD_SNAPSHOT = TableFault('bad_snapshot')
