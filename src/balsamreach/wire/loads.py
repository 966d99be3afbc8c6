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


@attrs.frozen(repr=False)
class TargetRates(Message):
    """Reading speeds of engines, measured from their responses.

    Parameters
    ----------
    scope : str
        Whose measurements they are: the sender's since its last message, its
        zone's, or the fleet's estimate.
    targets : tuple of str
        Incarnations of the targets.
    tokens_per_second : tuple of int
        Prompt tokens that each target processes in a second.
    weights : tuple of int
        Prompt tokens that each measurement is based on.
    """

    scope: str
    targets: tuple[str, ...] = ()
    tokens_per_second: tuple[int, ...] = ()
    weights: tuple[int, ...] = ()


@attrs.frozen(repr=False)
class TargetFailures(Message):
    """Failures and recoveries of targets that a router has seen.

    Parameters
    ----------
    scope : str
        Whose observations they are: those of the sender, of its zone, or of
        other zones.
    targets : tuple of str
        Incarnations of the targets, or ``zone:NAME`` for a whole zone.
    outcomes : tuple of str
        What was seen of each: ``refused``, ``timed_out``, ``silent`` or
        ``recovered``.
    sources : tuple of str
        Incarnation of the router that saw it, for ``silent`` followed by a
        slash and a number of the exchange.
    ages_ms : tuple of int
        Milliseconds from the observation until this message was sent.
    """

    scope: str
    targets: tuple[str, ...] = ()
    outcomes: tuple[str, ...] = ()
    sources: tuple[str, ...] = ()
    ages_ms: tuple[int, ...] = ()


@attrs.frozen(repr=False)
class HeavyTeams(Message):
    """Teams whose requests take much of the sender's link.

    Parameters
    ----------
    teams : tuple of str
        The teams.
    bytes_per_second : tuple of int
        Bytes of each team's requests and responses that cross the link.
    out_of_rotation : bool
        Whether the sender is out of the load balancer's rotation.
    reporter : str
        Incarnation of the router that the message is about, if a hub has
        forwarded it; empty for the sender.
    """

    teams: tuple[str, ...] = ()
    bytes_per_second: tuple[int, ...] = ()
    out_of_rotation: bool = False
    reporter: str = ''
