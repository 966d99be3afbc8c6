"""The releases that the targets of each service run, now and of late."""

from collections.abc import Callable

import attrs

from balsamreach.clock import Clock, SystemClock

#: Releases of a service that are remembered after their last target has gone.
_MAX_RELEASES = 50


@attrs.define
class _Release:
    """One release of a service.

    Parameters
    ----------
    targets : int
        Targets in the list that run it.
    gone_at : float
        Monotonic seconds at which the last one was removed.
    """

    targets: int = 0
    gone_at: float = 0

    @property
    def age_order(self) -> tuple[bool, float]:
        """Sort key; releases without targets come first, the oldest of all."""
        return self.targets > 0, self.gone_at


def _never() -> bool:
    return False


@attrs.define(eq=False)
class ServiceReleases:
    """Tells services of one release from those that have run several.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    is_current : callable
        Returns whether the list of targets is up to date now.
    changes : int
        How often a release has appeared at a service.
    """

    clock: Clock = attrs.field(factory=SystemClock)
    is_current: Callable[[], bool] = _never
    changes: int = 0
    _services: dict[str, dict[str, _Release]] = attrs.field(factory=dict)
    _first_at: dict[str, float] = attrs.field(factory=dict)

    def add(self, service: str, release: str) -> None:
        """Record a target that is new in the list."""
        self._first_at.setdefault(service, self.clock.now())
        releases = self._services.setdefault(service, {})
        known = releases.setdefault(release, _Release())
        known.targets += 1
        self.changes += known.targets == 1
        if len(releases) > _MAX_RELEASES:
            releases.pop(min(releases, key=lambda one: releases[one].age_order))

    def remove(self, service: str, release: str) -> None:
        """Record that a target was removed from the list."""
        known = self._services[service].get(release)
        if known is not None:
            known.targets -= 1
            known.gone_at = self.clock.now()

    def seen(self, service: str, within: float) -> tuple[str, ...]:
        """Return the releases of targets listed in the last seconds.

        Parameters
        ----------
        service : str
            The service.
        within : float
            Seconds to look back.
        """
        since = self.clock.now() - within
        return tuple(
            release
            for release, known in self._services.get(service, {}).items()
            if known.targets > 0 or known.gone_at >= since
        )

    def followed_for(self, service: str) -> float | None:
        """Return the seconds since a target of a service was first listed.

        None if this router has never seen one.
        """
        first_at = self._first_at.get(service)
        return None if first_at is None else self.clock.now() - first_at

    def is_mixed(self, service: str, within: float) -> bool:
        """Return whether a service had several releases in that time."""
        return len(self.seen(service, within)) > 1

    def only_release(self, service: str, within: float) -> str | None:
        """Return the only release that a service can have had in that time.

        Returns
        -------
        str or None
            None if there were several, or if this router can't rule it out:
            it has followed the list for a shorter time, or its list is
            outdated.
        """
        seen = self.seen(service, within)
        known_for = self.clock.now() - self._first_at.get(service, float('inf'))
        if len(seen) != 1 or known_for < within or not self.is_current():
            return None
        return seen[0]
