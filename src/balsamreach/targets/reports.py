"""Load reports of targets, and their parsing."""

from collections.abc import Mapping
from typing import Any

import attrs

from balsamreach.targets.faults import ODD_ANSWER, TargetFault


@attrs.frozen
class LoadReport:
    """A target's report of its load, which may be outdated.

    Parameters
    ----------
    running, queued, slots : int
        Running requests, waiting requests, and the maximum number of running
        ones.
    incarnation : str
        Incarnation of the target that reports; empty if it gives none.
    leaving : bool
        Whether the target says that it is leaving.
    valid_at : float
        Monotonic seconds at which the report was valid.
    models : tuple of str
        Models and adapters that it has loaded.
    """

    running: int = 0
    queued: int = 0
    slots: int = 0
    incarnation: str = ''
    leaving: bool = False
    valid_at: float = 0
    models: tuple[str, ...] = ()

    @property
    def busy(self) -> int:
        """Requests at the target, running or waiting."""
        return self.running + self.queued


def read_report(
    body: Any,
    asked_at: float,
) -> LoadReport | TargetFault:
    """Parse the JSON of a report.

    Parameters
    ----------
    body : object
        The decoded body of the target's response.
    asked_at : float
        Monotonic seconds at which the report was requested. With the age
        counted from the request, not from the response, a report never looks
        newer than it is, however long the response took.

    Returns
    -------
    LoadReport or TargetFault
        The report, or ODD_ANSWER if the body is none.
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
            valid_at=asked_at - max(0, float(body.get('age_s', 0))),
            models=tuple(map(str, body.get('models') or ())),
        )
    except (KeyError, TypeError, ValueError) as exc:
        return ODD_ANSWER.because(f'not a load report: {exc!r}')
