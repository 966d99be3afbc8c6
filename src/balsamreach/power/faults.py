"""Sentinel errors of the power layer."""

from balsamreach.faults import Fault


class PowerFault(Fault):
    """Why nothing was decided or ordered."""


#: The table service gave no answer that tells the state of the row.
ROW_UNAVAILABLE = PowerFault('power_row_away')
#: Another decider wrote the row first; this decision is void.
ROW_CONFLICT = PowerFault('power_overtaken')
#: This release can't read the row; no orders are given from it.
BAD_ROW = PowerFault('power_bad_row')
