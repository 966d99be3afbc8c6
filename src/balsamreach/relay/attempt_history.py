"""What has become of the attempts of one request."""

import attrs

from balsamreach.relay.attempt_results import Verdict

_MS = 1000


@attrs.define(eq=False)
class AttemptHistory:
    """The attempts of one request, direct and forwarded ones.

    Parameters
    ----------
    tried : set of str
        Incarnations of the targets that were tried.
    reached : int
        Targets that the request reached.
    reached_targets : set of str
        Incarnations of these, and of those that another router did not reach.
    may_have_run : bool
        Whether a target may have run the request.
    outcomes : list of str
        Target and outcome of each attempt, for the log.
    durations_ms : list of int
        Milliseconds that each attempt took, in the order of ``outcomes``.
    """

    tried: set[str] = attrs.field(factory=set)
    reached: int = 0
    reached_targets: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    outcomes: list[str] = attrs.field(factory=list)
    durations_ms: list[int] = attrs.field(factory=list)

    def record_outcome(self, target: str, verdict: Verdict) -> None:
        """Record how an attempt at a target has ended."""
        self.outcomes.append(f'{target} {verdict.description}')

    def record_duration(self, seconds: float) -> None:
        """Record how long an attempt took."""
        self.durations_ms.append(round(seconds * _MS))
