"""Policies that choose a target among those that may run a request."""

import abc
import random
from collections.abc import Sequence

import attrs

from balsamreach.targets.registry import Target


@attrs.frozen
class Want:
    """What a choice is made for.

    Parameters
    ----------
    model : str
        Model, or name of the plain service.
    prefix : bytes
        Leading part of the prompt; empty for plain services.
    zone : str
        Availability zone of this router.
    """

    model: str
    prefix: bytes = b''
    zone: str = ''


class Chooser(abc.ABC):
    """A policy of choice."""

    @abc.abstractmethod
    def choose(self, want: Want, targets: Sequence[Target]) -> Target:
        """Return one of a non-empty sequence of targets."""


@attrs.define
class TwoChoices(Chooser):
    """Takes the less loaded of two targets drawn by weight."""

    rng: random.Random

    def choose(self, want: Want, targets: Sequence[Target]) -> Target:
        """Return the less loaded of two draws."""
        weights = [target.row.weight for target in targets]
        pair = self.rng.choices(targets, weights, k=2)
        return min(pair, key=relative_load)


def relative_load(target: Target) -> float:
    """Return own requests in progress and reported queue per weight."""
    return (target.in_flight + target.report.queued) / target.row.weight
