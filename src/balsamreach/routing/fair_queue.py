"""A queue of requests that is fair to teams by their weights."""

import heapq
import itertools
from collections import deque

import attrs

from balsamreach.routing.slot_request import SlotRequest


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a target.

    Parameters
    ----------
    ask : SlotRequest
        The request.
    start_tag : float
        Virtual time at which its turn starts.
    removed : bool
        Whether it was granted, refused or cancelled.
    """

    ask: SlotRequest
    start_tag: float = 0
    removed: bool = False


@attrs.define(eq=False)
class FairQueue:
    """Start-time fair queueing over teams.

    A team's requests are spaced by their cost divided by the team's weight;
    the earliest start tag is served next. A team that was idle starts at the
    current virtual time, so it has no saved turns and doesn't wait behind the
    backlog of another team.

    Parameters
    ----------
    waiting : int
        Number of waiting requests.
    """

    waiting: int = 0
    _virtual_time: float = 0
    _heap: list[tuple[float, int, Waiter]] = attrs.field(factory=list)
    _finish_tags: dict[str, float] = attrs.field(factory=dict)
    _by_team: dict[str, deque[Waiter]] = attrs.field(factory=dict)
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        ask = waiter.ask
        waiter.start_tag = max(
            self._virtual_time, self._finish_tags.get(ask.team, 0)
        )
        self._finish_tags[ask.team] = waiter.start_tag + ask.cost / ask.weight
        heapq.heappush(
            self._heap, (waiter.start_tag, next(self._sequence), waiter)
        )
        self._by_team.setdefault(ask.team, deque()).append(waiter)
        self.waiting += 1

    def peek(self) -> Waiter | None:
        """Return the request to serve next, None if the queue is empty."""
        while self._heap and self._heap[0][2].removed:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def remove(self, waiter: Waiter, *, served: bool = False) -> None:
        """Remove a request; ``served`` advances the virtual time."""
        if waiter.removed:
            return
        waiter.removed = True
        self.waiting -= 1
        if served:
            self._virtual_time = max(self._virtual_time, waiter.start_tag)
        self._trim_team(waiter.ask.team)
        if not self.waiting:
            # With an empty queue no team is ahead of another. Clearing the
            # tags here bounds the memory by the teams of one busy period.
            self._heap.clear()
            self._finish_tags.clear()
            self._virtual_time = 0

    def backlog(self, team: str) -> int:
        """Return the number of a team's waiting requests."""
        queue = self._by_team.get(team, ())
        return sum(not waiter.removed for waiter in queue)

    def estimate_ahead(self, ask: SlotRequest) -> int:
        """Return an estimate of the requests served before a new one."""
        own_backlog = self.backlog(ask.team)
        teams = len(self._by_team)
        if ask.team in self._by_team:
            teams -= 1
        others = self.waiting - own_backlog
        # Per turn of this team, each other waiting team has turns in
        # proportion to its weight; assuming equal weights is accurate enough
        # here.
        return own_backlog + min(others, (own_backlog + 1) * teams)

    def newest_of_longest(self) -> Waiter | None:
        """Return the newest request of the team with the most per weight."""
        longest: deque[Waiter] | None = None
        max_length = -1.0
        for queue in self._by_team.values():
            last = queue[-1].ask
            length = len(queue) / last.weight
            if length > max_length:
                longest, max_length = queue, length
        return longest[-1] if longest else None

    def _trim_team(self, team: str) -> None:
        queue = self._by_team[team]
        while queue and queue[0].removed:
            queue.popleft()
        while queue and queue[-1].removed:
            queue.pop()
        if not queue:
            self._by_team.pop(team)
