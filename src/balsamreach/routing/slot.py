"""A request's slot at a target, and the outcome of the exchange there."""

import enum

import attrs

from balsamreach.clock import Clock
from balsamreach.routing.slot_request import SlotRequest
from balsamreach.routing.state import TargetState
from balsamreach.targets.registry import Target


class Verdict(enum.Enum):
    """Outcome of an exchange with a target."""

    #: The request was not sent.
    UNUSED = 'unused'
    #: The exchange completed normally.
    GOOD = 'good'
    #: The connection could not be established.
    REFUSED = 'refused'
    #: The target reported that it did not run the request.
    DECLINED = 'declined'
    #: The target answered with a server error.
    FAILED = 'failed'
    #: The connection broke before the answer was complete.
    BROKEN = 'broken'
    #: The target sent nothing although the connection was up.
    SILENT = 'silent'
    #: A hedge at another target answered first.
    OUTRUN = 'outrun'
    #: This router cancelled the exchange.
    ABANDONED = 'abandoned'


@attrs.define(eq=False)
class Slot:
    """One request's slot at one target.

    Parameters
    ----------
    state : TargetState
        State of the target.
    ask : SlotRequest
        The request.
    clock : Clock
        Clock of the router.
    taken_at, sent_at, first_at : float
        Monotonic seconds at which the slot was taken, the request was sent
        and the first byte arrived; 0 if that has not happened.
    in_progress : int
        Slots of this router at the target when the request was sent,
        including this one.
    incarnation : str
        Incarnation of the target when the request was sent.
    verdict : Verdict
        Outcome of the exchange.
    """

    state: TargetState
    ask: SlotRequest
    clock: Clock
    taken_at: float
    sent_at: float = 0
    first_byte_at: float = 0
    in_progress: int = 0
    incarnation: str = ''
    verdict: Verdict = Verdict.UNUSED

    @property
    def target(self) -> Target:
        """The target's entry in the registry."""
        return self.state.target

    def record_first_byte(self) -> None:
        """Record the arrival of the first byte of the answer."""
        self.first_byte_at = self.clock.now()

    def mark_sent(self, now: float) -> None:
        """Record that the request is being sent."""
        self.sent_at = now
        self.in_progress = self.state.slots_held
        self.incarnation = self.target.report.incarnation
        self.verdict = Verdict.ABANDONED
