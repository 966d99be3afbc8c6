"""A request that the router relays to a target."""

import functools
import hashlib

import attrs

from balsamreach.catalogue.entries import Route, Team
from balsamreach.placement.prompts import Prompt
from balsamreach.relay.host_link import HEADER_BYTES

_DIGEST_BYTES = 12


@attrs.frozen(kw_only=True)
class RelayCall:
    """A parsed and validated request.

    Parameters
    ----------
    request_id : str
        Identity that the caller gave this attempt of its request.
    method, path : str
        Request line; the path includes the query.
    headers : tuple of (str, str)
        Headers to forward to the target, in their order.
    body : bytes
        Body.
    route : Route
        Route that the request matches.
    service : str
        Service that was chosen by the route's weights.
    priority : int
        Priority; 0 is the highest.
    deadline : float
        Monotonic seconds by which the caller gets its final response.
    team : Team or None
        Team that is charged; None on a public route.
    prompt : Prompt or None
        Prompt; None for services without engines.
    last_event : str
        Id of the event after which a stream resumes; empty for all of it.
    resumes : str
        Identity of the caller's attempt that brought the first event of the
        stream that the caller takes up again; empty if it names none.
    release : str or None
        Release of the targets that may run it, since a stream goes on at the
        release that began it; None if any target may.
    catalogue_version : int
        Version of the configuration that the request was read under.
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
    resumes: str = ''
    release: str | None = None
    catalogue_version: int = 0

    @property
    def team_name(self) -> str:
        """Name of the team, empty if there is none."""
        return '' if self.team is None else self.team.name

    @property
    def size(self) -> int:
        """Estimated bytes that the request takes on a link."""
        return HEADER_BYTES + len(self.body)

    @functools.cached_property
    def fingerprint(self) -> str:
        """Digest that is the same if a caller sends the request again."""
        digest = hashlib.blake2b(self.body, digest_size=_DIGEST_BYTES)
        digest.update(self.path.encode())
        digest.update(self.team_name.encode())
        return digest.hexdigest()

    @property
    def takes_up(self) -> bool:
        """Whether its caller has the first events of its stream already."""
        has_events = bool(self.resumes or self.last_event)
        return self.route.resumable and has_events

    def allows_release(self, release: str) -> bool:
        """Return whether targets of a release may run it."""
        return self.release in {None, release}

    @property
    def repeatable(self) -> bool:
        """Whether it may be sent to another target after it may have run."""
        return self.route.repeatable
