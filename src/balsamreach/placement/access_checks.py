"""Checks by connections whether a service's targets can be reached."""

import abc
import asyncio
import random
from collections import Counter
from collections.abc import Callable
from operator import itemgetter

import attrs

from balsamreach.clock import Clock
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.placement.target_failures import FailureTracker

#: Targets that a check connects to, besides the one that failed. With a fifth
#: of the targets crashed, one check in a hundred finds none that works.
_CHECKED_TARGETS = 3
#: Seconds between two attempts to reach an unreachable service, by one
#: connection each.
_RETRY_S = 0.2


class TargetConnector(abc.ABC):
    """Opens connections to targets, to see whether they can be reached."""

    @abc.abstractmethod
    async def connect(self, address: str, max_seconds: float) -> bool:
        """Connect to a target, and close the connection at once.

        Parameters
        ----------
        address : str
            ``ip:port``.
        max_seconds : float
            Seconds after which the attempt has failed.
        """


@attrs.define(eq=False)
class AccessChecker:
    """Runs the checks of services that are in doubt.

    Parameters
    ----------
    failures : FailureTracker
        Knows the targets; its ``access`` starts checks, and gets their
        results.
    connector : TargetConnector
        Opens the connections.
    clock : Clock
        Source of time.
    rng : random.Random
        Picks targets.
    timeout : callable
        Returns the maximum seconds to connect to a target now.
    """

    failures: FailureTracker
    connector: TargetConnector
    clock: Clock
    rng: random.Random
    timeout: Callable[[], float]
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def enable(self) -> None:
        """Run checks from now on."""
        self.failures.access.start_check = self.start

    def start(self, service: str, failed: str) -> None:
        """Start a check; ``failed`` names a target that has just failed."""
        task = asyncio.ensure_future(self._run(service, failed))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancel all checks."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, service: str, failed: str) -> None:
        # Silence alone is weak evidence, so one connection comes first.
        reached = not failed and await self._reaches(service, failed, 1)
        if not reached:
            reached = await self._reaches(service, failed, _CHECKED_TARGETS)
        # A saturated link delays all connections, to peers as well.
        reached = reached or self.failures.link_delayed()
        self.failures.access.conclude(service, reached=reached)
        while not reached:
            await self.clock.sleep(_RETRY_S)
            reached = await self._reaches(service, '', 1)
            if reached:
                self.failures.access.conclude(service, reached=True)

    async def _reaches(self, service: str, failed: str, count: int) -> bool:
        targets = self._pick(service, failed, count)
        if not targets:
            return True
        timeout = self.timeout()
        attempts = [
            asyncio.ensure_future(
                self.connector.connect(place.entry.address, timeout)
            )
            for place in targets
        ]
        try:
            for attempt in asyncio.as_completed(attempts):
                if await attempt:
                    return True
        finally:
            for attempt in attempts:
                attempt.cancel()
        return False

    def _pick(self, service: str, failed: str, count: int) -> list[RelayTarget]:
        """Return targets of different zones, as far as there are any."""
        targets = [
            place
            for place in self.failures.places.of_service(service)
            if not place.entry.leaving
        ]
        others = [place for place in targets if place.incarnation != failed]
        candidates = others or targets
        self.rng.shuffle(candidates)
        taken: Counter[str] = Counter()
        ranked = []
        for place in candidates:
            ranked.append((taken[place.entry.zone], place))
            taken[place.entry.zone] += 1
        ranked.sort(key=itemgetter(0))
        return [found for _rank, found in ranked[:count]]
