"""A request for a slot, as the routing layer sees it."""

import attrs

from balsamreach.routing.pools import PoolKey


@attrs.frozen
class SlotRequest:
    """One request that needs a slot at a target.

    Parameters
    ----------
    team : str
        Team that sent the request.
    pool : tuple of str
        Kind and name of the model or service.
    fingerprint : str
        Hash of team, path and body.
    prefix : bytes
        Leading part of the prompt.
    weight : float
        The team's weight in the fair queue.
    cost : float
        Cost in the fair queue, in a unit of the pool's own.
    deadline : float
        Monotonic seconds by which the answer must be complete.
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
