"""Abstract base of the client that sends relayed requests to targets."""

import abc

import attrs

from balsamreach.dispatch.upstream import Intake, UpstreamFault
from balsamreach.placement.relay_targets import TargetEntry


@attrs.frozen(kw_only=True)
class Outgoing:
    """One attempt as it is sent to a target.

    Parameters
    ----------
    target : TargetEntry
        Target that it is sent to.
    method, path : str
        Request line.
    headers : tuple of (str, str)
        All headers.
    body : bytes
        Body.
    prefix : bytes
        Bytes that are sent before the body, as a part of it. A joined copy
        would take the memory of the body once more.
    new_connection : bool
        Whether it needs a new connection: a pooled one may have been closed
        by its target, and then it is unknown whether the request ran.
    connect_timeout : float
        Maximum seconds to establish a connection; 0 for the default of the
        exchange.
    """

    target: TargetEntry
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''
    prefix: bytes = b''
    new_connection: bool = False
    connect_timeout: float = 0


class Exchange(abc.ABC):
    """Sends attempts to targets."""

    @abc.abstractmethod
    async def send(
        self,
        outgoing: Outgoing,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send an attempt and pass the response to the intake until it ends.

        Returns
        -------
        UpstreamFault or None
            As ``balsamreach.dispatch.upstream.Upstream.send``.
        """
