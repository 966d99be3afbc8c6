"""Abstract base of what carries a passed-through request to a target."""

import abc

import attrs

from balsamreach.dispatch.upstream import Intake, UpstreamFault
from balsamreach.placement.places import TargetEntry


@attrs.frozen(kw_only=True)
class Outgoing:
    """One attempt as it goes on the wire.

    Parameters
    ----------
    target : TargetEntry
        Where it goes.
    method, path : str
        Request line.
    headers : tuple of (str, str)
        All headers.
    body : bytes
        Body.
    fresh : bool
        Whether it must have a connection of its own: a kept one may have
        been closed by its target, and then nobody knows whether it ran.
    gap : float
        Seconds of silence after which the attempt is given up; 0 for no
        bound.
    """

    target: TargetEntry
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''
    fresh: bool = False
    gap: float = 0


class Exchange(abc.ABC):
    """Sends attempts to targets."""

    @abc.abstractmethod
    async def send(
        self,
        outgoing: Outgoing,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send an attempt and feed the answer to the intake until it ends.

        Returns
        -------
        UpstreamFault or None
            As ``balsamreach.dispatch.upstream.Upstream.send``.
        """
