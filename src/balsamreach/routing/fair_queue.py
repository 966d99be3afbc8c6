"""Waiting requests in an order that is fair to teams by their weights."""

import heapq
import itertools
from collections import deque

import attrs

from balsamreach.routing.ask import Ask


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a target.

    Parameters
    ----------
    ask : Ask
        What it asks for.
    tag : float
        Virtual time at which its turn starts.
    gone : bool
        Whether it was granted, refused or gave up.
    """

    ask: Ask
    tag: float = 0
    gone: bool = False


@attrs.define(eq=False)
class FairQueue:
    """Start-time fair queueing over teams.

    A team's requests are spaced by their cost over the team's weight; the
    earliest start is served next. A team that was idle starts at the
    present virtual time, so it neither saves up turns nor waits behind
    the backlog of another.
    """

    waiting: int = 0
    _virtual: float = 0
    _heap: list[tuple[float, int, Waiter]] = attrs.field(factory=list)
    _finish: dict[str, float] = attrs.field(factory=dict)
    _teams: dict[str, deque[Waiter]] = attrs.field(factory=dict)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        ask = waiter.ask
        waiter.tag = max(self._virtual, self._finish.get(ask.team, 0))
        self._finish[ask.team] = waiter.tag + ask.cost / ask.weight
        heapq.heappush(self._heap, (waiter.tag, next(self._numbers), waiter))
        self._teams.setdefault(ask.team, deque()).append(waiter)
        self.waiting += 1

    def peek(self) -> Waiter | None:
        """Return the request whose turn it is, None if nobody waits."""
        while self._heap and self._heap[0][2].gone:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def remove(self, waiter: Waiter, *, served: bool = False) -> None:
        """Take a request out, whether served or given up."""
        if waiter.gone:
            return
        waiter.gone = True
        self.waiting -= 1
        if served:
            self._virtual = max(self._virtual, waiter.tag)
        self._trim(waiter.ask.team)
        if not self.waiting:
            # Nobody waits, so no team is ahead of another. Forgetting the
            # tags here bounds the memory by the teams of one busy spell.
            self._heap.clear()
            self._finish.clear()
            self._virtual = 0

    def backlog(self, team: str) -> int:
        """Return how many requests of a team wait."""
        queue = self._teams.get(team, ())
        return sum(not waiter.gone for waiter in queue)

    def ahead(self, ask: Ask) -> int:
        """Return about how many requests go before a new one."""
        own = self.backlog(ask.team)
        teams = len(self._teams)
        if ask.team in self._teams:
            teams -= 1
        others = self.waiting - own
        # Each turn of this team lets every other waiting team have turns in
        # proportion to its weight; equal weights are near enough here.
        return own + min(others, (own + 1) * teams)

    def longest(self) -> Waiter | None:
        """Return the newest request of the team with most per weight."""
        best: deque[Waiter] | None = None
        most = -1.0
        for queue in self._teams.values():
            last = queue[-1].ask
            length = len(queue) / last.weight
            if length > most:
                best, most = queue, length
        return best[-1] if best else None

    def _trim(self, team: str) -> None:
        queue = self._teams[team]
        while queue and queue[0].gone:
            queue.popleft()
        while queue and queue[-1].gone:
            queue.pop()
        if not queue:
            self._teams.pop(team)
