"""Fake targets and a clock that the test controls."""

import asyncio

import attrs

from balsamreach.targets.client import (
    LEAVE,
    LOAD_MODEL,
    POWER_OFF,
    CacheEvents,
    Order,
    TargetClient,
)
from balsamreach.targets.faults import (
    NO_ANSWER,
    REFUSED,
    UNREACHABLE,
    TargetFault,
)
from balsamreach.targets.reports import LoadReport
from tests.support import HeldClock


class VirtualClock(HeldClock):
    """A clock that stands still until the test advances it."""

    async def advance(self, seconds: float) -> None:
        """Advance the time, and wake the tasks that sleep until then."""
        end = self.seconds + seconds
        await settle()
        while self.sleeps_until(end):
            self.seconds = self.wake_next()
            await settle()
        self.seconds = end


async def settle() -> None:
    """Run all tasks until each of them waits for something."""
    for _ in range(30):
        await asyncio.sleep(0)


@attrs.define(eq=False)
class FakeHost:
    """A host of one target and its requests.

    Parameters
    ----------
    start : int
        Number of its starts; 0 with ``up`` False before the first.
    blind : bool
        Whether it always reports that no requests run.
    cut : int
        Number of requests that a power-off aborted.
    """

    address: str
    up: bool = True
    start: int = 1
    running: int = 0
    queued: int = 0
    slots: int = 4
    leaving: bool = False
    models: tuple[str, ...] = ('model-a',)
    honours_fences: bool = False
    checks_incarnation: bool = True
    obeys_leave: bool = True
    reports_idle: bool = False
    fence: int = 0
    aborted_requests: int = 0
    orders: list[Order] = attrs.field(factory=list)

    @property
    def incarnation(self) -> str:
        """Identity of the current incarnation."""
        return f'{self.address}-{self.start}'

    def switch(self, *, on: bool) -> None:
        """Switch it on or off at once."""
        if on and not self.up:
            self.start += 1
            self.leaving = False
            self.running = 0
            self.queued = 0
        if not on:
            self.aborted_requests += self.running + self.queued
            self.running = 0
            self.queued = 0
        self.up = on

    def take(self, order: Order) -> TargetFault | None:
        """Execute an order, or refuse it if the host checks orders."""
        self.orders.append(order)
        if self.honours_fences and order.fence < self.fence:
            return REFUSED
        self.fence = max(self.fence, order.fence)
        if self.checks_incarnation and order.incarnation != self.incarnation:
            return REFUSED
        if order.kind == LEAVE and self.obeys_leave:
            self.leaving = True
        elif order.kind == LOAD_MODEL:
            self.models = (*self.models, order.model)
        elif order.kind == POWER_OFF:
            self.switch(on=False)
        return None


@attrs.define(eq=False)
class FakeTargets(TargetClient):
    """Client of hosts in this process.

    ``stale`` contains addresses whose pooled connection never responds.
    """

    clock: VirtualClock
    hosts: dict[str, FakeHost] = attrs.field(factory=dict)
    stale: set[str] = attrs.field(factory=set)
    asked: list[tuple[str, bool]] = attrs.field(factory=list)
    events: dict[str, CacheEvents] = attrs.field(factory=dict)
    answers_lost: int = 0
    cut: set[str] = attrs.field(factory=set)

    async def load(
        self,
        address: str,
        *,
        fresh: bool = False,
    ) -> LoadReport | TargetFault:
        """Return the current load of a host."""
        self.asked.append((address, fresh))
        host = self.hosts.get(address)
        if host is None or not host.up or address in self.cut:
            return UNREACHABLE
        if address in self.stale and not fresh:
            return NO_ANSWER
        return LoadReport(
            running=0 if host.reports_idle else host.running,
            queued=0 if host.reports_idle else host.queued,
            slots=host.slots,
            incarnation=host.incarnation,
            leaving=host.leaving,
            valid_at=self.clock.now(),
            models=host.models,
        )

    async def cache_events(
        self,
        address: str,
        since: int,
    ) -> CacheEvents | TargetFault:
        """Return the events that the test has set."""
        return self.events.get(address, REFUSED)

    async def order(self, address: str, order: Order) -> TargetFault | None:
        """Pass an order to a host."""
        host = self.hosts.get(address)
        if host is None or not host.up or address in self.cut:
            return UNREACHABLE
        outcome = host.take(order)
        if self.answers_lost:
            self.answers_lost -= 1
            return NO_ANSWER
        return outcome
