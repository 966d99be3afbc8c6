"""One router's view of the load and health of a target."""

import math
from array import array

import attrs

from balsamreach.routing.adaptive import AdaptiveLimit
from balsamreach.routing.breaker import Breaker
from balsamreach.targets.registry import LoadReport, Target

#: The number of own requests is recorded in steps of ``_HISTORY_STEP`` seconds
#: for ``_HISTORY_SPAN`` seconds, as long as a report may be under way.
_HISTORY_STEP = 0.05
_HISTORY_SPAN = 15.0
#: Seconds in which the weight of a load report falls to 1/e.
_REPORT_TIME_CONSTANT = 1.5


@attrs.define(eq=False, weakref_slot=False)
class TargetState:
    """Load and health of one target, as used by the choice.

    Parameters
    ----------
    target : Target
        The target's entry in the registry.
    breaker : Breaker
        Circuit breaker of the target.
    limit : AdaptiveLimit
        Limit on own requests at the target.
    slots_held : int
        Slots held by requests of this router, sent or about to be sent.
    reserved_for : str
        Fingerprint of the suspect that the target is reserved for, or empty.
    other_requests : int
        Requests of other routers at the time of the newest report.
    """

    target: Target
    breaker: Breaker
    limit: AdaptiveLimit = attrs.field(factory=AdaptiveLimit)
    slots_held: int = 0
    reserved_for: str = ''
    other_requests: int = 0
    _last_report: LoadReport | None = None
    # Times and the number of slots held since then, alternating in one array.
    # As pairs of objects, each target that was ever used took 13 KB.
    _held_history: array | None = None

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.target.name

    def take_slot(self, now: float) -> None:
        """Take a slot."""
        self._apply_report(now)
        self.slots_held += 1
        self.breaker.record_start()
        self._record_held(now)

    def release_slot(self, now: float) -> None:
        """Release a slot."""
        self._apply_report(now)
        self.slots_held -= 1
        self._record_held(now)

    def load(self, now: float) -> float:
        """Return own requests plus those of others at the newest report.

        A report arrives late and includes this router's requests at the time
        it was taken. They are subtracted, so that requests sent since are
        counted and requests that have ended since are not.
        """
        self._apply_report(now)
        return self.slots_held + self.other_requests

    def estimated_load(self, mean_others: float, now: float) -> float:
        """Return the estimated load, giving old reports less weight.

        Most requests that other routers had there some seconds ago have ended,
        and those routers have sent new ones to idle targets. The older the
        report, the better the mean over all targets is as an estimate.

        Parameters
        ----------
        mean_others : float
            Mean number of other routers' requests at a target of this weight.
        now : float
            Monotonic seconds.
        """
        self._apply_report(now)
        age = now - self.target.report.valid_at
        weight = math.exp(-age / _REPORT_TIME_CONSTANT)
        return (
            self.slots_held
            + mean_others
            + (self.other_requests - mean_others) * weight
        )

    def has_slot(self, now: float) -> bool:
        """Return whether there is room for one more request."""
        self._apply_report(now)
        capacity = min(self.target.row.concurrency, int(self.limit.limit))
        capacity = int(capacity * self.target.warm_share(now))
        return self.slots_held < max(1, capacity) and self.accepts_requests(now)

    def accepts_requests(self, now: float) -> bool:
        """Return whether the target may be sent requests at all."""
        target = self.target
        suspended = max(target.suspended_until, target.retry_at) > now
        return not (self.reserved_for or target.leaving or suspended)

    def _apply_report(self, now: float) -> None:
        report = self.target.report
        if report is self._last_report:
            return
        self._last_report = report
        reported = report.running + report.queued
        own = self._held_at(report.valid_at)
        self.other_requests = max(0, reported - own)
        self.limit.apply_report(report, now)

    def _record_held(self, now: float) -> None:
        history = self._held_history
        if history is None:
            history = array('d')
            self._held_history = history
        if history and now - history[-2] < _HISTORY_STEP:
            history[-1] = self.slots_held
            return
        history.extend((now, self.slots_held))
        # A report is applied before the next change at the latest, so older
        # entries are not needed. The entry in force at the start of the span
        # is kept.
        while len(history) > 2 and history[2] < now - _HISTORY_SPAN:
            del history[:2]

    def _held_at(self, moment: float) -> int:
        history = self._held_history or ()
        for index in range(len(history) - 2, -1, -2):
            if history[index] <= moment:
                return int(history[index + 1])
        return 0
