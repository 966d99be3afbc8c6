"""Interface of the transport that sends requests to targets."""

import abc
import enum
from collections.abc import Callable
from typing import TYPE_CHECKING, Self

import attrs

from balsamreach.dispatch.silence import SilencePolicy, SilenceTimeout
from balsamreach.faults import Fault

if TYPE_CHECKING:
    from balsamreach.dispatch.call import Call
    from balsamreach.targets.registry import Target


class ConnectFailure(enum.Enum):
    """Why no connection to a target was made."""

    #: The host responded, but nothing listens at the address.
    REFUSED = 'refused'
    #: The host did not respond in time.
    TIMED_OUT = 'timed_out'
    #: Any other reason, such as a failed TLS handshake.
    OTHER = 'other'


@attrs.frozen
class UpstreamFault(Fault):
    """Reason why a target's answer is incomplete.

    Parameters
    ----------
    closed_by_target : bool
        Whether the target closed or reset the connection, so that it no
        longer works on the request.
    closed_here : bool
        Whether the connection was closed at this end since its bytes were no
        answer. That doesn't show that the target has crashed.
    connect_failure : ConnectFailure or None
        Why there was no connection; None for faults other than NOT_SENT and
        if the transport doesn't tell.
    """

    closed_by_target: bool = attrs.field(default=False, eq=False)
    closed_here: bool = attrs.field(default=False, eq=False)
    connect_failure: ConnectFailure | None = attrs.field(default=None, eq=False)

    def because_of(self, failure: ConnectFailure, reason: str) -> Self:
        """Return a copy with the reason why there was no connection."""
        return attrs.evolve(self, connect_failure=failure, reason=reason)


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
#: The intake found the answer invalid, and the transport closed the connection.
REJECTED = UpstreamFault('answer_rejected')
#: This process had no memory for the rest of an answer that seemed sound.
NO_MEMORY = UpstreamFault('no_memory')


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
    problem : str
        Why the answer is invalid; empty while it is not. The transport then
        closes the connection: the target may still run the request, and its
        own answer would be received in place of the next one's.
    on_head : callable or None
        Called with the status and headers of an answer to this attempt.
    silence : SilencePolicy
        Decides for how long the transport waits without data.
    must_progress : bool
        Whether an answer ends if its bytes make nothing whole for long.
    """

    must_progress = False

    def __init__(self) -> None:
        self.sent = False
        self.closed = False
        self.problem = ''
        self.on_head: HeadCallback | None = None
        self.silence: SilencePolicy = SilenceTimeout()

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

    @property
    def whole_parts(self) -> int | None:
        """Whole events received; None if the body isn't split into any."""
        return None

    @property
    def held_bytes(self) -> int:
        """Bytes of the answer that are held and not passed on yet."""
        return 0

    def discard(self, reason: str) -> None:
        """Free what is held, and receive nothing more.

        Parameters
        ----------
        reason : str
            Why the answer is not received any further.
        """
        self.problem = self.problem or reason

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
            if ``intake.may_send`` never returned True. REJECTED if the intake
            found the answer invalid.

        Notes
        -----
        An implementation calls ``intake.may_send`` each time right before
        the first byte of the request can be sent, and sends nothing if that
        returns False. Whether callers are told that their request ran depends
        on this. After each part of an answer it checks ``intake.problem``.
        Cancelling the task closes the connection.
        """
