"""What this router knows of one target's load and health."""

import math
from array import array

import attrs

from balsamreach.routing.adaptive import AdaptiveLimit
from balsamreach.routing.breaker import Breaker
from balsamreach.targets.registry import LoadReport, Target

#: Own requests are remembered in steps of this many seconds, for as long as
#: a report may be under way.
_STEP = 0.05
_REACH = 15.0
#: Age in seconds at which a report has lost most of its worth.
_TRUST = 1.5


@attrs.define(eq=False, weakref_slot=False)
class TargetState:
    """One target as the choice sees it.

    Parameters
    ----------
    target : Target
        The target in the registry.
    held : int
        Slots that requests of this router hold, sent or about to be.
    alone : str
        Fingerprint of the suspect that it is kept free for, if any.
    others : int
        Requests of other routers at the newest report.
    """

    target: Target
    breaker: Breaker
    limit: AdaptiveLimit = attrs.field(factory=AdaptiveLimit)
    held: int = 0
    alone: str = ''
    others: int = 0
    _read: LoadReport | None = None
    # Moments and the slots held since then, in turn: one small array. With
    # pairs of objects every target that was ever used kept 13 KB.
    _past: array | None = None

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.target.name

    def take(self, now: float) -> None:
        """Hold a slot."""
        self._follow_report(now)
        self.held += 1
        self.breaker.begin()
        self._note(now)

    def free(self, now: float) -> None:
        """Give a slot back."""
        self._follow_report(now)
        self.held -= 1
        self._note(now)

    def load(self, now: float) -> float:
        """Return own requests plus those of others at the last report.

        A report is late, and counts this router's requests of that moment.
        They are taken off, so that neither requests sent since the report
        are missed nor those that ended since are counted.
        """
        self._follow_report(now)
        return self.held + self.others

    def likely_load(self, mean_others: float, now: float) -> float:
        """Return the load, trusting an old report less than a new one.

        What others had there some seconds ago has mostly ended by now, and
        other routers have gone where it was quiet. The older the report,
        the more the mean over all targets is the better guess.

        Parameters
        ----------
        mean_others : float
            Others' requests at a target of this weight on average.
        now : float
            Monotonic seconds.
        """
        self._follow_report(now)
        age = now - self.target.report.taken_at
        trust = math.exp(-age / _TRUST)
        return self.held + mean_others + (self.others - mean_others) * trust

    def has_slot(self, now: float) -> bool:
        """Return whether it has room for one more request."""
        self._follow_report(now)
        most = min(self.target.row.concurrency, int(self.limit.limit))
        most = int(most * self.target.warm_share(now))
        return self.held < max(1, most) and self.takes_work(now)

    def takes_work(self, now: float) -> bool:
        """Return whether it is there to be sent requests."""
        target = self.target
        suspended = max(target.suspended_until, target.retry_at) > now
        return not (self.alone or target.leaving or suspended)

    def _follow_report(self, now: float) -> None:
        report = self.target.report
        if report is self._read:
            return
        self._read = report
        reported = report.running + report.queued
        own = self._held_at(report.taken_at)
        self.others = max(0, reported - own)
        self.limit.reported(report, now)

    def _note(self, now: float) -> None:
        past = self._past
        if past is None:
            past = array('d')
            self._past = past
        if past and now - past[-2] < _STEP:
            past[-1] = self.held
            return
        past.extend((now, self.held))
        # Each report is read before the next change at the latest, so what
        # lies farther back is asked for no more; but what held when the
        # reach begins is.
        while len(past) > 2 and past[2] < now - _REACH:
            del past[:2]

    def _held_at(self, moment: float) -> int:
        past = self._past or ()
        for place in range(len(past) - 2, -1, -2):
            if past[place] <= moment:
                return int(past[place + 1])
        return 0
