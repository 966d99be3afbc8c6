"""A request's hold on a target, and how its exchange there ended."""

import enum

import attrs

from balsamreach.clock import Clock
from balsamreach.routing.ask import Ask
from balsamreach.routing.state import TargetState
from balsamreach.targets.registry import Target


class Verdict(enum.Enum):
    """How an exchange with a target ended."""

    #: The request was not sent.
    UNUSED = 'unused'
    #: The exchange ended in order.
    GOOD = 'good'
    #: No connection was made.
    REFUSED = 'refused'
    #: The target said that it did not run the request.
    DECLINED = 'declined'
    #: The target answered with a server error.
    FAILED = 'failed'
    #: The connection broke without an orderly end.
    BROKEN = 'broken'
    #: Nothing came although the connection stood.
    SILENT = 'silent'
    #: It was slow, and a second target answered first.
    OUTRUN = 'outrun'
    #: This router broke it off itself.
    ABANDONED = 'abandoned'


@attrs.define(eq=False)
class Slot:
    """One request's slot at one target.

    Parameters
    ----------
    state : TargetState
        The target.
    ask : Ask
        The request.
    clock : Clock
        Time.
    taken_at, sent_at, first_at : float
        Monotonic seconds of the grant, the sending and the first byte; 0
        for not yet.
    busy : int
        Own requests at the target when it was sent, itself included.
    verdict : Verdict
        How it ended.
    """

    state: TargetState
    ask: Ask
    clock: Clock
    taken_at: float
    sent_at: float = 0
    first_at: float = 0
    busy: int = 0
    incarnation: str = ''
    verdict: Verdict = Verdict.UNUSED

    @property
    def target(self) -> Target:
        """The target in the registry."""
        return self.state.target

    def first_byte_came(self) -> None:
        """Take note of the first byte of the answer."""
        self.first_at = self.clock.now()

    def sent(self, now: float) -> None:
        """Take note that the request is being sent."""
        self.sent_at = now
        self.busy = self.state.held
        self.incarnation = self.target.report.incarnation
        self.verdict = Verdict.ABANDONED
