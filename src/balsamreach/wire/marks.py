"""Messages about targets that are leaving."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class TargetMark(Message):
    """Tells that an incarnation of a target is leaving and won't return."""

    target: str
    incarnation: str


@attrs.frozen(repr=False)
class InFlightAsk(Message):
    """Asks how many requests a router has at a target."""

    target: str


@attrs.frozen(repr=False)
class InFlight(Message):
    """How many requests a router has at a target.

    Parameters
    ----------
    closed : bool
        Whether the router sends this target no further requests.
    """

    target: str
    requests: int
    closed: bool = False
