"""A target's own report of its load, and how it is read."""

from collections.abc import Mapping
from typing import Any

import attrs

from balsamreach.targets.faults import ODD_ANSWER, TargetFault


@attrs.frozen
class LoadReport:
    """A target's own lagging report.

    Parameters
    ----------
    running, queued, slots : int
        Requests running, waiting, and able to run at once.
    incarnation : str
        The target's start that reports.
    leaving : bool
        Whether the target says that it is leaving.
    taken_at : float
        Monotonic seconds at which the report held true.
    models : tuple of str
        Models and adapters that it has loaded.
    """

    running: int = 0
    queued: int = 0
    slots: int = 0
    incarnation: str = ''
    leaving: bool = False
    taken_at: float = 0
    models: tuple[str, ...] = ()

    @property
    def busy(self) -> int:
        """Requests that the target has, running or waiting."""
        return self.running + self.queued


def read_report(
    body: Any,
    asked_at: float,
) -> LoadReport | TargetFault:
    """Read the JSON of a report.

    Parameters
    ----------
    body : object
        What the target answered, read from JSON.
    asked_at : float
        Monotonic seconds at which it was asked. Counting the age from
        there, not from the answer, never makes a report look newer than
        it is, however long the answer took.

    Returns
    -------
    LoadReport or TargetFault
        The report, or ODD_ANSWER.
    """
    if not isinstance(body, Mapping):
        return ODD_ANSWER.because('not a JSON object')
    try:
        return LoadReport(
            running=max(0, int(body['running'])),
            queued=max(0, int(body.get('queued', 0))),
            slots=max(0, int(body.get('slots', 0))),
            incarnation=str(body.get('incarnation', '')),
            leaving=bool(body.get('leaving', False)),
            taken_at=asked_at - max(0, float(body.get('age_s', 0))),
            models=tuple(map(str, body.get('models') or ())),
        )
    except (KeyError, TypeError, ValueError) as exc:
        return ODD_ANSWER.because(f'not a load report: {exc!r}')
