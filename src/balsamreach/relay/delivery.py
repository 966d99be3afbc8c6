"""Passes the responses of targets on to the caller of one request."""

from collections.abc import Callable
from functools import partial
from http import HTTPStatus

import attrs

from balsamreach.clock import Clock
from balsamreach.relay import faults
from balsamreach.relay.attempt_results import Verdict
from balsamreach.relay.call import RelayCall
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.codec import Codec, HeaderList
from balsamreach.relay.event_timing import EventTiming
from balsamreach.relay.events import EventSplitter
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.host_link import CHUNK_OVERHEAD_BYTES, HostLink
from balsamreach.relay.response_intakes import AnswerIntake, StreamIntake
from balsamreach.relay.spending import Reservation

#: Method whose responses have no body, whatever their headers say.
_HEAD = 'HEAD'
_LENGTH = 'Content-Length'


def _ignore() -> None:
    """Do nothing."""


@attrs.define(eq=False, kw_only=True)
class ResponseDelivery:
    """The response to one caller, put together from one or more attempts.

    Parameters
    ----------
    codec : Codec
        Parses the responses.
    call : RelayCall
        The request.
    caller_response : CallerResponse
        Response to the caller.
    link : HostLink
        Counts the bytes that cross the host's link.
    clock : Clock
        Source of the current time.
    tokens_per_event : int
        Tokens that are charged for an event.
    reservation : Reservation
        Tokens that the request has reserved and used.
    events : int
        Events that were sent to the caller.
    timing : EventTiming
        Arrival times of the events.
    """

    codec: Codec
    call: RelayCall
    caller_response: CallerResponse
    link: HostLink
    clock: Clock
    tokens_per_event: int
    reservation: Reservation = attrs.field(factory=Reservation)
    events: int = 0
    timing: EventTiming = attrs.field(init=False)
    _splitter: EventSplitter = attrs.field(factory=EventSplitter)

    def __attrs_post_init__(self) -> None:
        """Set the event after which the caller wants the stream to resume."""
        self.timing = EventTiming(self.clock.now())
        if self.call.last_event.isdecimal():
            self._splitter.last_id = int(self.call.last_event)

    @property
    def last_id(self) -> int:
        """Id of the last event that the caller has, -1 for none."""
        return self._splitter.last_id

    @property
    def last_event(self) -> str:
        """Id of the event after which the next attempt goes on."""
        return str(self.last_id) if self.last_id >= 0 else self.call.last_event

    def make_intake(
        self, on_heard: Callable[[], None] = _ignore
    ) -> AnswerIntake:
        """Return what receives the response of the next attempt.

        Parameters
        ----------
        on_heard : callable
            Called when events arrive.
        """
        intake = self._make_intake(on_heard)
        intake.expects_body = self.call.method != _HEAD
        return intake

    def deliver(
        self, verdict: Verdict, intake: AnswerIntake
    ) -> RelayFault | None:
        """Send the caller what it does not have yet of a response.

        Parameters
        ----------
        verdict : Verdict
            Result of the attempt.
        intake : AnswerIntake
            The response.

        Returns
        -------
        RelayFault or None
            Why the caller does not have its response; None if it does.
        """
        if not verdict.deliverable:
            return verdict.fault
        if isinstance(intake, StreamIntake) and intake.is_success:
            return self._finish_stream(intake)
        if self.caller_response.started:
            return faults.BROKEN.because('the stream could not be resumed')
        self.link.add(2 * len(intake.body), self.call.team_name)
        self.caller_response.start(
            intake.head.status, self._plain_headers(intake)
        )
        self.caller_response.write(bytes(intake.body))
        self.caller_response.finish()
        return None

    def _plain_headers(self, intake: AnswerIntake) -> HeaderList:
        """Return the headers of a whole response, with its length."""
        status, headers = intake.head.status, intake.head.headers
        length: str | None = str(len(intake.body))
        # The length that the target announces is that of a body which another
        # request would get.
        if self.call.method == _HEAD or status == HTTPStatus.NOT_MODIFIED:
            length = intake.length
        if length is None or status == HTTPStatus.NO_CONTENT:
            return headers
        return (*headers, (_LENGTH, length))

    def _make_intake(self, on_heard: Callable[[], None]) -> AnswerIntake:
        if not self.call.route.streams:
            return AnswerIntake(self.codec, self.call.request_id)
        self._splitter.begin_attempt()
        return StreamIntake(
            self.codec,
            self.call.request_id,
            self.caller_response,
            self._splitter,
            partial(self._count_events, on_heard),
        )

    def _count_events(
        self, on_heard: Callable[[], None], events: int, size: int
    ) -> None:
        on_heard()
        # Twice: received from the target and sent to the caller.
        crossing = 2 * (size + CHUNK_OVERHEAD_BYTES)
        self.link.add(crossing, self.call.team_name)
        self.timing.record(self.clock.now())
        self.events += events
        self.reservation.output_tokens += events * self.tokens_per_event

    def _finish_stream(self, intake: AnswerIntake) -> RelayFault | None:
        if self._splitter.has_partial:
            return faults.BROKEN.because('the stream ended within an event')
        if not self.caller_response.started:
            self.caller_response.start(intake.head.status, intake.head.headers)
        self.caller_response.finish()
        return None
