"""Interface of the transport that sends requests to targets."""

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from balsamreach.faults import Fault

if TYPE_CHECKING:
    from balsamreach.dispatch.call import Call
    from balsamreach.targets.registry import Target


@attrs.frozen
class UpstreamFault(Fault):
    """Reason why a target's answer is incomplete.

    Parameters
    ----------
    timed_out : bool
        Whether a connection took too long, rather than being refused.
    """

    timed_out: bool = attrs.field(default=False, eq=False)


#: No connection was made, so no byte can have reached the target.
NOT_SENT = UpstreamFault('not_sent')
#: The target reported that it did not run the request.
DECLINED = UpstreamFault('declined')
#: The connection broke after bytes may have reached the target.
BROKEN = UpstreamFault('connection_broken')
#: No data arrived within the gap timeout although the connection is open.
SILENT = UpstreamFault('connection_silent')
#: The target answered with a server error.
FAILED = UpstreamFault('target_failed')
#: The request's deadline passed.
EXPIRED = UpstreamFault('deadline_passed')
#: The intake stopped the answer.
HALTED = UpstreamFault('answer_halted')


#: Called with the status and headers of an answer, header names in lower case.
HeadCallback = Callable[[int, dict[str, str]], None]


@attrs.frozen
class Attempt:
    """One attempt to run a request at one target.

    Parameters
    ----------
    attempt_id : str
        Identifier that the target echoes.
    call : Call
        The request.
    target : Target
        Where it is sent.
    """

    attempt_id: str
    call: 'Call'
    target: 'Target'


class Intake(abc.ABC):
    """Receives a target's answer.

    Parameters
    ----------
    sent : bool
        Whether bytes of the request may have been sent to the target.
    closed : bool
        Whether the attempt is over.
    on_head : callable or None
        Called with the status and headers of an answer to this attempt.
    """

    def __init__(self) -> None:
        self.sent = False
        self.closed = False
        self.on_head: HeadCallback | None = None

    def close(self) -> None:
        """End the attempt permanently.

        If the transport is still waiting for a connection, `may_send` now
        forbids sending. Otherwise the request could be sent after its caller
        was told that it did not run.
        """
        self.closed = True
        self.on_head = None

    def may_send(self) -> bool:
        """Record that the request is about to be sent, once.

        Returns
        -------
        bool
            Whether it may be sent. HTTP clients retry by themselves if a
            reused connection turns out dead; the target may have run the first
            request, so sending again is forbidden.
        """
        if self.sent or self.closed:
            return False
        self.sent = True
        return True

    @property
    def is_full(self) -> bool:
        """Whether to pause reading until callers have caught up."""
        return False

    @abc.abstractmethod
    def start(self, status: int, headers: dict[str, str]) -> None:
        """Receive status and headers, header names in lower case."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> None:
        """Receive the next bytes of the body."""


class Upstream(abc.ABC):
    """Sends requests to targets."""

    @abc.abstractmethod
    async def send(
        self,
        attempt: Attempt,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send a request and pass the answer to the intake until it ends.

        Returns
        -------
        UpstreamFault or None
            None if the HTTP exchange completed, with any status. NOT_SENT only
            if ``intake.may_send`` never returned True.

        Notes
        -----
        An implementation calls ``intake.may_send`` each time right before
        the first byte of the request can be sent, and sends nothing if that
        returns False. Whether callers are told that their request ran depends
        on this. Cancelling the task closes the connection.
        """
