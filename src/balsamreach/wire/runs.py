"""Messages about which router runs a request."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class RunNote(Message):
    """Tells a key's home router which router runs a request.

    Parameters
    ----------
    incarnation : str
        Router that runs the request; empty in an answer if none is known.
    address : str
        Address of that router's listener for callers.
    target, generation : str
        Target and its identifier of the generation, for resuming it there.
    ended : bool
        Whether the answer is complete and stored by that router.
    sure : bool
        In an answer that names no router: whether it is certain that no
        router ran the request.
    """

    team: str
    key: str
    fingerprint: str
    incarnation: str = ''
    address: str = ''
    target: str = ''
    generation: str = ''
    ended: bool = False
    sure: bool = False


@attrs.frozen(repr=False)
class RunAsk(Message):
    """Asks a key's home router which router runs a request.

    The answer is a RunNote.
    """

    team: str
    key: str
    fingerprint: str


@attrs.frozen(repr=False)
class RunsAsk(Message):
    """Asks whether a router knows of a run of any of these requests.

    The answer is a RunsKnown.
    """

    runs: tuple[RunAsk, ...]


@attrs.frozen(repr=False)
class RunsKnown(Message):
    """Tells which of the requests in a RunsAsk are known to have begun.

    Parameters
    ----------
    runs : tuple of RunAsk
        Requests that the sender runs, ran, or was told of.
    sure : bool
        Whether the sender cannot have lost its record of any others.
    members : bytes
        Hash of the routers that the sender considers alive.
    """

    runs: tuple[RunAsk, ...] = ()
    sure: bool = False
    members: bytes = b''
