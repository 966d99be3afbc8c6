"""Receive a target's response, either as a whole or event by event."""

from collections.abc import Callable

from balsamreach.dispatch.upstream import Intake
from balsamreach.memory.answers import LARGEST_BYTES
from balsamreach.relay.answer_progress import AnswerProgress
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.codec import AnswerHead, Codec
from balsamreach.relay.events import EventSplitter

#: Events of a stream without a length that show that its target was not
#: crashed by it: that happens as the target begins to answer.
_PROOF_EVENTS = 2
_OK = 200
_MULTIPLE_CHOICES = 300
_SERVER_ERROR = 500
_NO_CONTENT = 204


class AnswerIntake(Intake):
    """Buffers a plain response until it is complete.

    Parameters
    ----------
    codec : Codec
        Parses the headers.
    request_id : str
        Id of the request that the response must belong to.
    head : AnswerHead or None
        Status and headers, once they are received.
    length : str or None
        The length that the headers announce, in bytes.
    body : bytearray
        The bytes received so far, unless they were forwarded.
    is_delimited : bool
        Whether the headers say where the body ends; otherwise it ends with
        its connection.
    expects_body : bool
        Whether a response to this request can have a body.
    progress : AnswerProgress or None
        For how long the target has written events; None if another router
        receives the response of the target.
    """

    # What a target sends is made whole before.
    must_progress = True

    def __init__(self, codec: Codec, request_id: str) -> None:
        super().__init__()
        self.codec = codec
        self.request_id = request_id
        self.head: AnswerHead | None = None
        self.length: str | None = None
        self.body = bytearray()
        self.is_delimited = True
        self.expects_body = True
        self._has_own_head = False
        self.progress: AnswerProgress | None = None

    @property
    def is_success(self) -> bool:
        """Whether the status is a success."""
        head = self.head
        return head is not None and _OK <= head.status < _MULTIPLE_CHOICES

    @property
    def shows_working(self) -> bool:
        """Whether the target is up: its own response, and no error of it."""
        if self.head is None or self.problem:
            return False
        return self.head.status < _SERVER_ERROR or self.declined

    @property
    def for_other_request(self) -> bool:
        """Whether the response belongs to another request."""
        head = self.head
        if head is None or not head.request_id:
            return False
        return head.request_id != self.request_id

    @property
    def misdirected(self) -> bool:
        """Whether the address belongs to another target."""
        return self.head is not None and self.head.misdirected

    @property
    def is_cut(self) -> bool:
        """Whether it has ended, and is taken to be incomplete."""
        # A target that has an empty body says so by a length of 0. One that
        # crashes between its head and its body ends the connection there.
        return self._lacks_length and not self.body

    @property
    def shows_end(self) -> bool:
        """Whether an end in order shows that the target did not crash."""
        return self.is_delimited or bool(self.body)

    @property
    def declined(self) -> bool:
        """Whether it is certain that the target did not run the request."""
        # The head is a promise, also if the body behind it has no end.
        if self.head is None or not self._has_own_head:
            return False
        return self.head.not_run or self.head.misdirected

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Receive the status and headers of the response."""
        head = self.codec.read_answer(status, headers)
        self.head = head
        self.length = headers.get('content-length')
        is_chunked = 'transfer-encoding' in headers
        self.is_delimited = is_chunked or self.length is not None
        # A late response to an earlier request may arrive on the connection
        # in place of this one's. Forwarded, it would reach the wrong caller.
        if self.for_other_request:
            self.problem = 'the answer belongs to another request'
        elif not head.usable:
            self.problem = "the body is not the target's own"
        elif _OK <= status < _MULTIPLE_CHOICES and not head.signed:
            self.problem = 'the target did not sign its answer'
        self._has_own_head = not self.problem
        if self.on_head is not None:
            self.on_head(status, headers)

    def write(self, chunk: bytes) -> None:
        """Buffer bytes until the response is complete."""
        if self.problem:
            return
        self.body += chunk
        # It is held until it is complete. If a larger one were passed on while
        # it is received, its caller could get a part of it.
        if len(self.body) > LARGEST_BYTES:
            self.discard('the answer is too large')

    @property
    def held_bytes(self) -> int:
        """Bytes of a plain response, which is held until it is complete."""
        return len(self.body)

    def discard(self, reason: str) -> None:
        """Free the body."""
        super().discard(reason)
        self.body = bytearray()

    @property
    def _lacks_length(self) -> bool:
        # Only the end of the connection shows where such a body ends.
        if self.is_delimited or not self.is_success:
            return False
        return self.expects_body and self.head.status != _NO_CONTENT


class StreamIntake(AnswerIntake):
    """Forwards a stream event by event.

    Parameters
    ----------
    caller_response : CallerResponse
        Response to the caller.
    splitter : EventSplitter
        Splits the stream; shared by all attempts of the request.
    on_events : callable
        Called with the number of forwarded events and their bytes.
    events : int
        Events forwarded.
    """

    def __init__(
        self,
        codec: Codec,
        request_id: str,
        caller_response: CallerResponse,
        splitter: EventSplitter,
        on_events: Callable[[int, int], None],
    ) -> None:
        super().__init__(codec, request_id)
        self.caller_response = caller_response
        self.splitter = splitter
        self.on_events = on_events
        self.events = 0

    @property
    def is_cut(self) -> bool:
        """Whether its connection ended within an event or before the first."""
        if not self._lacks_length:
            return False
        has_events = self.events > 0 or self.splitter.last_id >= 0
        return self.splitter.has_partial or not has_events

    @property
    def shows_end(self) -> bool:
        """Whether an end in order shows that the target did not crash."""
        return self.is_delimited or self.events >= _PROOF_EVENTS

    @property
    def is_full(self) -> bool:
        """Whether reading should pause until the caller has caught up."""
        return self.caller_response.should_pause

    @property
    def whole_parts(self) -> int | None:
        """Events forwarded; None if the response is no stream."""
        return self.events if self.is_success else None

    @property
    def held_bytes(self) -> int:
        """Bytes of an event that is not complete, or of an error."""
        return len(self.body) + self.splitter.partial_bytes

    def discard(self, reason: str) -> None:
        """Free the incomplete event, or the error."""
        super().discard(reason)
        self.splitter.begin_attempt()

    def write(self, chunk: bytes) -> None:
        """Forward the events that are complete now."""
        if not self.is_success or self.problem or self.closed:
            super().write(chunk)
            return
        events = self.splitter.feed(chunk)
        self.problem = self.splitter.error
        if not events:
            return
        self._start_caller_response()
        self.events += len(events)
        chunk = b''.join(event.raw for event in events)
        self.on_events(len(events), len(chunk))
        self.caller_response.write(chunk)

    def _start_caller_response(self) -> None:
        # A response keeps the headers of its first target even if another
        # target resumes it.
        if not self.caller_response.started:
            self.caller_response.start(self.head.status, self.head.headers)
