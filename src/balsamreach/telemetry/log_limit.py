"""Bounds how often log lines of one kind are written."""

import attrs

from balsamreach.clock import Clock


@attrs.define
class LogLimit:
    """Allows one line of each kind in an interval, and counts the others.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    interval : float
        Minimum seconds between two lines of one kind.
    """

    clock: Clock
    interval: float
    _logged_at: dict[str, float] = attrs.field(factory=dict)
    _omitted: dict[str, int] = attrs.field(factory=dict)

    def take(self, kind: str) -> int | None:
        """Return whether a line may be written now, and count it if not.

        Parameters
        ----------
        kind : str
            What the line is about.

        Returns
        -------
        int or None
            Lines omitted since the last one; None if this one is omitted.
        """
        now = self.clock.now()
        logged_at = self._logged_at.get(kind, float('-inf'))
        if now - logged_at < self.interval:
            self._omitted[kind] = self._omitted.get(kind, 0) + 1
            return None
        self._logged_at[kind] = now
        return self._omitted.pop(kind, 0)
