"""A request that a route passes through."""

import functools
import hashlib

import attrs

from balsamreach.catalogue.entries import Route, Team
from balsamreach.placement.prompts import Prompt
from balsamreach.relay.host_link import HEAD_BYTES

_DIGEST_BYTES = 12


@attrs.frozen(kw_only=True)
class RelayCall:
    """A request as read and checked.

    Parameters
    ----------
    request_id : str
        Identity that the caller gave this try of its request.
    method, path : str
        Request line; the path holds the query.
    headers : tuple of (str, str)
        Headers that concern the target, in their order.
    body : bytes
        Body.
    route : Route
        The route it takes.
    service : str
        Service that the route's weights chose.
    priority : int
        Rank, 0 before all others.
    deadline : float
        Monotonic seconds by which it gets its final answer.
    team : Team or None
        Who pays; None on a public route.
    prompt : Prompt or None
        None for plain services.
    last_event : str
        Id of the event after which a stream goes on; empty for all of it.
    catalogue_version : int
        Version of the configuration that it was read under.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: Route
    service: str
    priority: int
    deadline: float
    team: Team | None = None
    prompt: Prompt | None = None
    last_event: str = ''
    catalogue_version: int = 0

    @property
    def team_name(self) -> str:
        """Name of the team, empty for none."""
        return '' if self.team is None else self.team.name

    @property
    def size(self) -> int:
        """Bytes that it takes on a link."""
        return HEAD_BYTES + len(self.body)

    @functools.cached_property
    def fingerprint(self) -> str:
        """What stays the same where a caller sends the request again."""
        digest = hashlib.blake2b(self.body, digest_size=_DIGEST_BYTES)
        digest.update(self.path.encode())
        digest.update(self.team_name.encode())
        return digest.hexdigest()

    @property
    def repeatable(self) -> bool:
        """Whether it may go on at another target after it ran."""
        return self.route.repeatable
