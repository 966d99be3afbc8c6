"""Messages about the load of targets."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class TargetLoad(Message):
    """Load of one target as its home router last saw it.

    Parameters
    ----------
    age : float
        Age of the target's report in seconds when this message is sent.
    reachable : bool
        Whether the home router reaches the target.
    """

    target: str
    incarnation: str
    running: int = 0
    queued: int = 0
    slots: int = 0
    leaving: bool = False
    age: float = 0
    reachable: bool = False


@attrs.frozen(repr=False)
class TargetLoads(Message):
    """Loads of targets, sent to the routers of the zone."""

    loads: tuple[TargetLoad, ...] = ()


@attrs.frozen(repr=False)
class LoadWords(Message):
    """Loads of targets, one list per figure.

    Routers send these messages several times a second, and they make up most
    of the traffic. A list of structs costs four times the CPU time to read.

    Parameters
    ----------
    scope : str
        Whose requests are counted: those of the sender, of its zone or of
        the whole fleet.
    targets : tuple of str
        Incarnations of the targets.
    running : tuple of int
        Requests at each target.
    unread : tuple of int
        Prompt tokens at each target that are not processed yet.
    """

    scope: str
    targets: tuple[str, ...] = ()
    running: tuple[int, ...] = ()
    unread: tuple[int, ...] = ()
