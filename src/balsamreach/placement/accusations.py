"""Counts the targets that each reporter accuses of failures."""

from collections.abc import Container

import attrs

from balsamreach.placement.failure_evidence import FailureReport

_NEVER = float('-inf')
#: Seconds for which a reporter's accusations are counted.
_ACCUSATION_S = 1.0
#: Targets of a service of which one reporter can accuse one: a third.
_TARGETS_PER_ACCUSATION = 3


@attrs.frozen
class Accused:
    """The targets of a service that a reporter has accused of late."""

    targets: frozenset[str]
    is_credible: bool


@attrs.define
class Accusations:
    """Counts the targets that each reporter accuses.

    A router that is itself cut off sees all targets fail.
    """

    _times: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _forget_at: float = _NEVER

    def add(
        self,
        report: FailureReport,
        service: Container[str],
        size: int,
        now: float,
    ) -> Accused:
        """Add a report, and return what its reporter says of the service.

        Parameters
        ----------
        report : FailureReport
            The report.
        service : container of str
            Incarnations of all targets of the service.
        size : int
            Number of these targets.
        now : float
            Monotonic seconds.
        """
        oldest = now - _ACCUSATION_S
        # Not at each report: while a zone is cut off, there are as many
        # reporters as routers.
        if now >= self._forget_at:
            self._forget_at = now + _ACCUSATION_S
            self._forget_reporters(oldest)
        times = self._times.setdefault(report.reporter, {})
        times[report.target] = now
        _drop_older(times, oldest)
        targets = frozenset(target for target in times if target in service)
        # In a small service one target may be more than a third of it.
        limit = max(1, size // _TARGETS_PER_ACCUSATION)
        return Accused(targets, len(targets) <= limit)

    def _forget_reporters(self, oldest: float) -> None:
        for reporter, times in tuple(self._times.items()):
            _drop_older(times, oldest)
            if not times:
                self._times.pop(reporter)


def _drop_older(times: dict[str, float], oldest: float) -> None:
    for target, time in tuple(times.items()):
        if time < oldest:
            times.pop(target)
