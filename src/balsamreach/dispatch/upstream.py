"""Abstract base of what carries a request to a target."""

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from balsamreach.faults import Fault

if TYPE_CHECKING:
    from balsamreach.dispatch.call import Call
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
#: The request's deadline passed.
EXPIRED = UpstreamFault('deadline_passed')
#: The intake wants no more of the answer.
HALTED = UpstreamFault('answer_halted')


#: Takes the status and headers of an answer, names in lower case.
HeadTaker = Callable[[int, dict[str, str]], None]


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
    call: 'Call'
    target: 'Target'


class Intake(abc.ABC):
    """What takes in a target's answer.

    Parameters
    ----------
    sent : bool
        Whether bytes of the request may have left for the target.
    closed : bool
        Whether the attempt is over.
    on_head : callable or None
        Called with the status and headers of an answer to this attempt.
    """

    def __init__(self) -> None:
        self.sent = False
        self.closed = False
        self.on_head: HeadTaker | None = None

    def close(self) -> None:
        """End the attempt for good.

        Whoever waits for a connection still finds out that it may not send.
        Without this, a request could leave after its caller was told that
        it did not run.
        """
        self.closed = True
        self.on_head = None

    def before_send(self) -> bool:
        """Note that the request is about to leave, once.

        Returns
        -------
        bool
            Whether it may leave. HTTP clients send a request again by
            themselves where a reused connection turns out dead; the target
            may have run the first one, so a second time is forbidden.
        """
        if self.sent or self.closed:
            return False
        self.sent = True
        return True

    @property
    def full(self) -> bool:
        """Whether reading is to pause until the callers caught up."""
        return False

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
            NOT_SENT only if ``intake.before_send`` never allowed a byte.

        Notes
        -----
        An implementation calls ``intake.before_send`` each time right before
        the first byte of the request can leave, and sends nothing where that
        returns False. What callers are told about whether their request ran
        rests on this. Cancelling the task closes the connection.
        """
