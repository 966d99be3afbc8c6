"""Records what the status and headers of a response show about its target."""

import attrs

from balsamreach.relay.attempt_parts import RelayAttemptParts
from balsamreach.relay.chooser import InFlight
from balsamreach.relay.response_intakes import AnswerIntake, StreamIntake


@attrs.define(eq=False)
class ResponseHeads:
    """The head of the response to one attempt.

    Parameters
    ----------
    parts : RelayAttemptParts
        The services that keep what is recorded.
    in_flight : InFlight
        The attempt.
    intake : AnswerIntake
        The response.
    sent_at : float
        Monotonic seconds at which the attempt began.
    is_sample : bool
        Whether the time to the first event shows the engine's speed.
    """

    parts: RelayAttemptParts
    in_flight: InFlight
    intake: AnswerIntake
    sent_at: float
    is_sample: bool = True

    def record(self, *_head: object) -> None:
        """Record the head, as soon as it is received."""
        intake, place = self.intake, self.in_flight.place
        self.in_flight.head_received()
        intake.progress.record_head()
        # The response of another target doesn't apply to the intended one.
        if intake.for_other_request or intake.misdirected:
            return
        self.in_flight.record_response(
            is_success=intake.is_success, works=intake.shows_working
        )
        notices = self.parts.notices
        notices.apply(place, intake.head.notice)
        if intake.declined:
            notices.record_rejected(place, intake.head.notice)
        else:
            notices.record_accepted(place)
        self._record_speed()

    def _record_speed(self) -> None:
        intake = self.intake
        # A response that isn't a stream begins when all of it is generated.
        if not isinstance(intake, StreamIntake) or intake.problem:
            return
        if not intake.is_success or not self.is_sample:
            return
        # The wait for a saturated link is not the engine's.
        if not self.parts.classifier.link_delayed():
            self.parts.chooser.engines.record_first_event(
                self.in_flight.place,
                self.in_flight.sent_unread,
                self.in_flight.sent_queued,
                self.parts.clock.now() - self.sent_at,
            )
