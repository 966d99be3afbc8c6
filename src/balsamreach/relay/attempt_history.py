"""What has become of the attempts of one request."""

from collections.abc import Iterator

import attrs

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
    silences_ms : list of (int or None)
        Milliseconds for which nothing had arrived when each attempt ended;
        None if another router received the response.
    releases : list of str
        Release of the target of each attempt, empty if it is unknown.
    events : list of int
        Events that the caller got from each attempt.
    """

    tried: set[str] = attrs.field(factory=set)
    reached: int = 0
    reached_targets: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    outcomes: list[str] = attrs.field(factory=list)
    durations_ms: list[int] = attrs.field(factory=list)
    silences_ms: list[int | None] = attrs.field(factory=list)
    releases: list[str] = attrs.field(factory=list)
    events: list[int] = attrs.field(factory=list)

    def record_outcome(
        self, target: str, outcome: str, release: str, all_events: int
    ) -> None:
        """Record how an attempt has ended.

        Parameters
        ----------
        target : str
            Incarnation of the target.
        outcome : str
            What has become of the attempt, in a few words.
        release : str
            Release of the target; empty if it is unknown.
        all_events : int
            Events that the caller has got of all attempts.
        """
        self.outcomes.append(f'{target} {outcome}')
        self.releases.append(release)
        self.events.append(all_events - sum(self.events))

    def continuations(self) -> Iterator[bool]:
        """Iterate over the attempts that continued a stream.

        Yields
        ------
        bool
            Whether the target had the release of the first one of the stream.
        """
        sources = [
            release
            for release, events in zip(self.releases, self.events, strict=True)
            if events
        ]
        for release in sources[1:]:
            yield release == sources[0]

    def record_duration(
        self, seconds: float, silence: float | None = None
    ) -> None:
        """Record how long an attempt took.

        Parameters
        ----------
        seconds : float
            Its duration.
        silence : float or None
            Seconds at its end for which nothing had arrived; None if they
            aren't known.
        """
        self.durations_ms.append(round(seconds * _MS))
        self.silences_ms.append(
            None if silence is None else round(silence * _MS)
        )
