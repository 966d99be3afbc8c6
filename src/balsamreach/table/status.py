"""Table version of each router, and since when it is behind."""

import asyncio
from collections import deque
from typing import Any

import attrs

from balsamreach.clock import Clock
from balsamreach.services.base import Row
from balsamreach.table.follower import TableFollower
from balsamreach.wire.membership import Member

CURRENT = 'current'
BEHIND = 'behind'
STARTING = 'starting'
UNREACHABLE = 'unreachable'

_MAX_RECORDED = 4096
_MAX_CONCURRENT_ASKS = 32


@attrs.frozen
class RouterStatus:
    """Table state of one router.

    Parameters
    ----------
    state : str
        ``current``, ``behind``, ``starting`` or ``unreachable``.
    version : int or None
        Version in force, None if the router didn't answer.
    behind_since : float or None
        Wall time at which the router that collects the status first had a
        newer version in force, None if this one isn't behind.
    """

    host: str
    zone: str
    address: str
    incarnation: str
    state: str
    version: int | None
    behind_since: float | None = None


@attrs.define(eq=False)
class TableStatus:
    """Collects the table versions of all routers.

    Parameters
    ----------
    follower : TableFollower
        Keeps the table of the router that collects.
    clock : Clock
        Wall time at which versions came into force here.
    """

    follower: TableFollower
    clock: Clock
    _applied_at: deque[tuple[int, float]] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_RECORDED),
    )

    def start(self) -> None:
        """Start to record when versions come into force here."""
        self.follower.view.watchers.append(self._record)

    async def collect(self) -> dict[str, Any]:
        """Return the table state of this router and of all others."""
        net = self.follower.exchange.net
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_ASKS)
        routers = await asyncio.gather(
            *(self._ask(member, semaphore) for member in net.members()),
        )
        version = self.follower.view.version
        return {
            'version': version,
            'in_force_since': self._newer_since(version - 1),
            'confirmed_s_ago': self.follower.confirmed_age,
            'rejected': {
                key: rejected.fault.reason
                for key, rejected in self.follower.view.rejected.items()
            },
            'routers': [attrs.asdict(router) for router in routers],
        }

    async def _ask(
        self,
        member: Member,
        semaphore: asyncio.Semaphore,
    ) -> RouterStatus:
        exchange = self.follower.exchange
        async with semaphore:
            version = await exchange.version_of(member.incarnation)
        behind = version is not None and 0 < version < exchange.view.version
        return RouterStatus(
            host=member.host,
            zone=member.zone,
            address=member.address,
            incarnation=member.incarnation,
            state=_router_state(version, behind=behind),
            version=version,
            behind_since=self._newer_since(version) if behind else None,
        )

    def _newer_since(self, version: int) -> float | None:
        """Return when a version above the given one came into force here."""
        for newer, at in self._applied_at:
            if newer > version:
                return at
        return None

    def _record(self, applied: tuple[Row, ...]) -> None:
        newest = max(row.version for row in applied)
        if not self._applied_at or newest > self._applied_at[-1][0]:
            self._applied_at.append((newest, self.clock.wall()))


def _router_state(version: int | None, *, behind: bool) -> str:
    if version is None:
        return UNREACHABLE
    if version == 0:
        return STARTING
    return BEHIND if behind else CURRENT
