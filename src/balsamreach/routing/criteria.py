"""What the choice of a target takes into account."""

import attrs


@attrs.frozen
class Criteria:
    """Conditions that the target for one request has to meet.

    Parameters
    ----------
    prefix : bytes
        Leading part of the prompt; empty for plain services.
    tried : frozenset of str
        Names of targets that must not be chosen.
    may_probe : bool
        Whether the request may be sent to a target whose breaker is open,
        as a probe.
    ignore_breakers : bool
        Whether open breakers are ignored, as every target's is open.
    """

    prefix: bytes = b''
    tried: frozenset[str] = frozenset()
    may_probe: bool = True
    ignore_breakers: bool = False
