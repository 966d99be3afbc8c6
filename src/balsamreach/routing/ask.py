"""What the routing layer is asked for: a slot for one request."""

import attrs

from balsamreach.routing.pools import PoolKey


@attrs.frozen
class Ask:
    """One request as admission sees it.

    Parameters
    ----------
    team : str
        Team that calls.
    pool : tuple of str
        Kind and name of what it wants.
    fingerprint : str
        Hash of team, path and body.
    prefix : bytes
        Leading part of the prompt.
    weight : float
        The team's share of contended targets.
    cost : float
        What it counts in the queue, in the pool's own unit.
    deadline : float
        Monotonic seconds by which the answer must be whole.
    idempotent : bool
        Whether the request may run more than once.
    """

    team: str
    pool: PoolKey
    fingerprint: str
    deadline: float
    prefix: bytes = b''
    weight: float = 1
    cost: float = 1
    idempotent: bool = True
