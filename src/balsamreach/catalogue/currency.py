"""Tells whether the configuration in force is known to be the newest one.

A router that is cut off can't know of a newer configuration. What only a
newer one allows must not be denied for good by an older one: callers don't
come back after such an answer.
"""

import abc
import asyncio

import attrs

from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock

#: Seconds for which an answer of the source is relied on. Edits are in force
#: within two seconds; a call that waits for news takes 0.6 s, and another one
#: may be under way.
_FRESH_S = 1.5
#: Seconds that a caller is kept waiting for the source; a slow one answers in
#: 0.35 s.
_ASK_S = 0.5


class ConfigurationSource(abc.ABC):
    """Where newer configurations come from."""

    @abc.abstractmethod
    def is_away(self) -> bool:
        """Return whether it does not answer this router."""

    @abc.abstractmethod
    def confirmed_at(self) -> float:
        """Return when the last call was sent that it answered."""

    @abc.abstractmethod
    async def check(self) -> None:
        """Ask it now, and bring what is newer into force."""


class NoSource(ConfigurationSource):
    """What stands here until there is a source."""

    def is_away(self) -> bool:
        """Return that it is away."""
        return True

    def confirmed_at(self) -> float:
        """Return that it never answered."""
        return float('-inf')

    async def check(self) -> None:
        """Ask nobody."""


@attrs.define(eq=False)
class Currency:
    """Confirms the configuration in force, by its source.

    Parameters
    ----------
    view : CatalogueView
        The configuration in force.
    clock : Clock
        Time.
    source : ConfigurationSource
        Where newer ones come from.
    """

    view: CatalogueView
    clock: Clock
    source: ConfigurationSource = attrs.field(factory=NoSource)
    _asking: asyncio.Future | None = None

    async def confirm(self) -> bool:
        """Return whether what is in force was the newest a moment ago.

        The source is asked where its last answer is too old; what it brings
        is in force then. One call answers all who wait.
        """
        if self.view.is_behind or self.source.is_away():
            return False
        if not self._is_fresh():
            await self._ask()
        return self._is_fresh() and not self.view.is_behind

    def age(self) -> float:
        """Return the seconds since the source was asked and answered."""
        return self.clock.now() - self.source.confirmed_at()

    async def _ask(self) -> None:
        if self._asking is None or self._asking.done():
            self._asking = asyncio.ensure_future(self.source.check())
        await asyncio.wait({self._asking}, timeout=_ASK_S)

    def _is_fresh(self) -> bool:
        return self.age() <= _FRESH_S
