"""Sends a request to targets until one of them responds."""

import asyncio
from collections.abc import Callable
from functools import partial

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch.upstream import UpstreamFault
from balsamreach.placement.notices import Notices
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.relay import faults
from balsamreach.relay.attempt_results import AttemptClassifier, Verdict
from balsamreach.relay.backups import StreamBackup
from balsamreach.relay.call import RelayCall
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.chooser import Chooser, InFlight
from balsamreach.relay.codec import Codec
from balsamreach.relay.event_timing import EventTiming
from balsamreach.relay.events import EventSplitter
from balsamreach.relay.exchange import Exchange, Outgoing
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.host_link import CHUNK_OVERHEAD_BYTES, HostLink
from balsamreach.relay.response_intakes import AnswerIntake, StreamIntake
from balsamreach.relay.retry_budget import RelayRetryBudget
from balsamreach.relay.spending import Reservation
from balsamreach.relay.try_limit import TryLimit

_MS = 1000


@attrs.frozen(kw_only=True)
class RelayAttemptParts:
    """The services that all attempts need.

    Parameters
    ----------
    notices : Notices
        Applies the notices in response headers.
    link : HostLink
        Counts the bytes that cross the host's link.
    stream_gap : float
        Seconds of silence after which a stream is aborted.
    backup_tokens : int
        Maximum tokens of a prompt whose stream gets a backup engine; 0 for
        none.
    connect_timeout : callable
        Returns the maximum seconds to connect to a target now; 0 for the
        default of the exchange.
    """

    codec: Codec
    chooser: Chooser
    exchange: Exchange
    retry_budget: RelayRetryBudget
    classifier: AttemptClassifier
    notices: Notices
    clock: Clock
    link: HostLink
    stream_gap: float
    backup_tokens: int = 0
    connect_timeout: Callable[[], float] = float


@attrs.define(eq=False)
class RelayAttempts:
    """The attempts of one request.

    Parameters
    ----------
    parts : RelayAttemptParts
        The services that they need.
    call : RelayCall
        The request.
    caller_response : CallerResponse
        Response to the caller.
    reservation : Reservation
        Tokens that the request has reserved and used.
    reserved_at : float or None
        Monotonic seconds at which the tokens were reserved, or refused.
    may_have_run : bool
        Whether a target may have run the request.
    events : int
        Events that were sent to the caller.
    outcomes : list of str
        Target and outcome of each attempt, for the log.
    durations_ms : list of int
        Milliseconds that each attempt took, in the order of ``outcomes``.
    timing : EventTiming
        Arrival times of the events.
    backup : StreamBackup
        Engine that continues the stream if the first one fails.
    """

    parts: RelayAttemptParts
    call: RelayCall
    caller_response: CallerResponse
    reservation: Reservation = attrs.field(factory=Reservation)
    reserved_at: float | None = None
    may_have_run: bool = False
    events: int = 0
    outcomes: list[str] = attrs.field(factory=list)
    durations_ms: list[int] = attrs.field(factory=list)
    timing: EventTiming = attrs.field(init=False)
    backup: StreamBackup = attrs.field(init=False)
    _splitter: EventSplitter = attrs.field(factory=EventSplitter)
    _tried: set[str] = attrs.field(factory=set)
    _reached: int = 0
    _try_limit: TryLimit = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set the event after which the caller wants the stream to resume."""
        parts = self.parts
        now = parts.clock.now()
        self.timing = EventTiming(now)
        self._try_limit = TryLimit(
            now,
            self.call.route.aim,
            extends_refused=parts.chooser.failures.is_shared(),
        )
        self.backup = StreamBackup(
            self.call,
            parts.chooser,
            parts.retry_budget,
            parts.backup_tokens,
        )
        if self.call.last_event.isdecimal():
            self._splitter.last_id = int(self.call.last_event)

    async def run(self) -> RelayFault | None:
        """Try one target after the other, as far as retries are allowed.

        Returns
        -------
        RelayFault or None
            Why the request failed; None if the caller has its response.
        """
        self.parts.retry_budget.record_first(self.call.service)
        fault = faults.NO_TARGET.because('no target accepts requests')
        while self._try_limit.allows(self.parts.clock.now()):
            place = self.parts.chooser.choose(self.call, self._tried)
            if place is None:
                return fault
            ended = await self._try(place)
            if ended is None:
                return None
            fault = ended
            if not self._may_retry(fault):
                return fault
        return fault

    async def _try(self, place: RelayTarget) -> RelayFault | None:
        self._tried.add(place.incarnation)
        self.backup.prepare_attempt(place, self._splitter.last_id)
        intake = self._make_intake()
        in_flight = self.parts.chooser.begin(self.call, place)
        self.parts.link.add(self.call.size, self.call.team_name)
        sent_at = self.parts.clock.now()
        intake.on_head = partial(self._on_head, in_flight, intake, sent_at)
        try:
            end = await self.parts.exchange.send(
                self._make_outgoing(place), intake
            )
        except asyncio.CancelledError:
            # This attempt gets no verdict, so a probe that is not released
            # would withhold requests from its target for good.
            place.breaker.release_probe()
            self.outcomes.append(f'{place.incarnation} cancelled')
            raise
        finally:
            self._end_exchange(in_flight, intake, sent_at)
        fault = self._finish_attempt(place, intake, end)
        if intake.problem:
            return fault
        engine = self.backup.take(end, self._splitter.last_id)
        return fault if engine is None else await self._try(engine)

    def _on_head(
        self,
        in_flight: InFlight,
        intake: AnswerIntake,
        sent_at: float,
        *_head: object,
    ) -> None:
        place = in_flight.place
        in_flight.head_received()
        # The response of another target doesn't apply to the intended one.
        if intake.for_other_request or intake.misdirected:
            return
        in_flight.record_response(
            is_success=intake.is_success, works=intake.shows_working
        )
        self.parts.notices.apply(place, intake.head.notice)
        if not intake.declined:
            self.parts.notices.record_accepted(place)
        # A response that isn't a stream begins when all of it is generated.
        if not isinstance(intake, StreamIntake) or intake.problem:
            return
        # A backup engine continues from the copy and processes no prompt.
        is_sample = intake.is_success and not self.backup.used
        # The wait for a saturated link is not the engine's.
        if is_sample and not self.parts.classifier.link_delayed():
            self.parts.chooser.engines.record_first_event(
                place,
                in_flight.sent_unread,
                in_flight.sent_queued,
                self.parts.clock.now() - sent_at,
            )

    def _finish_attempt(
        self,
        place: RelayTarget,
        intake: AnswerIntake,
        end: UpstreamFault | None,
    ) -> RelayFault | None:
        self._try_limit.record(end)
        verdict = self.parts.classifier.classify(self.call, place, intake, end)
        fault = self._deliver(verdict, intake)
        outcome = 'answered'
        if verdict.fault is not None:
            outcome = verdict.fault.reason or verdict.fault.code
        self.outcomes.append(f'{place.incarnation} {outcome}')
        if fault is None or not self.backup.used:
            return fault
        # The first engine ran the request, so a fault of the backup engine
        # must neither permit another attempt nor claim that nothing ran.
        return faults.BROKEN.because(
            f'the stream could not be continued: {outcome}'
        )

    def _end_exchange(
        self, in_flight: InFlight, intake: AnswerIntake, sent_at: float
    ) -> None:
        intake.close()
        in_flight.end()
        duration = self.parts.clock.now() - sent_at
        self.durations_ms.append(round(duration * _MS))
        if not intake.sent:
            return
        # If another target has the address, the request didn't reach the
        # intended one, but it still counts as a retry.
        if not intake.misdirected:
            self._reached += 1
        if not intake.declined:
            self.may_have_run = True

    def _make_intake(self) -> AnswerIntake:
        codec, request_id = self.parts.codec, self.call.request_id
        if not self.call.route.streams:
            return AnswerIntake(codec, request_id)
        self._splitter.discard_partial()
        return StreamIntake(
            codec,
            request_id,
            self.caller_response,
            self._splitter,
            self._count_events,
        )

    def _count_events(self, events: int, size: int) -> None:
        # Twice: received from the target and sent to the caller.
        crossing = 2 * (size + CHUNK_OVERHEAD_BYTES)
        self.parts.link.add(crossing, self.call.team_name)
        self.timing.record(self.parts.clock.now())
        self.events += events
        traits = self.parts.chooser.engine_traits(self.call)
        self.reservation.output_tokens += events * traits.tokens_per_event

    def _make_outgoing(self, place: RelayTarget) -> Outgoing:
        time_left = self.call.deadline - self.parts.clock.now()
        last_event = self.call.last_event
        if self._splitter.last_id >= 0:
            last_event = str(self._splitter.last_id)
        headers = self.parts.codec.target_headers(
            self.call,
            place.entry,
            time_left,
            last_event,
            self.backup.copy,
        )
        return Outgoing(
            target=place.entry,
            method=self.call.method,
            path=self.call.path,
            headers=tuple(headers),
            body=self.call.body,
            new_connection=not self.call.repeatable,
            silence_timeout=self.parts.stream_gap
            if self.call.route.streams
            else 0,
            connect_timeout=self.parts.connect_timeout(),
        )

    def _may_retry(self, fault: RelayFault) -> bool:
        if fault == faults.NO_TARGET:
            return True
        if not self._can_retry():
            return False
        return self.parts.retry_budget.allow_retry(self.call.service)

    def _can_retry(self) -> bool:
        if self._reached >= self.call.route.most_targets:
            return False
        if self.may_have_run and not self.call.repeatable:
            return False
        if self.caller_response.started and not self.call.route.resumable:
            return False
        return self.parts.chooser.has_target(self.call, self._tried)

    def _deliver(
        self,
        verdict: Verdict,
        intake: AnswerIntake,
    ) -> RelayFault | None:
        if not verdict.deliverable:
            return verdict.fault
        if verdict.fault is not None and self._can_retry():
            return verdict.fault
        if isinstance(intake, StreamIntake) and intake.is_success:
            return self._finish_stream(intake)
        if self.caller_response.started:
            return faults.BROKEN.because('the stream could not be resumed')
        self.parts.link.add(2 * len(intake.body), self.call.team_name)
        self.caller_response.start(intake.head.status, intake.head.headers)
        self.caller_response.write(bytes(intake.body))
        self.caller_response.finish()
        return None

    def _finish_stream(self, intake: AnswerIntake) -> RelayFault | None:
        if self._splitter.has_partial:
            return faults.BROKEN.because('the stream ended within an event')
        if not self.caller_response.started:
            self.caller_response.start(intake.head.status, intake.head.headers)
        self.caller_response.finish()
        return None
