"""Sends a request to targets until one of them responds."""

import asyncio
from functools import partial

import attrs

from balsamreach.dispatch.upstream import UpstreamFault
from balsamreach.placement.relay_targets import RelayTarget, TargetEntry
from balsamreach.relay import faults
from balsamreach.relay.answer_progress import AnswerProgress
from balsamreach.relay.attempt_history import AttemptHistory
from balsamreach.relay.attempt_parts import RelayAttemptParts
from balsamreach.relay.attempt_results import Verdict, check_end
from balsamreach.relay.attempt_selection import AttemptSelection
from balsamreach.relay.attempt_silence import AttemptSilence
from balsamreach.relay.backups import StreamBackup
from balsamreach.relay.call import RelayCall
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.chooser import InFlight
from balsamreach.relay.delivery import ResponseDelivery
from balsamreach.relay.exchange import Outgoing
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.forwarded_intake import ForwardedIntake
from balsamreach.relay.response_heads import ResponseHeads
from balsamreach.relay.response_intakes import AnswerIntake
from balsamreach.wire.membership import Member


@attrs.define(eq=False)
class RelayAttempts:
    """The attempts of one request.

    Parameters
    ----------
    parts : RelayAttemptParts
        The services that they need.
    request : RelayCall
        The request as it was received.
    caller_response : CallerResponse
        Response to the caller.
    reserved_at : float or None
        Monotonic seconds at which the tokens were reserved, or refused.
    is_retried_elsewhere : bool
        Whether another router forwarded the request, and may send it
        elsewhere.
    selection : AttemptSelection
        Decides where attempts go.
    delivery : ResponseDelivery
        Passes responses on to the caller.
    backup : StreamBackup
        Engine that continues the stream if the first one fails.
    """

    parts: RelayAttemptParts
    request: RelayCall
    caller_response: CallerResponse
    reserved_at: float | None = None
    is_retried_elsewhere: bool = False
    selection: AttemptSelection = attrs.field(init=False)
    delivery: ResponseDelivery = attrs.field(init=False)
    backup: StreamBackup = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts of this request."""
        parts = self.parts
        self.selection = AttemptSelection(
            parts,
            self.request,
            self.caller_response,
            is_retried_elsewhere=self.is_retried_elsewhere,
        )
        traits = parts.chooser.engine_traits(self.call)
        self.delivery = ResponseDelivery(
            codec=parts.codec,
            call=self.call,
            caller_response=self.caller_response,
            link=parts.link,
            clock=parts.clock,
            tokens_per_event=traits.tokens_per_event,
        )
        self.backup = StreamBackup(
            self.call,
            parts.chooser,
            parts.retry_budget,
            parts.backup_tokens,
        )

    @property
    def call(self) -> RelayCall:
        """The request, bound to a release once its caller has events."""
        return self.selection.call

    @property
    def history(self) -> AttemptHistory:
        """What has become of the attempts."""
        return self.selection.history

    async def run(self) -> RelayFault | None:
        """Try one target after the other, as far as retries are allowed.

        Returns
        -------
        RelayFault or None
            Why the request failed; None if the caller has its response.
        """
        self.parts.retry_budget.record_first(self.call.service)
        fault = faults.NO_TARGET.because('no target accepts requests')
        while self.selection.try_limit.allows(self.parts.clock.now()):
            refusal = self.selection.check_quarantine()
            if refusal is not None:
                return refusal
            router = self.selection.choose_router()
            if router is not None:
                ended = await self._forward(router)
            else:
                place = self.selection.choose_target()
                if place is None:
                    return fault
                ended = await self.send_to(place)
            if ended is None:
                return None
            fault = ended
            if not self.selection.may_retry(fault):
                return fault
        return fault

    async def send_to(self, place: RelayTarget) -> RelayFault | None:
        """Make one attempt at a target, continued by its backup engine.

        Parameters
        ----------
        place : RelayTarget
            The target.

        Returns
        -------
        RelayFault or None
            Why the attempt failed; None if the caller has its response.
        """
        self.history.tried.add(place.incarnation)
        self.backup.prepare_attempt(place, self.delivery.last_id)
        progress = AnswerProgress(
            self.parts.clock,
            partial(self.parts.quarantine.record_answer, self.call),
        )
        intake = self.delivery.make_intake(
            partial(self._on_events, place.entry, progress)
        )
        intake.progress = progress
        intake.silence = AttemptSilence(
            gap=self.selection.stream_gap,
            claim_next=self.selection.claim_next,
            is_unreachable=self.selection.is_unreachable,
            # New requests avoid the target, although this one waits for it.
            on_waiting=partial(
                self.parts.chooser.record_failure, place, certain=False
            ),
        )
        in_flight = self.parts.chooser.begin(self.call, place)
        self.parts.link.add(self.call.size, self.call.team_name)
        sent_at = self.parts.clock.now()
        heads = ResponseHeads(self.parts, in_flight, intake, sent_at)
        # A backup engine continues from the copy and processes no prompt.
        heads.is_sample = not self.backup.used
        intake.on_head = heads.record
        try:
            end = await self.parts.exchange.send(
                self._make_outgoing(place), intake
            )
        except asyncio.CancelledError:
            # This attempt gets no verdict, so a probe that is not released
            # would withhold requests from its target for good.
            place.breaker.release_probe()
            self._record_outcome(place, 'cancelled')
            raise
        finally:
            self._end_exchange(in_flight, intake, sent_at)
        end = check_end(intake, end)
        fault = self._finish_attempt(place, intake, end)
        if intake.problem or self.parts.quarantine.check(self.call):
            return fault
        engine = self.backup.take(end, self.delivery.last_id)
        return fault if engine is None else await self.send_to(engine)

    def _on_events(self, entry: TargetEntry, progress: AnswerProgress) -> None:
        progress.record_events()
        failures = self.parts.chooser.failures
        failures.access.record_heard(entry.service)
        self.selection.bind(entry.release)

    def _finish_attempt(
        self,
        place: RelayTarget,
        intake: AnswerIntake,
        end: UpstreamFault | None,
    ) -> RelayFault | None:
        self.selection.try_limit.record(end)
        verdict = self.parts.classifier.classify(self.call, place, intake, end)
        fault = self._deliver(verdict, intake)
        self._record_outcome(place, verdict.description)
        if fault is None or not self.backup.used:
            return fault
        # The first engine ran the request, so a fault of the backup engine
        # must neither permit another attempt nor claim that nothing ran.
        return faults.BROKEN.because(
            f'the stream could not be continued: {verdict.description}'
        )

    def _record_outcome(self, place: RelayTarget, outcome: str) -> None:
        self.history.record_outcome(
            place.incarnation,
            outcome,
            place.entry.release,
            self.delivery.events,
        )

    def _end_exchange(
        self, in_flight: InFlight, intake: AnswerIntake, sent_at: float
    ) -> None:
        intake.close()
        in_flight.end()
        self.history.record_duration(
            self.parts.clock.now() - sent_at, intake.progress.silence
        )
        if not intake.sent:
            return
        self.history.reached_targets.add(in_flight.place.incarnation)
        # If another target has the address, the request didn't reach the
        # intended one, but it still counts as a retry.
        if not intake.misdirected:
            self.history.reached += 1
        if not intake.declined:
            self.history.may_have_run = True

    async def _forward(self, router: Member) -> RelayFault | None:
        intake = self.delivery.make_intake(
            lambda: self.selection.bind(forwarded.release)
        )
        forwarded = ForwardedIntake(intake, self.call.release)
        forwarded.silence = AttemptSilence(
            gap=self.selection.stream_gap,
            claim_next=partial(self.selection.claim_after, forwarded),
        )
        forwarded.may_retry = self.selection.may_follow()
        self.parts.link.add(self.call.size, self.call.team_name)
        sent_at = self.parts.clock.now()
        verdict = Verdict(faults.ABANDONED.because('cancelled'))
        try:
            verdict = await self.parts.forwarder.send(
                router,
                self.call,
                self.delivery.last_event,
                self.history.reached_targets,
                forwarded,
            )
        finally:
            forwarded.record(
                self.history, router.host, verdict, self.delivery.events
            )
            self.history.record_duration(self.parts.clock.now() - sent_at)
        self.selection.try_limit.record(None)
        return self._deliver(verdict, intake)

    def _make_outgoing(self, place: RelayTarget) -> Outgoing:
        time_left = self.call.deadline - self.parts.clock.now()
        headers = self.parts.codec.target_headers(
            self.call,
            place.entry,
            time_left,
            self.delivery.last_event,
            self.backup.copy,
        )
        return Outgoing(
            target=place.entry,
            method=self.call.method,
            path=self.call.path,
            headers=tuple(headers),
            body=self.call.body,
            new_connection=not self.call.repeatable,
            connect_timeout=self.parts.connect_timeout(),
        )

    def _deliver(
        self,
        verdict: Verdict,
        intake: AnswerIntake,
    ) -> RelayFault | None:
        if verdict.fault is not None and self.selection.can_retry():
            return verdict.fault
        return self.delivery.deliver(verdict, intake)
