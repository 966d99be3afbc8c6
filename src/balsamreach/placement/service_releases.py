"""The releases that the targets of each service run, now and of late."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable, Mapping

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
        Monotonic seconds at which the last one was removed from this router's
        list.
    restored_until : float
        Monotonic seconds until which others may have listed one.
    """

    targets: int = 0
    gone_at: float = float('-inf')
    restored_until: float = float('-inf')

    @property
    def age_order(self) -> tuple[bool, float]:
        """Sort key; releases without targets come first, the oldest of all."""
        return self.targets > 0, self.gone_at


def _never() -> bool:
    return False


async def _never_confirm(_max_wait: float) -> bool:
    await asyncio.sleep(0)
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
        Returns whether the list of targets was up to date a moment ago.
    confirm : callable
        Completes the list with all targets listed so far, and returns whether
        that succeeded; waits for as many seconds as it is passed.
    changes : int
        How often a release has appeared at a service.
    edits : int
        How often a release has appeared or gone.
    on_edit : callable
        Called when ``edits`` has changed.
    """

    clock: Clock = attrs.field(factory=SystemClock)
    is_current: Callable[[], bool] = _never
    confirm: Callable[[float], Awaitable[bool]] = _never_confirm
    changes: int = 0
    edits: int = 0
    on_edit: Callable[[], None] = _ignore
    _services: dict[str, dict[str, _Release]] = attrs.field(factory=dict)
    _known_since: float = float('inf')
    _restored_since: dict[str, float] = attrs.field(factory=dict)

    def add(self, service: str, release: str) -> None:
        """Record a target that is new in the list."""
        self._known_since = min(self._known_since, self.clock.now())
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
        """Return when this router's list lost the last target of a release.

        Monotonic seconds; None while targets are listed.
        """
        return {
            release: None if known.targets else known.gone_at
            for release, known in self._services.get(service, {}).items()
            if known.targets or math.isfinite(known.gone_at)
        }

    def restore(
        self,
        service: str,
        since: float,
        gone_at: Mapping[str, float | None],
    ) -> None:
        """Add all releases that a service has had since a time.

        Parameters
        ----------
        service : str
            The service.
        since : float
            Monotonic seconds from which on these are all releases.
        gone_at : mapping of str to float or None
            Monotonic seconds until which each release may have had targets;
            None if nobody knows that they have gone.
        """
        now = self.clock.now()
        self._restored_since[service] = since
        releases = self._services.setdefault(service, {})
        for release, moment in gone_at.items():
            self.changes += release not in releases
            known = releases.setdefault(release, _Release())
            if moment is None:
                # Unless this router's list has it, it is gone by now.
                known.gone_at = now
            else:
                known.restored_until = max(known.restored_until, moment)

    def forget(self) -> None:
        """Record that the list was outdated until now.

        A release may have come and gone without this router seeing it.
        """
        self.forget_restored()
        if self._services:
            self._known_since = self.clock.now()

    def forget_restored(self) -> None:
        """Forget since when restored releases are all of their service."""
        self._restored_since.clear()

    def known_since(self, service: str) -> float:
        """Return since when this router knows all releases of a service.

        Monotonic seconds; infinite if it has never had a list.
        """
        restored = self._restored_since.get(service, float('inf'))
        return min(self._known_since, restored)

    def remembers(self, service: str, within: float) -> bool:
        """Return whether this router knows all releases of that time."""
        return self.known_since(service) <= self.clock.now() - within

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
            if known.targets > 0
            or max(known.gone_at, known.restored_until) >= since
        )

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
            outdated. Releases of the last moments may be missing unless the
            list has just been confirmed.
        """
        seen = self.seen(service, within)
        is_known = self.remembers(service, within) and self.is_current()
        return seen[0] if is_known and len(seen) == 1 else None

    def _record_edit(self) -> None:
        self.edits += 1
        self.on_edit()
