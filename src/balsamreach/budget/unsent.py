"""Bills that were made and not copied to the buddy yet."""

import asyncio

import attrs

from balsamreach.budget.account import Bill


@attrs.define
class Unsent:
    """Collects new bills until they are taken."""

    _bills: list[Bill] = attrs.field(factory=list)
    _came: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(self, bill: Bill) -> None:
        """Add a bill that was just made."""
        self._bills.append(bill)
        self._came.set()

    @property
    def any(self) -> bool:
        """Whether there is a bill."""
        return bool(self._bills)

    async def wait(self) -> None:
        """Wait until there is a bill."""
        await self._came.wait()

    def take(self) -> tuple[Bill, ...]:
        """Return the bills added since the last call."""
        bills = tuple(self._bills)
        self._bills.clear()
        self._came.clear()
        return bills
