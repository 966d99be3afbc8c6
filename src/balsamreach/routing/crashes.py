"""Broken connections until it is known whether their target crashed."""

from collections import OrderedDict, deque

import attrs

#: A new start within this time serves requests as if nothing had been, so
#: only later ones show that a target of unknown incarnation lived on.
_SETTLING = 10.0
#: A refused connection explains breaks that are no older than this.
_EXPLAINED = 60.0
#: Breaks at this many targets within so many seconds are the network's.
_MANY = 4
_AT_ONCE = 2.0
_MOST_RECENT = 256
_MOST_TARGETS = 2000
_MOST_BREAKS = 256


@attrs.frozen
class Break:
    """A connection that broke without an orderly end.

    Parameters
    ----------
    fingerprint, team : str
        The request.
    target, incarnation : str
        Where it ran.
    at : float
        Monotonic seconds at which this router learnt of it.
    told : bool
        Whether a peer met it and not this router.
    """

    fingerprint: str
    team: str
    target: str
    incarnation: str
    at: float
    told: bool = False


@attrs.define(eq=False)
class Crashes:
    """Breaks by target, each confirmed, refuted or forgotten in time.

    A break alone is no crash: a middlebox or a restarted switch breaks
    connections too. It is one if the target then refuses connections or
    reports a new start. It is none if another request that was in progress
    at the target at that moment ends well, or the same start reports again.
    """

    _breaks: OrderedDict[str, list[Break]] = attrs.field(factory=OrderedDict)
    _running: dict[str, dict[str, int]] = attrs.field(factory=dict)
    _survivors: dict[str, set[str]] = attrs.field(factory=dict)
    _targets: dict[str, set[str]] = attrs.field(factory=dict)
    _recent: deque[tuple[float, str]] = attrs.field(
        factory=lambda: deque(maxlen=_MOST_RECENT),
    )

    def started(self, fingerprint: str, target: str) -> None:
        """Take note that a request is sent."""
        running = self._running.setdefault(target, {})
        running[fingerprint] = running.get(fingerprint, 0) + 1

    def ended(self, fingerprint: str, target: str) -> None:
        """Take note that a request is no longer in progress."""
        running = self._running.get(target, {})
        left = running.get(fingerprint, 0) - 1
        if left > 0:
            running[fingerprint] = left
            return
        running.pop(fingerprint, None)
        if not running:
            self._running.pop(target, None)

    def broke(self, broken: Break) -> None:
        """Take note of a break."""
        target = broken.target
        if not broken.told:
            self._recent.append((broken.at, target))
        breaks = self._breaks.setdefault(target, [])
        if not breaks:
            # Whoever is in progress now and ends well proves that the target
            # lives. Requests sent later prove nothing: a new start would
            # serve them just as well.
            self._survivors[target] = set(self._running.get(target, ()))
        if len(breaks) < _MOST_BREAKS:
            breaks.append(broken)
            self._targets.setdefault(broken.fingerprint, set()).add(target)
        if len(self._breaks) > _MOST_TARGETS:
            self._forget(next(iter(self._breaks)))

    def explain(self, fingerprint: str, target: str) -> None:
        """Forget one request's breaks at a target; their cause is known."""
        if target in self.targets_broken(fingerprint):
            self._keep(
                target,
                [
                    entry
                    for entry in self._breaks[target]
                    if entry.fingerprint != fingerprint
                ],
            )

    def expire(self, now: float) -> None:
        """Forget what peers told too long ago to be explained any more.

        This router may never send to that target, and so never learn by
        itself that it lived on; the request would run alone for good.
        """
        for target, breaks in tuple(self._breaks.items()):
            lasting = [
                entry
                for entry in breaks
                if not entry.told or now - entry.at < _EXPLAINED
            ]
            if len(lasting) < len(breaks):
                self._keep(target, lasting)

    def many_at_once(self, now: float) -> bool:
        """Return whether connections to many targets broke of late."""
        while self._recent and now - self._recent[0][0] > _AT_ONCE:
            self._recent.popleft()
        return len({target for _at, target in self._recent}) >= _MANY

    def confirm(self, target: str, now: float) -> tuple[Break, ...]:
        """Return the breaks that a crash of the target explains."""
        breaks = self._forget(target)
        return tuple(entry for entry in breaks if now - entry.at < _EXPLAINED)

    def judge_report(
        self,
        target: str,
        incarnation: str,
        now: float,
    ) -> tuple[Break, ...]:
        """Return the breaks that a report's incarnation confirms."""
        breaks = self._breaks.get(target)
        if not breaks or not incarnation or not breaks[0].incarnation:
            return ()
        if breaks[0].incarnation != incarnation:
            return self.confirm(target, now)
        return ()

    def refute(self, target: str, fingerprint: str, now: float) -> None:
        """Forget a target's breaks if a request's good end disproves them."""
        breaks = self._breaks.get(target)
        if not breaks:
            return
        saw_them = fingerprint in self._survivors.get(target, ())
        if saw_them or now - breaks[-1].at >= _SETTLING:
            self._forget(target)

    def pending(self) -> tuple[str, ...]:
        """Return the targets whose breaks are not explained yet."""
        return tuple(self._breaks)

    def targets_broken(self, fingerprint: str) -> set[str]:
        """Return the targets at which a request broke off unexplained."""
        return self._targets.get(fingerprint, set())

    def _keep(self, target: str, breaks: list[Break]) -> None:
        survivors = self._survivors.get(target, set())
        self._forget(target)
        if not breaks:
            return
        self._breaks[target] = breaks
        self._survivors[target] = survivors
        for entry in breaks:
            self._targets.setdefault(entry.fingerprint, set()).add(target)

    def _forget(self, target: str) -> list[Break]:
        self._survivors.pop(target, None)
        breaks = self._breaks.pop(target, [])
        for entry in breaks:
            targets = self._targets.get(entry.fingerprint, set())
            targets.discard(target)
            if not targets:
                self._targets.pop(entry.fingerprint, None)
        return breaks
