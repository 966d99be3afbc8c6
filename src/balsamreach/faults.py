"""Sentinel error values that every layer builds its own set from."""

from typing import Self

import attrs


@attrs.frozen
class Fault:
    """An error as a value: a fixed code and the reason it arose this time.

    Each layer subclasses this and keeps its sentinels as module constants.
    A function that can fail returns its result or one of its own layer's
    faults; it never hands a fault of a lower layer upwards.

    Parameters
    ----------
    code : str
        Machine-readable name of the sentinel, stable across releases.
    reason : str
        One sentence for a person, without the final full stop.
    """

    code: str
    reason: str = attrs.field(default='', eq=False)

    def because(self, reason: str) -> Self:
        """Return the same sentinel with the reason of this occurrence.

        Parameters
        ----------
        reason : str
            What happened, in words an operator can act on.

        Returns
        -------
        Fault
            A fault that compares equal to this sentinel.
        """
        return attrs.evolve(self, reason=reason)
