"""Take in a target's answer: whole, or event by event."""

from collections.abc import Callable

from balsamreach.dispatch.upstream import Intake
from balsamreach.relay.codec import AnswerHead, Codec
from balsamreach.relay.events import EventCutter
from balsamreach.relay.outlet import Outlet

#: Largest plain answer that is held until it is whole. A larger one is
#: refused: its caller could not be protected from half of it.
_LARGEST_PLAIN = 8 << 20
_OK = 200
_MULTIPLE_CHOICES = 300


class AnswerIntake(Intake):
    """What both kinds of answers share.

    Parameters
    ----------
    codec : Codec
        Reads the head.
    request_id : str
        The request that the answer must belong to.
    head : AnswerHead or None
        The head, once it came.
    problem : str
        Why the answer is none; empty while it may be one.
    """

    def __init__(self, codec: Codec, request_id: str) -> None:
        super().__init__()
        self.codec = codec
        self.request_id = request_id
        self.head: AnswerHead | None = None
        self.problem = ''
        self.held = bytearray()

    @property
    def good(self) -> bool:
        """Whether the head promises a success of this request."""
        head = self.head
        return head is not None and _OK <= head.status < _MULTIPLE_CHOICES

    @property
    def foreign(self) -> bool:
        """Whether the answer belongs to another request."""
        head = self.head
        if head is None or not head.request_id:
            return False
        return head.request_id != self.request_id

    @property
    def misdirected(self) -> bool:
        """Whether another target than the one meant has the address."""
        return self.head is not None and self.head.misdirected

    @property
    def declined(self) -> bool:
        """Whether it is certain that the target did not run the request."""
        if self.head is None or self.problem:
            return False
        return self.head.not_run or self.head.misdirected

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Take the head of the answer."""
        head = self.codec.read_answer(status, headers)
        self.head = head
        # An answer to an earlier request may come late on the connection,
        # where this one's is expected. It would be given to a caller whom
        # it doesn't belong to.
        if self.foreign:
            self.problem = 'the answer belongs to another request'
        elif not head.usable:
            self.problem = "the body is not the target's own"
        elif _OK <= status < _MULTIPLE_CHOICES and not head.signed:
            self.problem = 'the target did not sign its answer'
        if self.on_head is not None:
            self.on_head(status, headers)

    def write(self, chunk: bytes) -> None:
        """Hold bytes until the answer is whole."""
        if self.problem:
            return
        self.held += chunk
        if len(self.held) > _LARGEST_PLAIN:
            self.problem = 'the answer is too large'


class StreamIntake(AnswerIntake):
    """Passes a stream on event by event.

    Parameters
    ----------
    outlet : Outlet
        The caller's side.
    cutter : EventCutter
        Keeps the events of all attempts in one order.
    on_events : callable
        Told how many events are passed on, and their bytes.
    """

    def __init__(
        self,
        codec: Codec,
        request_id: str,
        outlet: Outlet,
        cutter: EventCutter,
        on_events: Callable[[int, int], None],
    ) -> None:
        super().__init__(codec, request_id)
        self.outlet = outlet
        self.cutter = cutter
        self.on_events = on_events

    @property
    def full(self) -> bool:
        """Whether reading is to pause until the caller caught up."""
        return self.outlet.full

    def write(self, chunk: bytes) -> None:
        """Pass on the events that are whole now."""
        if not self.good or self.problem or self.closed:
            super().write(chunk)
            return
        events = self.cutter.feed(chunk)
        self.problem = self.cutter.broken
        if not events:
            return
        self._start_outlet()
        piece = b''.join(event.raw for event in events)
        self.on_events(len(events), len(piece))
        self.outlet.write(piece)

    def _start_outlet(self) -> None:
        # One answer keeps the head of its first target also where another
        # one goes on with it.
        if not self.outlet.started:
            self.outlet.start(self.head.status, self.head.headers)
