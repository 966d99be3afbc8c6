"""Decides when this router leaves the rotation of the load balancer.

Load pattern: since the load balancer assigns callers by hashing, all requests
of a large team arrive through one small host, second after second. Refused
callers would retry at the same host, so refusing doesn't help. Out of
rotation for a while, the host finishes its requests in progress, and the
team's new connections go to another host, which does the same before its link
is full.
"""

import attrs

from balsamreach.clock import Clock
from balsamreach.relay.heavy_teams import HeavyTeamTracker, TeamReport
from balsamreach.relay.host_link import HostLink

#: Minimum seconds out of rotation. If shorter, callers would be back before
#: another host has taken them; if longer, too many hosts of a zone would be
#: out at once.
MIN_OUT_S = 6
#: Seconds for which the link must stay full. One long body fills a small link
#: for less; if that were enough, an eighth of the fleet would be out at any
#: time. It is short, because the load balancer takes seconds to react.
FULL_FOR_S = 0.1
#: Maximum seconds out of rotation because of reports about a team.
MAX_OUT_S = 60
#: Seconds after such an absence for which reports don't make the router leave
#: again. The load balancer takes about 2 s to notice that a router is back.
MIN_BACK_S = 6
#: Seconds after which a router that stays out decides again.
_RECHECK_S = 0.05


@attrs.define
class Rotation:
    """Whether this router should be out of rotation.

    Parameters
    ----------
    link : HostLink
        The host's link.
    clock : Clock
        Source of the current time.
    heavy_teams : HeavyTeamTracker or None
        Large teams here and at other routers; None to ignore them.
    cause : TeamReport or None
        Report because of which this router left or stayed out last.
    """

    link: HostLink
    clock: Clock
    heavy_teams: HeavyTeamTracker | None = None
    cause: TeamReport | None = None
    _full_since: float | None = None
    _out_until: float = float('-inf')
    _left_at: float | None = None
    _left_early: bool = False
    _stays_until: float = float('-inf')
    _teams: set[str] = attrs.field(factory=set)

    def is_out(self) -> bool:
        """Check the link, and return whether to be out of rotation."""
        now = self.clock.now()
        self._check_link(now)
        if self.heavy_teams is not None:
            self._check_teams(self.heavy_teams, now)
        return now < self._out_until

    def _check_link(self, now: float) -> None:
        if not self.link.is_full():
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now
        elif now - self._full_since >= FULL_FOR_S:
            self._out_until = now + MIN_OUT_S
            self._left_early = False

    def _check_teams(self, tracker: HeavyTeamTracker, now: float) -> None:
        if self._left_at is None:
            self._check_leaving(tracker, now)
            return
        self._teams.update(tracker.heavy())
        if now >= self._out_until:
            self._check_return(tracker, now)
        elif self._left_early and not tracker.may_be_out():
            # Too many routers have left at the same moment. The link isn't
            # full, so this one returns before the load balancer notices.
            self._return(now)

    def _check_leaving(self, tracker: HeavyTeamTracker, now: float) -> None:
        if now < self._out_until:
            self._left_at = now
            self.cause = None
            return
        report = None
        if now >= self._stays_until:
            report = tracker.leave_now()
        if report is not None:
            self._left_at = now
            self._left_early = True
            self.cause = report
            self._teams.add(report.team)
            self._out_until = now + MIN_OUT_S

    def _check_return(self, tracker: HeavyTeamTracker, now: float) -> None:
        report = None
        if now - self._left_at < MAX_OUT_S:
            report = tracker.stay_out(self._teams)
        else:
            self._stays_until = now + MIN_BACK_S
        if report is None:
            self._return(now)
            return
        self.cause = report
        self._out_until = now + _RECHECK_S

    def _return(self, now: float) -> None:
        self._out_until = now
        self._left_at = None
        self._left_early = False
        self._teams.clear()
