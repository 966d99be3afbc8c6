"""Policies that choose a target among those that may run a request."""

import abc
import random

import attrs

from balsamreach.routing.pools import Group
from balsamreach.routing.want import Want
from balsamreach.targets.cache_feed import CacheNews

#: A choice among members of a group: an index, or None if all are full.
Choice = int | None


@attrs.define
class Chooser(abc.ABC):
    """A policy of choice."""

    rng: random.Random

    @abc.abstractmethod
    def choose(self, want: Want, group: Group, now: float) -> Choice:
        """Return the index of a member with room, None if there is none."""

    def learn(self, target: str, news: CacheNews) -> None:
        """Take in what a target's cache did; most policies need not know."""
        return


@attrs.define
class RandomChoice(Chooser):
    """Draws by weight."""

    def choose(self, want: Want, group: Group, now: float) -> Choice:
        """Return a member drawn by weight."""
        return group.draw_open(self.rng, now, want)


@attrs.define
class RoundRobin(Chooser):
    """Takes the members in turn, whatever their weights."""

    def choose(self, want: Want, group: Group, now: float) -> Choice:
        """Return the next member in turn that has room."""
        size = len(group.members)
        for step in range(size):
            index = (group.turn + step) % size
            if group.is_open(index, now, want):
                group.turn = index + 1
                return index
        return None


@attrs.define
class LeastRequests(Chooser):
    """Takes the least loaded member of all."""

    def choose(self, want: Want, group: Group, now: float) -> Choice:
        """Return the member of the least load per weight."""
        able = list(group.open_ones(now, want))
        # Ties go to a random member, so that routers without news do not
        # all send to the first row of the table.
        self.rng.shuffle(able)
        return min(able, key=lambda one: group.load(one, now), default=None)


@attrs.define
class TwoChoices(Chooser):
    """Takes the less loaded of two members drawn by weight."""

    def choose(self, want: Want, group: Group, now: float) -> Choice:
        """Return the less loaded of two draws."""
        first = group.draw_open(self.rng, now, want)
        if first is None:
            return None
        second = group.draw(self.rng)
        if not group.is_open(second, now, want):
            return first
        return min(first, second, key=lambda one: group.load(one, now))
