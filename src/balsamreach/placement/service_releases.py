"""The releases that the targets of each service run, now and of late."""

from collections.abc import Callable, Iterable, Mapping

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


def _ignore() -> None:
    """Ignore an edit."""


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
    edits : int
        How often a release has appeared or gone.
    on_edit : callable
        Called when ``edits`` has changed.
    """

    clock: Clock = attrs.field(factory=SystemClock)
    is_current: Callable[[], bool] = _never
    changes: int = 0
    edits: int = 0
    on_edit: Callable[[], None] = _ignore
    _services: dict[str, dict[str, _Release]] = attrs.field(factory=dict)
    _first_at: dict[str, float] = attrs.field(factory=dict)
    _restored: set[str] = attrs.field(factory=set)

    def add(self, service: str, release: str) -> None:
        """Record a target that is new in the list."""
        self._first_at.setdefault(service, self.clock.now())
        releases = self._services.setdefault(service, {})
        known = releases.setdefault(release, _Release())
        known.targets += 1
        if known.targets == 1:
            self.changes += 1
            self._record_edit()
        if len(releases) > _MAX_RELEASES:
            releases.pop(min(releases, key=lambda one: releases[one].age_order))

    def remove(self, service: str, release: str) -> None:
        """Record that a target was removed from the list."""
        known = self._services[service].get(release)
        if known is not None:
            known.targets -= 1
            known.gone_at = self.clock.now()
            if known.targets == 0:
                self._record_edit()

    def names(self) -> Iterable[str]:
        """Return the services that targets were listed of."""
        return tuple(self._services)

    def gone_times(self, service: str) -> dict[str, float | None]:
        """Return when the last target of each release was removed.

        Monotonic seconds; None while targets are listed.
        """
        return {
            release: None if known.targets else known.gone_at
            for release, known in self._services.get(service, {}).items()
        }

    def restore(self, service: str, gone_at: Mapping[str, float]) -> None:
        """Add all releases that a service has had before.

        Parameters
        ----------
        service : str
            The service.
        gone_at : mapping of str to float
            Monotonic seconds until which each release may have had targets.
        """
        releases = self._services.setdefault(service, {})
        for release, moment in gone_at.items():
            self.changes += release not in releases
            known = releases.setdefault(release, _Release(gone_at=moment))
            known.gone_at = max(known.gone_at, moment)
        self._restored.add(service)

    def forget(self) -> None:
        """Record that the list was outdated until now.

        A release may have come and gone without this router seeing it.
        """
        now = self.clock.now()
        self._restored.clear()
        self._first_at = dict.fromkeys(self._first_at, now)

    def remembers(self, service: str, within: float) -> bool:
        """Return whether this router knows all releases of that time."""
        followed = self.followed_for(service)
        is_long = followed is not None and followed >= within
        return is_long or service in self._restored

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
        is_known = self.remembers(service, within) and self.is_current()
        return seen[0] if is_known and len(seen) == 1 else None

    def _record_edit(self) -> None:
        self.edits += 1
        self.on_edit()
