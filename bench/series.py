"""What a scenario met over time, for its plot."""

import attrs

from bench.callers import Outcome
from bench.run import Outage


@attrs.define
class Series:
    """Everything that is drawn.

    Parameters
    ----------
    began : float
        Start of the run on the monotonic clock.
    outcomes : list of Outcome
        What callers got.
    direct_s, routed_s : list of float
        Seconds that small requests took directly and through a router.
    in_force_s : list of float
        Seconds until edits were in force.
    outages : list of Outage
        Times without the platform.
    ways : dict of str to dict
        Latencies in ms by quantile, of each way of a relayed stream.
    """

    began: float = 0
    outcomes: list[Outcome] = attrs.field(factory=list)
    direct_s: list[float] = attrs.field(factory=list)
    routed_s: list[float] = attrs.field(factory=list)
    in_force_s: list[float] = attrs.field(factory=list)
    outages: list[Outage] = attrs.field(factory=list)
    ways: dict[str, dict[str, float]] = attrs.field(factory=dict)
