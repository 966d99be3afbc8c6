"""Records of requests that were at a target when it crashed."""

from collections import OrderedDict

import attrs

_MAX_REQUESTS = 10_000
_MAX_CRASHES = 2000
_MAX_EXPLAINED = 1000
#: Seconds after the last crash at which a record expires.
_RECORD_LIFETIME = 3600.0


@attrs.define(eq=False)
class Suspect:
    """The record of one request, which is identified by its fingerprint.

    Parameters
    ----------
    team : str
        Team that sent the request.
    crashes : dict of str to str
        Crashes it was present at: target by crash id.
    lifted_at : float
        Wall time at which an operator lifted the quarantine; crashes before
        it do not count.
    quarantined_at : float
        Wall time at which the quarantine began, 0 if there is none.
    seen_at : float
        Wall time of the last crash or lift.
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
        Number of crashed targets at which a request is quarantined.
    by_fingerprint : dict of str to Suspect
        Records by fingerprint.
    """

    threshold: int
    by_fingerprint: OrderedDict[str, Suspect] = attrs.field(factory=OrderedDict)
    _present_at: OrderedDict[str, set[str]] = attrs.field(factory=OrderedDict)
    _explained: dict[str, None] = attrs.field(factory=dict)

    def record_crash(
        self,
        fingerprint: str,
        team: str,
        crash: str,
        at: float,
    ) -> bool:
        """Record that a request was at a target when it crashed.

        Parameters
        ----------
        fingerprint, team : str
            The request and its team.
        crash : str
            Crash id, ``target@incarnation``.
        at : float
            Wall time of the crash.

        Returns
        -------
        bool
            False if it was recorded already, happened before a lift, or has
            another cause.
        """
        if crash in self._explained:
            return False
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None:
            suspect = Suspect(team)
            self.by_fingerprint[fingerprint] = suspect
        if crash in suspect.crashes or at <= suspect.lifted_at:
            return False
        suspect.crashes[crash] = crash.rpartition('@')[0]
        suspect.seen_at = at
        self.by_fingerprint.move_to_end(fingerprint)
        self._present_at.setdefault(crash, set()).add(fingerprint)
        self._check_threshold(fingerprint, suspect, at)
        self._evict(at)
        return True

    def clear(self, fingerprint: str) -> bool:
        """Remove a suspect that has since completed; False if there is none."""
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None or not suspect.crashes or suspect.quarantined_at:
            return False
        self._forget_crashes(fingerprint, suspect)
        self.by_fingerprint.pop(fingerprint)
        return True

    def lift(self, fingerprint: str, at: float) -> bool:
        """End a quarantine for an operator; False if that is known already.

        The record is kept, so that older reports still in transit between
        routers can't restore the quarantine.
        """
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None:
            suspect = Suspect('')
            self.by_fingerprint[fingerprint] = suspect
        if suspect.lifted_at >= at:
            return False
        self._forget_crashes(fingerprint, suspect)
        suspect.lifted_at = at
        suspect.seen_at = at
        suspect.quarantined_at = 0
        self._evict(at)
        return True

    def explain(self, crash: str) -> None:
        """Remove a crash that none of the requests present has caused.

        Parameters
        ----------
        crash : str
            Crash id, ``target@incarnation``.
        """
        self._explained[crash] = None
        while len(self._explained) > _MAX_EXPLAINED:
            self._explained.pop(next(iter(self._explained)))
        for fingerprint in self._present_at.pop(crash, ()):
            suspect = self.by_fingerprint[fingerprint]
            suspect.crashes.pop(crash)
            if len(suspect.targets) < self.threshold:
                suspect.quarantined_at = 0
            if not suspect.crashes and not suspect.lifted_at:
                self.by_fingerprint.pop(fingerprint)

    def is_explained(self, crash: str) -> bool:
        """Return whether a crash has another cause than its requests."""
        return crash in self._explained

    def suspicion(self, fingerprint: str) -> float:
        """Return the suspicion: each crash counts as one, split among suspects.

        Requests that have completed since are no longer suspects.
        """
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None:
            return 0
        crashes = suspect.crashes
        return sum(1 / len(self._present_at[crash]) for crash in crashes)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not run."""
        suspect = self.by_fingerprint.get(fingerprint)
        return suspect is not None and suspect.quarantined_at > 0

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request may have caused a crash."""
        suspect = self.by_fingerprint.get(fingerprint)
        return suspect is not None and bool(suspect.crashes)

    def _check_threshold(
        self, fingerprint: str, suspect: Suspect, at: float
    ) -> None:
        if len(suspect.targets) < self.threshold:
            return
        is_only_suspect = self._count_common_suspects(fingerprint, suspect) == 1
        if is_only_suspect or self.suspicion(fingerprint) >= 1:
            suspect.quarantined_at = at

    def _count_common_suspects(self, fingerprint: str, suspect: Suspect) -> int:
        """Return how many suspects were present at all of its crashes."""
        present_sets = [self._present_at[crash] for crash in suspect.crashes]
        return len(set.intersection(*present_sets))

    def _forget_crashes(self, fingerprint: str, suspect: Suspect) -> None:
        for crash in suspect.crashes:
            present = self._present_at.get(crash, set())
            present.discard(fingerprint)
            if not present:
                self._present_at.pop(crash, None)
        suspect.crashes = {}

    def _evict(self, now: float) -> None:
        while self.by_fingerprint:
            oldest = next(iter(self.by_fingerprint))
            suspect = self.by_fingerprint[oldest]
            over_limit = len(self.by_fingerprint) > _MAX_REQUESTS
            over_limit = over_limit or len(self._present_at) > _MAX_CRASHES
            if not over_limit and now - suspect.seen_at < _RECORD_LIFETIME:
                return
            self._forget_crashes(oldest, suspect)
            self.by_fingerprint.pop(oldest)
