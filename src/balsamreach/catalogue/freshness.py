"""Checks whether the configuration in force is the newest one.

A disconnected router can't know of a newer configuration. What only a newer
one allows must not be denied permanently by an older one, because callers
don't retry after such a response.
"""

import abc
import asyncio

import attrs

from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock

#: Seconds for which an answer of the source counts. Edits are in force within
#: 2 seconds; a long poll takes 0.6 s, and another one may already be in
#: progress.
_MAX_AGE_S = 1.5
#: Seconds to keep a caller waiting for the source. A slow one answers in 0.35
#: s.
_CHECK_TIMEOUT_S = 0.5


class ConfigurationSource(abc.ABC):
    """Source of newer configurations."""

    @abc.abstractmethod
    def is_unavailable(self) -> bool:
        """Return whether the source is unavailable to this router."""

    @abc.abstractmethod
    def confirmed_at(self) -> float:
        """Return the monotonic time in seconds of the last answered call.

        This is when the call was sent.
        """

    @abc.abstractmethod
    async def check(self) -> None:
        """Query the source now and put a newer configuration into force."""


class NullSource(ConfigurationSource):
    """Placeholder until a source is set."""

    def is_unavailable(self) -> bool:
        """Return True."""
        return True

    def confirmed_at(self) -> float:
        """Return a time before all others."""
        return float('-inf')

    async def check(self) -> None:
        """Do nothing."""


@attrs.define(eq=False)
class FreshnessCheck:
    """Checks the configuration in force against its source.

    Parameters
    ----------
    view : CatalogueView
        The configuration in force.
    clock : Clock
        Clock of the age.
    source : ConfigurationSource
        Source of newer configurations.
    """

    view: CatalogueView
    clock: Clock
    source: ConfigurationSource = attrs.field(factory=NullSource)
    _check_task: asyncio.Future | None = None

    async def confirm(self) -> bool:
        """Return whether the configuration was the newest a moment ago.

        If the last answer of the source is too old, it is queried, and a newer
        configuration is put into force. Concurrent callers share one query.
        """
        if self.view.is_behind or self.source.is_unavailable():
            return False
        if not self._is_fresh():
            await self._check_source()
        return self._is_fresh() and not self.view.is_behind

    def age(self) -> float:
        """Return the seconds since the last answered call to the source."""
        return self.clock.now() - self.source.confirmed_at()

    async def _check_source(self) -> None:
        if self._check_task is None or self._check_task.done():
            self._check_task = asyncio.ensure_future(self.source.check())
        await asyncio.wait({self._check_task}, timeout=_CHECK_TIMEOUT_S)

    def _is_fresh(self) -> bool:
        return self.age() <= _MAX_AGE_S
