"""Messages about who runs a request."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class RunNote(Message):
    """Tells a key's home router who runs a request, and where.

    Parameters
    ----------
    incarnation : str
        Router that runs it; empty in an answer means that none is known.
    address : str
        That router's callers' listener.
    target, generation : str
        Target and its name for the generation, to resume it there.
    ended : bool
        Whether the answer is complete and kept by that router.
    sure : bool
        In an answer that names no router, whether it is certain that none
        ran the request.
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
    """Asks a key's home router who runs a request; a RunNote answers."""

    team: str
    key: str
    fingerprint: str


@attrs.frozen(repr=False)
class RunsAsk(Message):
    """Asks whether a router knows of any run of requests; RunsKnown answers."""

    runs: tuple[RunAsk, ...]


@attrs.frozen(repr=False)
class RunsKnown(Message):
    """Tells which of the requests asked for the sender knows to have begun.

    Parameters
    ----------
    runs : tuple of RunAsk
        Those that it runs, ran, or was told of.
    sure : bool
        Whether it can have lost no knowledge of others.
    members : bytes
        Hash of the routers that it holds to be alive.
    """

    runs: tuple[RunAsk, ...] = ()
    sure: bool = False
    members: bytes = b''
