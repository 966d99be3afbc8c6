"""New bills that are not copied to a peer yet."""

import asyncio

import attrs

from balsamreach.budget.account import Bill


@attrs.define
class UncopiedBills:
    """Collects new bills until they are taken for copying."""

    _bills: list[Bill] = attrs.field(factory=list)
    _added: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(self, bill: Bill) -> None:
        """Add a new bill."""
        self._bills.append(bill)
        self._added.set()

    @property
    def any(self) -> bool:
        """Whether any bill was added since the last ``take``."""
        return bool(self._bills)

    async def wait(self) -> None:
        """Wait until a bill is added."""
        await self._added.wait()

    def take(self) -> tuple[Bill, ...]:
        """Remove and return all bills added since the last call."""
        bills = tuple(self._bills)
        self._bills.clear()
        self._added.clear()
        return bills
