"""Data for the plot of a scenario."""

import attrs

from bench.callers import Outcome
from bench.run import Outage


@attrs.define
class Series:
    """Values that a plot shows.

    Parameters
    ----------
    began : float
        Start of the run on the monotonic clock.
    outcomes : list of Outcome
        Outcomes of all requests.
    direct_s, routed_s : list of float
        Latencies of small requests, direct and through a router, in seconds.
    in_force_s : list of float
        Seconds until each edit was in force.
    outages : list of Outage
        Platform outages.
    paths : dict of str to dict
        Latencies in ms by quantile, for each path of a relayed stream.
    """

    began: float = 0
    outcomes: list[Outcome] = attrs.field(factory=list)
    direct_s: list[float] = attrs.field(factory=list)
    routed_s: list[float] = attrs.field(factory=list)
    in_force_s: list[float] = attrs.field(factory=list)
    outages: list[Outage] = attrs.field(factory=list)
    paths: dict[str, dict[str, float]] = attrs.field(factory=dict)
