"""Which version of the table each router has in force, and since when."""

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

_REMEMBERED = 4096
_ASKED_AT_ONCE = 32


@attrs.frozen
class RouterStatus:
    """What one router has in force.

    Parameters
    ----------
    state : str
        ``current``, ``behind``, ``starting`` or ``unreachable``.
    version : int or None
        Version in force, None where it could not be asked.
    behind_since : float or None
        Wall time from which a newer version was in force at the router that
        was asked for the status.
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
    """Asks all routers for the version they have in force.

    Parameters
    ----------
    follower : TableFollower
        Keeps the view of the router that is asked.
    clock : Clock
        Wall time for when versions came into force here.
    """

    follower: TableFollower
    clock: Clock
    _seen: deque[tuple[int, float]] = attrs.field(
        factory=lambda: deque(maxlen=_REMEMBERED),
    )

    def start(self) -> None:
        """Note from now on when versions come into force here."""
        self.follower.view.watchers.append(self._note)

    async def collect(self) -> dict[str, Any]:
        """Return this router's own state and that of all others."""
        net = self.follower.exchange.net
        gate = asyncio.Semaphore(_ASKED_AT_ONCE)
        routers = await asyncio.gather(
            *(self._ask(member, gate) for member in net.members()),
        )
        here = self.follower.view.version
        return {
            'version': here,
            'in_force_since': self._since(here - 1),
            'confirmed_s_ago': self.follower.age,
            'rejected': {
                key: rejected.fault.reason
                for key, rejected in self.follower.view.rejected.items()
            },
            'routers': [attrs.asdict(router) for router in routers],
        }

    async def _ask(
        self,
        member: Member,
        gate: asyncio.Semaphore,
    ) -> RouterStatus:
        exchange = self.follower.exchange
        async with gate:
            version = await exchange.version_of(member.incarnation)
        behind = version is not None and 0 < version < exchange.view.version
        return RouterStatus(
            host=member.host,
            zone=member.zone,
            address=member.address,
            incarnation=member.incarnation,
            state=_state(version, behind=behind),
            version=version,
            behind_since=self._since(version) if behind else None,
        )

    def _since(self, version: int) -> float | None:
        """Return when a version newer than the one given came here."""
        for newer, at in self._seen:
            if newer > version:
                return at
        return None

    def _note(self, fresh: tuple[Row, ...]) -> None:
        newest = max(row.version for row in fresh)
        if not self._seen or newest > self._seen[-1][0]:
            self._seen.append((newest, self.clock.wall()))


def _state(version: int | None, *, behind: bool) -> str:
    if version is None:
        return UNREACHABLE
    if version == 0:
        return STARTING
    return BEHIND if behind else CURRENT
