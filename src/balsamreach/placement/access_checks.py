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
#: Maximum targets that are connected to once the service is reached again, to
#: close their breakers. The others are probed by requests.
_MAX_FORGOTTEN = 16


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
    zone : str
        Zone of this router. Its targets are tried first: while the zone is
        cut off from the others, they are all that can be reached.
    connector : TargetConnector
        Opens the connections.
    clock : Clock
        Source of time.
    rng : random.Random
        Picks targets.
    timeout : callable
        Returns the maximum seconds to connect to a target now.
    tasks : set of Task
        Checks in progress.
    """

    failures: FailureTracker
    zone: str
    connector: TargetConnector
    clock: Clock
    rng: random.Random
    timeout: Callable[[], float]
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    def enable(self) -> None:
        """Run checks from now on."""
        self.failures.access.start_check = self.start

    def start(self, service: str, failed: str, delay: float) -> None:
        """Start a check.

        Parameters
        ----------
        service : str
            The service.
        failed : str
            Incarnation of a target that has just failed; empty for none.
        delay : float
            Seconds to wait before.
        """
        if delay:
            check = self._run_later(service, failed, delay)
        else:
            check = self._run(service, failed)
        task = asyncio.ensure_future(check)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stop(self) -> None:
        """Cancel all checks."""
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_later(self, service: str, failed: str, delay: float) -> None:
        await self.clock.sleep(delay)
        if self.failures.access.begin_check(service):
            await self._run(service, failed)

    async def _run(self, service: str, failed: str) -> None:
        access = self.failures.access
        reached = None
        try:
            reached = await self._check(service, failed)
        finally:
            # A service that stayed marked would never be checked again, and
            # what is known of its failures would wait for good.
            if reached is None:
                access.abandon_check(service)
        access.conclude(service, reached=reached)
        if not reached:
            await self._wait_until_reached(service)

    async def _check(self, service: str, failed: str) -> bool:
        # Silence alone is weak evidence, so one connection comes first.
        reached = not failed and await self._reaches(service, failed, 1)
        if not reached:
            reached = await self._reaches(service, failed, _CHECKED_TARGETS)
        # A saturated link delays all connections, to peers as well.
        return reached or self.failures.link_delayed()

    async def _wait_until_reached(self, service: str) -> None:
        reached = False
        try:
            while not reached:
                await self.clock.sleep(_RETRY_S)
                reached = await self._reaches(service, '', 1)
        finally:
            # Whatever ends the search, requests must be sent from here again:
            # nothing else would find out that targets are reached.
            self.failures.access.conclude(service, reached=True)
        await self._forget_failures(service)

    async def _forget_failures(self, service: str) -> None:
        """Close the breakers that this host's lost links have opened."""
        suspects = [
            place
            for place in self.failures.places.of_service(service)
            if place.breaker.is_open
        ]
        results = await asyncio.gather(
            *map(self._connect, suspects[:_MAX_FORGOTTEN])
        )
        for place, is_reached in zip(suspects, results, strict=False):
            if is_reached:
                self.failures.forget(place)

    async def _reaches(self, service: str, failed: str, count: int) -> bool:
        targets = self._pick(service, failed, count)
        if not targets:
            return True
        attempts = [
            asyncio.ensure_future(self._connect(place)) for place in targets
        ]
        try:
            for attempt in asyncio.as_completed(attempts):
                if await attempt:
                    return True
        finally:
            for attempt in attempts:
                attempt.cancel()
        return False

    async def _connect(self, place: RelayTarget) -> bool:
        return await self.connector.connect(place.entry.address, self.timeout())

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
        # A single connection may go anywhere: the only target of the own zone
        # may be down for long.
        if count > 1:
            candidates.sort(key=lambda place: place.entry.zone != self.zone)
        taken: Counter[str] = Counter()
        ranked = []
        for place in candidates:
            ranked.append((taken[place.entry.zone], place))
            taken[place.entry.zone] += 1
        ranked.sort(key=itemgetter(0))
        return [found for _rank, found in ranked[:count]]
