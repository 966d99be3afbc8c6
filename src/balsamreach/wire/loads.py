"""Messages about loads at targets."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class TargetLoad(Message):
    """One target's load as its home router saw it.

    Parameters
    ----------
    age : float
        Seconds between the report and the sending of this message.
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
    """Loads told to the routers of the zone."""

    loads: tuple[TargetLoad, ...] = ()


@attrs.frozen(repr=False)
class LoadWords(Message):
    """Loads at targets, as one column for each figure.

    Told several times a second, they are most of what routers send; a list
    of structs costs four times the processor time to read.

    Parameters
    ----------
    scope : str
        Whose they are: the sender's own, its zone's, or the whole fleet's.
    targets : tuple of str
        Incarnations.
    running : tuple of int
        Requests there.
    unread : tuple of int
        Prompt tokens there that are not read yet.
    """

    scope: str
    targets: tuple[str, ...] = ()
    running: tuple[int, ...] = ()
    unread: tuple[int, ...] = ()
