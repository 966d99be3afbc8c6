"""Which requests were at a target when it crashed, and what that says."""

from collections import OrderedDict

import attrs

_MOST_REQUESTS = 10_000
_MOST_CRASHES = 2000
#: Suspicion is forgotten after this many seconds without a new crash.
_MEMORY = 3600.0


@attrs.define(eq=False)
class Suspect:
    """One request's record, known by its fingerprint.

    Parameters
    ----------
    team : str
        Team that sent it.
    crashes : dict of str to str
        Crashes it was present at: target by crash.
    lifted_at : float
        Wall time of an operator's lift; crashes before it do not count.
    quarantined_at : float
        Wall time of the quarantine, 0 if there is none.
    """

    team: str
    crashes: dict[str, str] = attrs.field(factory=dict)
    lifted_at: float = 0
    quarantined_at: float = 0
    seen_at: float = 0

    @property
    def targets(self) -> set[str]:
        """Names of the targets it may have crashed."""
        return set(self.crashes.values())


@attrs.define(eq=False)
class Suspects:
    """Records of all suspects, bounded by number and age.

    Parameters
    ----------
    threshold : int
        Targets after which a request is quarantined.
    """

    threshold: int
    by_print: OrderedDict[str, Suspect] = attrs.field(factory=OrderedDict)
    _present: OrderedDict[str, set[str]] = attrs.field(factory=OrderedDict)

    def blame(
        self,
        fingerprint: str,
        team: str,
        crash: str,
        at: float,
    ) -> bool:
        """Take note that a request was at a target as it crashed.

        Parameters
        ----------
        fingerprint, team : str
            The request.
        crash : str
            ``target@incarnation``: one crash of one target.
        at : float
            Wall time of the crash.

        Returns
        -------
        bool
            False if this was known or lies before a lift.
        """
        suspect = self.by_print.get(fingerprint)
        if suspect is None:
            suspect = Suspect(team)
            self.by_print[fingerprint] = suspect
        if crash in suspect.crashes or at <= suspect.lifted_at:
            return False
        suspect.crashes[crash] = crash.rpartition('@')[0]
        suspect.seen_at = at
        self.by_print.move_to_end(fingerprint)
        self._present.setdefault(crash, set()).add(fingerprint)
        self._judge(fingerprint, suspect, at)
        self._bound(at)
        return True

    def clear(self, fingerprint: str) -> bool:
        """Forget a suspect that has since run to its end; False if none."""
        suspect = self.by_print.get(fingerprint)
        if suspect is None or not suspect.crashes or suspect.quarantined_at:
            return False
        self._forget_crashes(fingerprint, suspect)
        self.by_print.pop(fingerprint)
        return True

    def lift(self, fingerprint: str, at: float) -> bool:
        """End a quarantine by an operator's word; False if that is known.

        The record stays, so that older reports that still travel between
        routers cannot bring the quarantine back.
        """
        suspect = self.by_print.get(fingerprint)
        if suspect is None:
            suspect = Suspect('')
            self.by_print[fingerprint] = suspect
        if suspect.lifted_at >= at:
            return False
        self._forget_crashes(fingerprint, suspect)
        suspect.lifted_at = at
        suspect.seen_at = at
        suspect.quarantined_at = 0
        self._bound(at)
        return True

    def weight(self, fingerprint: str) -> float:
        """Return the suspicion: one for each crash, split among those there.

        Requests that ended well since are no longer among them.
        """
        suspect = self.by_print.get(fingerprint)
        if suspect is None:
            return 0
        crashes = suspect.crashes
        return sum(1 / len(self._present[crash]) for crash in crashes)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not run."""
        suspect = self.by_print.get(fingerprint)
        return suspect is not None and suspect.quarantined_at > 0

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request was at some crash and may be its cause."""
        suspect = self.by_print.get(fingerprint)
        return suspect is not None and bool(suspect.crashes)

    def _judge(self, fingerprint: str, suspect: Suspect, at: float) -> None:
        if len(suspect.targets) < self.threshold:
            return
        alone = self._companions(fingerprint, suspect) == 1
        if alone or self.weight(fingerprint) >= 1:
            suspect.quarantined_at = at

    def _companions(self, fingerprint: str, suspect: Suspect) -> int:
        """Return how many requests were present at all its crashes."""
        sets = [self._present[crash] for crash in suspect.crashes]
        return len(set.intersection(*sets))

    def _forget_crashes(self, fingerprint: str, suspect: Suspect) -> None:
        for crash in suspect.crashes:
            present = self._present.get(crash, set())
            present.discard(fingerprint)
            if not present:
                self._present.pop(crash, None)
        suspect.crashes = {}

    def _bound(self, now: float) -> None:
        while self.by_print:
            oldest = next(iter(self.by_print))
            suspect = self.by_print[oldest]
            crowded = len(self.by_print) > _MOST_REQUESTS
            crowded = crowded or len(self._present) > _MOST_CRASHES
            if not crowded and now - suspect.seen_at < _MEMORY:
                return
            self._forget_crashes(oldest, suspect)
            self.by_print.pop(oldest)
