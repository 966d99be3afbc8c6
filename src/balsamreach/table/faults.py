"""Sentinel errors of the table layer."""

from balsamreach.faults import Fault


class TableFault(Fault):
    """An error met while reading or editing the table."""


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
