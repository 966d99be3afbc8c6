"""Sentinel errors of the power layer."""

from balsamreach.faults import Fault


class PowerFault(Fault):
    """A reason why nothing was decided or ordered."""


#: The table service gave no answer that says what the row is now.
ROW_AWAY = PowerFault('power_row_away')
#: Another decider wrote the row first; whatever was decided is void.
OVERTAKEN = PowerFault('power_overtaken')
#: The row can't be read by this release; nothing is ordered from it.
BAD_ROW = PowerFault('power_bad_row')
