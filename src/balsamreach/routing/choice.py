"""Policies that choose one of a group's members for a request."""

import abc
import random

import attrs

from balsamreach.routing.criteria import Criteria
from balsamreach.routing.pools import Group
from balsamreach.targets.cache_feed import CacheChanges

#: Index of the chosen member, None if no member is available.
Choice = int | None


@attrs.define
class Chooser(abc.ABC):
    """Base class of the policies.

    Parameters
    ----------
    rng : random.Random
        Source of random draws.
    """

    rng: random.Random

    @abc.abstractmethod
    def choose(self, criteria: Criteria, group: Group, now: float) -> Choice:
        """Return the index of an available member, None if there is none."""

    def apply_cache_events(self, target: str, news: CacheChanges) -> None:
        """Apply a target's prefix cache events; ignored by most policies."""
        return


@attrs.define
class RandomChoice(Chooser):
    """Draws a member at random by weight."""

    def choose(self, criteria: Criteria, group: Group, now: float) -> Choice:
        """Return an available member drawn by weight."""
        return group.draw_available(self.rng, now, criteria)


@attrs.define
class RoundRobin(Chooser):
    """Takes the members in turn, ignoring their weights."""

    def choose(self, criteria: Criteria, group: Group, now: float) -> Choice:
        """Return the next available member in turn."""
        size = len(group.members)
        for step in range(size):
            index = (group.next_index + step) % size
            if group.is_available(index, now, criteria):
                group.next_index = index + 1
                return index
        return None


@attrs.define
class LeastRequests(Chooser):
    """Takes the least loaded of all members."""

    def choose(self, criteria: Criteria, group: Group, now: float) -> Choice:
        """Return the available member with the lowest load per weight."""
        available = list(group.available_indices(now, criteria))
        # Ties are broken at random. Otherwise all routers without load reports
        # would send to the first row of the table.
        self.rng.shuffle(available)
        return min(
            available, key=lambda index: group.load(index, now), default=None
        )


@attrs.define
class TwoChoices(Chooser):
    """Takes the less loaded of two members drawn by weight."""

    def choose(self, criteria: Criteria, group: Group, now: float) -> Choice:
        """Return the less loaded of two drawn members."""
        first = group.draw_available(self.rng, now, criteria)
        if first is None:
            return None
        second = group.draw(self.rng)
        if not group.is_available(second, now, criteria):
            return first
        return min(first, second, key=lambda index: group.load(index, now))
