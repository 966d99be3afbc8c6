"""Abstract base of what carries a request to a target."""

import abc

import attrs

from balsamreach.dispatch.call import Call
from balsamreach.faults import Fault
from balsamreach.targets.registry import Target


class UpstreamFault(Fault):
    """A reason why a target's answer did not come whole."""


#: No connection was made: no byte can have reached the target.
NOT_SENT = UpstreamFault('not_sent')
#: The target said itself that it did not run the request.
DECLINED = UpstreamFault('declined')
#: The connection broke after bytes may have reached the target.
BROKEN = UpstreamFault('connection_broken')
#: Nothing came for the gap timeout although the connection stands.
SILENT = UpstreamFault('connection_silent')
#: The target answered with a server error.
FAILED = UpstreamFault('target_failed')


@attrs.frozen
class Attempt:
    """One try of a request at one target.

    Parameters
    ----------
    attempt_id : str
        Identity that the target echoes.
    call : Call
        The request.
    target : Target
        Where it is sent.
    """

    attempt_id: str
    call: Call
    target: Target


class Intake(abc.ABC):
    """What takes in a target's answer."""

    @abc.abstractmethod
    def start(self, status: int, headers: dict[str, str]) -> None:
        """Take the head of the answer, header names in lower case."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> None:
        """Take the next bytes of the body."""


class Upstream(abc.ABC):
    """Sends requests to targets."""

    @abc.abstractmethod
    async def send(
        self,
        attempt: Attempt,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send a request and feed the answer to the intake until it ends.

        Returns
        -------
        UpstreamFault or None
            None if the HTTP exchange ended in order, with any status.

        Notes
        -----
        Cancelling the task closes the connection to the target.
        """
