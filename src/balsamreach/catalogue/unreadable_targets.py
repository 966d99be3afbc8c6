"""Counts and logs entries of targets that can't be read."""

import logging

import attrs

from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics

UNREADABLE = 'balsamreach_target_entries_unreadable_total'

_logger = logging.getLogger(__name__)
#: Entries that are remembered as logged; the oldest are then logged again.
_MAX_LOGGED = 1000
#: Characters of an id that are logged.
_LOGGED_LENGTH = 200


@attrs.define(eq=False)
class UnreadableTargets:
    """Counts all of them, and logs each once until it can be read again.

    A target, or another writer under its id, renews its entry about every
    second, which every router reads.

    Parameters
    ----------
    metrics : Metrics
        Counts the entries.
    origin : str
        Where the entries come from, for the metric: ``store`` or ``peers``.
    """

    metrics: Metrics
    origin: str
    _logged: dict[str, None] = attrs.field(factory=dict)

    def record(self, target_id: str, version: int, source: str = '') -> None:
        """Record an entry that can't be read.

        Parameters
        ----------
        target_id : str
            Key of the entry.
        version : int
            Version of the entry.
        source : str
            Router that sent it; empty for none.
        """
        self.metrics.count(UNREADABLE, origin=self.origin)
        if target_id in self._logged:
            return
        if len(self._logged) >= _MAX_LOGGED:
            self._logged.pop(next(iter(self._logged)))
        self._logged[target_id] = None
        log_event(
            _logger,
            logging.WARNING,
            'target_unreadable',
            source=source or None,
            target=target_id[:_LOGGED_LENGTH],
            row_version=version,
        )

    def forget(self, target_id: str) -> None:
        """Record that an entry was read or removed."""
        self._logged.pop(target_id, None)
