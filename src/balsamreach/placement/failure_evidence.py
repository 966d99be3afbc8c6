"""What is known of the failures of one target, and by whom it was reported."""

import random

import attrs

from balsamreach.placement.silent_exchanges import TargetExchange

#: What was seen of a target.
REFUSED = 'refused'
TIMED_OUT = 'timed_out'
SILENT = 'silent'
RECOVERED = 'recovered'
_OUTCOMES = frozenset((REFUSED, TIMED_OUT, SILENT, RECOVERED))
#: Precedes the name of a zone that stands for all its targets.
ZONE_PREFIX = 'zone:'

_NEVER = float('-inf')
#: Seconds within which two observations confirm each other. One refused
#: connection is proof enough.
_CONFIRMATION_S = {TIMED_OUT: 1.0, SILENT: 2.0}
_CONFIRMATIONS = 2
#: Seconds for which reports exclude a target at most.
_EXCLUSION_S = 1.0
#: Seconds after which one request may probe. Routers probe at different times,
#: so that most learn from the others whether the target is back.
_PROBE_S = (0.6, 1.0)
#: Seconds after which a refused connection is a probe's, and not one of those
#: that all routers see when a target crashes.
_FRESH_S = 0.3
#: Seconds after an exclusion in which reports alone cause no other one, so
#: that false reports can't exclude a target for longer.
_FREE_S = 1.0
#: The same after a response has shown that the reports were wrong. The target
#: may be cut off from the reporters for as long as a partition lasts.
_REFUTED_S = 5.0


@attrs.frozen
class FailureReport:
    """One observation of a target.

    Parameters
    ----------
    target : str
        Incarnation of the target, or ``zone:NAME``.
    outcome : str
        What was seen.
    source : str
        Incarnation of the router that saw it; for silent exchanges followed
        by a slash and a number that differs between exchanges.
    observed_at : float
        Monotonic seconds of this router at which it was seen, at the latest.
    is_local : bool
        Whether the reporter is in this router's zone, so that a partition
        between zones is not what it saw and this router would not.
    """

    target: str
    outcome: str
    source: str
    observed_at: float
    is_local: bool = False

    @property
    def reporter(self) -> str:
        """Incarnation of the router that saw it."""
        return self.source.partition('/')[0]

    @property
    def has_known_outcome(self) -> bool:
        """Whether this release knows the outcome; newer ones may add some."""
        return self.outcome in _OUTCOMES


@attrs.define(eq=False)
class _Exclusion:
    """The time in which a target gets no requests because of reports."""

    opened_at: float = _NEVER
    probe_at: float = _NEVER
    until: float = _NEVER
    reporter: str = ''
    accusers: set[str] = attrs.field(factory=set)

    def renew(self, report: FailureReport) -> bool:
        """Return whether a probe of another router has confirmed it."""
        if report.outcome != REFUSED or not report.is_local:
            return False
        if report.reporter in self.accusers:
            return False
        # Two routers must have seen it, and each counts once: one whose
        # reports are wrong can't exclude a target for longer than a second.
        self.accusers.add(report.reporter)
        is_fresh = report.observed_at > self.opened_at + _FRESH_S
        return is_fresh and len(self.accusers) >= _CONFIRMATIONS

    def restart(self, now: float, rng: random.Random) -> None:
        """Exclude the target for a second from now on."""
        self.opened_at = now
        self.probe_at = now + rng.uniform(*_PROBE_S)
        self.until = now + _EXCLUSION_S


@attrs.define(eq=False)
class TargetRecord:
    """What is known of one target.

    Parameters
    ----------
    reached_at : float
        Monotonic seconds at which its host last responded to this router.
    recovered_at : float
        Monotonic seconds at which it last worked after a failure.
    own_failure : str
        What this router itself saw since its last success; empty for nothing.
    """

    reached_at: float = _NEVER
    recovered_at: float = _NEVER
    own_failure: str = ''
    _failed_at: float = _NEVER
    _reports_after: float = _NEVER
    _exclusion: _Exclusion | None = None
    _evidence: dict[tuple[str, str], float] = attrs.field(factory=dict)

    @property
    def is_suspected(self) -> bool:
        """Whether it has failed, by reports too, and has not recovered."""
        return bool(self.own_failure or self._exclusion)

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        excluded = self._exclusion
        return excluded is None or now >= excluded.probe_at

    def record_start(self, now: float) -> None:
        """Record that a request is sent, as a probe if it is excluded."""
        excluded = self._exclusion
        if excluded is not None and now >= excluded.probe_at:
            excluded.probe_at = excluded.until

    def record_reached(self, now: float) -> None:
        """Record a response; earlier time-outs and silences count no more."""
        self.reached_at = now
        self._evidence.clear()

    def record_failure(self, outcome: str, source: str, now: float) -> None:
        """Record a failure that this router saw."""
        self.own_failure = outcome
        self._failed_at = now
        _add_newest(self._evidence, (outcome, source), now)

    def has_failed_before(self, exchange: TargetExchange) -> bool:
        """Return whether it failed before an exchange, and not recovered."""
        return self.is_suspected and exchange.started >= self._failed_at

    def record_success(self, now: float) -> None:
        """Record that the target works, as this router has seen."""
        was_wrong = self._exclusion is not None and not self.own_failure
        self.recover(now)
        self.own_failure = ''
        if was_wrong:
            self._reports_after = now + _REFUTED_S

    def recover(self, observed_at: float) -> bool:
        """End the exclusion; return False if a failure is newer."""
        if observed_at < self._failed_at:
            return False
        self.recovered_at = max(self.recovered_at, observed_at)
        # The next failure is a new one.
        if self._exclusion is not None:
            self._exclusion = None
            self._reports_after = _NEVER
        self._evidence.clear()
        return True

    def add_evidence(self, report: FailureReport) -> None:
        """Record an observation that another one may confirm."""
        key = report.outcome, report.source
        _add_newest(self._evidence, key, report.observed_at)

    def is_confirmed(self, outcome: str, now: float) -> bool:
        """Return whether enough sources have seen an outcome."""
        window = _CONFIRMATION_S.get(outcome)
        if window is None:
            return True
        confirmations = sum(
            time >= now - window
            for (seen, _source), time in self._evidence.items()
            if seen == outcome
        )
        return confirmations >= _CONFIRMATIONS

    def exclude(
        self, report: FailureReport, now: float, rng: random.Random
    ) -> bool:
        """Exclude the target for a second because of a report.

        Returns
        -------
        bool
            Whether this report excludes it. Without a failure that this
            router or another one of its zone has seen since, reports exclude
            a target again only after a pause.
        """
        excluded = self._exclusion
        if excluded is not None and excluded.renew(report):
            excluded.restart(now, rng)
        elif self._withholds_from(now):
            return False
        else:
            excluded = _Exclusion(reporter=report.reporter)
            excluded.renew(report)
            excluded.restart(now, rng)
        self._exclusion = excluded
        self._failed_at = max(self._failed_at, report.observed_at)
        self._reports_after = excluded.until + _FREE_S
        return True

    def withdraw(self, reporter: str) -> None:
        """End an exclusion that a reporter caused who can't be believed."""
        if self._exclusion is not None and self._exclusion.reporter == reporter:
            self._exclusion = None

    def _withholds_from(self, now: float) -> bool:
        if self._exclusion is not None and now < self._exclusion.until:
            return True
        return now < self._reports_after and not self.own_failure


def _add_newest(
    evidence: dict[tuple[str, str], float], key: tuple[str, str], time: float
) -> None:
    evidence[key] = max(time, evidence.get(key, _NEVER))
    same = [known for known in evidence if known[0] == key[0]]
    # No more than needed: all routers may report the same target.
    if len(same) > _CONFIRMATIONS:
        evidence.pop(min(same, key=evidence.__getitem__))
