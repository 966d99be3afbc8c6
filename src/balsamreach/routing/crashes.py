"""Decides whether broken connections were caused by a target's crash."""

from collections import OrderedDict, deque

import attrs

#: A target that restarts within this time may serve requests as if it had not
#: crashed, so if its incarnation is unknown only requests that end later prove
#: that it did not crash.
_RESTART_GRACE = 10.0
#: A crash explains breaks that are at most this old, in seconds.
_CONFIRM_WINDOW = 60.0
#: Breaks at this many targets within ``_MASS_BREAK_WINDOW`` seconds are
#: attributed to the network.
_MASS_BREAK_TARGETS = 4
_MASS_BREAK_WINDOW = 2.0
_MAX_RECENT = 256
_MAX_TARGETS = 2000
_MAX_BREAKS_PER_TARGET = 256


@attrs.frozen
class BrokenConnection:
    """A connection that broke before the exchange was complete.

    Parameters
    ----------
    fingerprint, team : str
        The request and its team.
    target, incarnation : str
        Where the request ran.
    at : float
        Monotonic seconds at which this router learned of the break.
    from_peer : bool
        Whether it was another router's connection.
    """

    fingerprint: str
    team: str
    target: str
    incarnation: str
    at: float
    from_peer: bool = False


@attrs.define(eq=False)
class CrashDetector:
    """Breaks by target until they are confirmed, refuted or expired.

    A break alone does not prove a crash: middleboxes and restarted switches
    break connections too. A crash is confirmed if the target then refuses
    connections or reports a new incarnation. It is refuted if another request
    that was in progress at the target at that moment ends normally, or any
    request ends normally long enough after the break.
    """

    _breaks: OrderedDict[str, list[BrokenConnection]] = attrs.field(
        factory=OrderedDict
    )
    _running: dict[str, dict[str, int]] = attrs.field(factory=dict)
    _in_progress_at_break: dict[str, set[str]] = attrs.field(factory=dict)
    _targets_by_request: dict[str, set[str]] = attrs.field(factory=dict)
    _recent_breaks: deque[tuple[float, str]] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_RECENT),
    )

    def request_started(self, fingerprint: str, target: str) -> None:
        """Record that a request is being sent."""
        running = self._running.setdefault(target, {})
        running[fingerprint] = running.get(fingerprint, 0) + 1

    def request_ended(self, fingerprint: str, target: str) -> None:
        """Record that a request is no longer in progress."""
        running = self._running.get(target, {})
        count = running.get(fingerprint, 0) - 1
        if count > 0:
            running[fingerprint] = count
            return
        running.pop(fingerprint, None)
        if not running:
            self._running.pop(target, None)

    def record_break(self, broken: BrokenConnection) -> None:
        """Record a break."""
        target = broken.target
        if not broken.from_peer:
            self._recent_breaks.append((broken.at, target))
        breaks = self._breaks.setdefault(target, [])
        if not breaks:
            # A request that is in progress now and ends normally proves that
            # the target did not crash. Requests sent later prove nothing, as a
            # restarted target would serve them too.
            self._in_progress_at_break[target] = set(
                self._running.get(target, ())
            )
        if len(breaks) < _MAX_BREAKS_PER_TARGET:
            breaks.append(broken)
            self._targets_by_request.setdefault(broken.fingerprint, set()).add(
                target
            )
        if len(self._breaks) > _MAX_TARGETS:
            self._remove_target(next(iter(self._breaks)))

    def resolve(self, fingerprint: str, target: str) -> None:
        """Remove a request's breaks at a target once their cause is known."""
        if target in self.break_targets(fingerprint):
            self._replace_breaks(
                target,
                [
                    item
                    for item in self._breaks[target]
                    if item.fingerprint != fingerprint
                ],
            )

    def expire(self, now: float) -> None:
        """Remove breaks reported by peers that are too old to be confirmed.

        This router may never send to that target, so none of its requests
        would refute the break, and the suspect would have to run alone
        forever.
        """
        for target, breaks in tuple(self._breaks.items()):
            kept = [
                item
                for item in breaks
                if not item.from_peer or now - item.at < _CONFIRM_WINDOW
            ]
            if len(kept) < len(breaks):
                self._replace_breaks(target, kept)

    def is_mass_break(self, now: float) -> bool:
        """Return whether connections to many targets broke recently."""
        while (
            self._recent_breaks
            and now - self._recent_breaks[0][0] > _MASS_BREAK_WINDOW
        ):
            self._recent_breaks.popleft()
        return (
            len({target for _at, target in self._recent_breaks})
            >= _MASS_BREAK_TARGETS
        )

    def confirm(self, target: str, now: float) -> tuple[BrokenConnection, ...]:
        """Remove a target's breaks and return those that its crash explains."""
        breaks = self._remove_target(target)
        return tuple(item for item in breaks if now - item.at < _CONFIRM_WINDOW)

    def check_report(
        self,
        target: str,
        incarnation: str,
        now: float,
    ) -> tuple[BrokenConnection, ...]:
        """Return the breaks confirmed by the incarnation in a load report."""
        breaks = self._breaks.get(target)
        if not breaks or not incarnation or not breaks[0].incarnation:
            return ()
        if breaks[0].incarnation != incarnation:
            return self.confirm(target, now)
        return ()

    def refute(self, target: str, fingerprint: str, now: float) -> None:
        """Remove a target's breaks if a request's normal end refutes them."""
        breaks = self._breaks.get(target)
        if not breaks:
            return
        was_in_progress = fingerprint in self._in_progress_at_break.get(
            target, ()
        )
        if was_in_progress or now - breaks[-1].at >= _RESTART_GRACE:
            self._remove_target(target)

    def unexplained_targets(self) -> tuple[str, ...]:
        """Return the targets with breaks that are not explained yet."""
        return tuple(self._breaks)

    def break_targets(self, fingerprint: str) -> set[str]:
        """Return the targets where a request has unexplained breaks."""
        return self._targets_by_request.get(fingerprint, set())

    def _replace_breaks(
        self, target: str, breaks: list[BrokenConnection]
    ) -> None:
        in_progress = self._in_progress_at_break.get(target, set())
        self._remove_target(target)
        if not breaks:
            return
        self._breaks[target] = breaks
        self._in_progress_at_break[target] = in_progress
        for item in breaks:
            self._targets_by_request.setdefault(item.fingerprint, set()).add(
                target
            )

    def _remove_target(self, target: str) -> list[BrokenConnection]:
        self._in_progress_at_break.pop(target, None)
        breaks = self._breaks.pop(target, [])
        for item in breaks:
            targets = self._targets_by_request.get(item.fingerprint, set())
            targets.discard(target)
            if not targets:
                self._targets_by_request.pop(item.fingerprint, None)
        return breaks
