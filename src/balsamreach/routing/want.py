"""What a choice is made for."""

import attrs


@attrs.frozen
class Want:
    """One request as far as the choice of a target goes.

    Parameters
    ----------
    prefix : bytes
        Leading part of the prompt; empty for plain services.
    tried : frozenset of str
        Names of targets that must not be chosen.
    probes : bool
        Whether it may be sent to a target that has been failing, to find
        out whether it still does.
    desperate : bool
        Whether suspensions are ignored, as all targets are suspended.
    """

    prefix: bytes = b''
    tried: frozenset[str] = frozenset()
    probes: bool = True
    desperate: bool = False
