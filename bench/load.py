"""Open-loop load: requests are sent at a rate regardless of answers."""

import asyncio
import random

import attrs

from bench.callers import CallerClient, CallerRequest, Outcome
from bench.processes import Process


@attrs.define
class Load:
    """Requests of several teams to several routers at random times.

    Parameters
    ----------
    rng : random.Random
        Draws times, teams and routers.
    routers : list of Process
        Routers to call; a scenario may change the list during the run.
    teams : dict of str to float
        Relative shares of the requests by team.
    rate : float
        Mean requests per second.
    retries : bool
        Whether callers retry at other routers.
    non_idempotent_share : float
        Share of requests to a plain service that must not run twice.
    words : int
        Number of words in each requested answer.
    prefix : str
        Prefix of the idempotency keys.
    """

    rng: random.Random
    routers: list[Process]
    teams: dict[str, float]
    rate: float
    retries: bool = True
    non_idempotent_share: float = 0
    words: int = 4
    prefix: str = 'r'
    callers: CallerClient = attrs.field(factory=CallerClient)
    _tasks: list[asyncio.Task[Outcome]] = attrs.field(factory=list)

    async def run(self, count: int) -> None:
        """Send a number of requests without waiting for their answers."""
        for _ in range(count):
            self._send()
            await asyncio.sleep(self.rng.expovariate(self.rate))

    def counts(self) -> tuple[int, int, int, int, int]:
        """Return the counts sent, open, answered, refused and cut."""
        done = [task.result() for task in self._tasks if task.done()]
        return (
            len(self._tasks),
            len(self._tasks) - len(done),
            sum(outcome.is_complete for outcome in done),
            sum(outcome.refused and not outcome.cut for outcome in done),
            sum(outcome.cuts for outcome in done),
        )

    async def outcomes(self) -> list[Outcome]:
        """Wait for all requests and return their outcomes."""
        return list(await asyncio.gather(*self._tasks))

    def _send(self) -> None:
        request = self._draw_request()
        routers = self.rng.sample(self.routers, len(self.routers))
        if self.retries:
            sending = self.callers.send_with_retries(request, routers)
        else:
            sending = self.callers.send(request, routers[0])
        self._tasks.append(asyncio.create_task(sending))

    def _draw_request(self) -> CallerRequest:
        names = list(self.teams)
        shares = list(self.teams.values())
        team = self.rng.choices(names, shares)[0]
        single = self.rng.random() < self.non_idempotent_share
        key = f'{self.prefix}-{len(self._tasks)}'
        return CallerRequest(team, key, self.words, single)
