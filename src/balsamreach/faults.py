"""Base class of the faults, errors that are returned as values."""

from typing import Self

import attrs


@attrs.frozen
class Fault:
    """An error as a value: a fixed code and the reason of this occurrence.

    Each layer subclasses it and defines its sentinels as module constants. A
    function that can fail returns its result or a fault of its own layer,
    never one of a lower layer.

    Parameters
    ----------
    code : str
        Machine-readable name of the sentinel, stable across releases.
    reason : str
        A sentence for people, without a full stop at its end.
    """

    code: str
    reason: str = attrs.field(default='', eq=False)

    def because(self, reason: str) -> Self:
        """Return a copy with the reason of this occurrence.

        Parameters
        ----------
        reason : str
            What happened, in terms that an operator can act on.

        Returns
        -------
        Fault
            A fault that compares equal to this sentinel.
        """
        return attrs.evolve(self, reason=reason)
