"""Finds teams that use most of a host's link, in this router or in others.

Load pattern: the load balancer assigns callers by hashing. If a large team's
host leaves the rotation, the whole team moves to the next host, saturates its
link as well, and is back at the first one seconds later. Routers that know
the team leave before their links are saturated, and stay out until the team
has reached a host with enough bandwidth.
"""

from collections.abc import Callable, Iterable, Iterator

import attrs

from balsamreach.clock import Clock
from balsamreach.relay.host_link import HostLink
from balsamreach.relay.team_traffic import TeamTraffic

#: Seconds after which a report of another router is ignored: two repetitions
#: may be lost.
REPORT_EXPIRY_S = 5
#: Part of the usable link above which a team is heavy.
_HEAVY_SHARE = 0.5
#: Seconds for which a team must use as much.
_HEAVY_FOR_S = 0.3
#: Part of the reported rate above which a team has moved to this router. It
#: is then reported from here as well, also where the link has enough
#: bandwidth; otherwise the routers that it left would return, and the load
#: balancer would move it back.
_MOVED_SHARE = 0.5
#: Seconds in which a peak falls by half, so that a single burst doesn't keep
#: other routers out of rotation.
_PEAK_HALF_LIFE_S = 5
#: Requests of a reported team within a second that show that it arrives here.
_MIN_REQUESTS = 3
#: Maximum part of a zone's routers that may be out of rotation because of
#: heavy teams. If more than half of a zone is out, the load balancer uses all
#: of it; with fewer out, a team meets the same narrow hosts again.
MAX_OUT_SHARE = 0.45


@attrs.frozen
class TeamReport:
    """The rate of a heavy team at one router.

    Parameters
    ----------
    team : str
        The team.
    bytes_per_second : int
        Bytes of its requests and responses.
    age : float
        Seconds since the report was received; 0 for this router's own.
    """

    team: str
    bytes_per_second: int
    age: float = 0


@attrs.frozen
class _Received:
    """The last message of another router."""

    time: float
    rates: dict[str, int]
    out_of_rotation: bool


@attrs.define
class ZoneReports:
    """What the other routers of the zone reported last.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    clock: Clock
    _by_sender: dict[str, _Received] = attrs.field(factory=dict)

    def record(
        self, sender: str, rates: dict[str, int], *, out_of_rotation: bool
    ) -> None:
        """Replace what a router reported before.

        Parameters
        ----------
        sender : str
            Incarnation of the router.
        rates : dict of str to int
            Bytes per second of each team that is heavy there.
        out_of_rotation : bool
            Whether it is out of the load balancer's rotation.
        """
        now = self.clock.now()
        self._by_sender[sender] = _Received(now, rates, out_of_rotation)

    def highest(self) -> dict[str, TeamReport]:
        """Return the report with the highest rate for each team."""
        now, highest = self.clock.now(), {}
        for received in self._current().values():
            for team, rate in received.rates.items():
                known = highest.get(team)
                if known is None or known.bytes_per_second < rate:
                    age = now - received.time
                    highest[team] = TeamReport(team, rate, age)
        return highest

    def out_of_rotation(self) -> set[str]:
        """Return the incarnations of the routers that are out of rotation."""
        return {
            sender
            for sender, received in self._current().items()
            if received.out_of_rotation
        }

    def _current(self) -> dict[str, _Received]:
        oldest = self.clock.now() - REPORT_EXPIRY_S
        for sender, received in tuple(self._by_sender.items()):
            if received.time <= oldest:
                self._by_sender.pop(sender)
        return self._by_sender


@attrs.define
class _Usage:
    """Use of the link by a team that is above its threshold."""

    since: float
    threshold: float
    peak: int = 0
    measured_at: float = 0

    def add(self, rate: int, now: float) -> None:
        """Add a measurement; the peak decays between two of them."""
        age = now - self.measured_at
        decayed = self.peak * 0.5 ** (age / _PEAK_HALF_LIFE_S)
        self.peak = max(rate, round(decayed))
        self.measured_at = now


@attrs.define(eq=False)
class HeavyTeamTracker:
    """Decides which teams are heavy, and whether to avoid them.

    Parameters
    ----------
    link : HostLink
        The host's link; its bandwidth must be known.
    traffic : TeamTraffic
        Requests and bytes of each team here.
    reports : ZoneReports
        Reports of the other routers.
    me : str
        Incarnation of this router.
    zone_size : callable
        Returns the number of routers in the zone, this one included.
    clock : Clock
        Source of the current time.
    """

    link: HostLink
    traffic: TeamTraffic
    reports: ZoneReports
    me: str
    zone_size: Callable[[], int]
    clock: Clock
    _usages: dict[str, _Usage] = attrs.field(factory=dict)

    def update(self) -> None:
        """Measure the teams; to be called about ten times a second."""
        rates = self.traffic.bytes_per_second()
        reports = self.reports.highest()
        for gone in self._usages.keys() - rates.keys():
            self._usages.pop(gone)
        for team, rate in rates.items():
            self._update_team(team, rate, reports.get(team))

    def heavy(self) -> dict[str, int]:
        """Return the peak bytes per second of each team that is heavy here."""
        latest_start = self.clock.now() - _HEAVY_FOR_S
        return {
            team: usage.peak
            for team, usage in self._usages.items()
            if usage.since <= latest_start
        }

    def leave_now(self) -> TeamReport | None:
        """Return the report for which to leave the rotation, None to stay."""
        for report in self.reports.highest().values():
            arrives = self.traffic.requests(report.team) >= _MIN_REQUESTS
            if arrives and report.bytes_per_second > self._limit:
                return report if self._has_room() else None
        return None

    def stay_out(self, teams: Iterable[str]) -> TeamReport | None:
        """Return the report for which to stay out of rotation, None to return.

        Parameters
        ----------
        teams : iterable of str
            Teams because of which this router has left.
        """
        for report in self._reports_of(frozenset(teams)):
            if report.bytes_per_second > self._limit:
                return report if self.may_be_out() else None
        return None

    def may_be_out(self) -> bool:
        """Return whether this router is among those that may be out.

        Routers that decide at the same moment don't know of each other. All
        rank those that are out by incarnation, so that the same ones return.
        """
        out = sorted({self.me, *self.reports.out_of_rotation()})
        return out.index(self.me) < self._max_out

    @property
    def _limit(self) -> float:
        return _HEAVY_SHARE * self.link.usable_rate

    @property
    def _max_out(self) -> int:
        return int(MAX_OUT_SHARE * self.zone_size())

    def _has_room(self) -> bool:
        others = self.reports.out_of_rotation() - {self.me}
        return len(others) < self._max_out

    def _reports_of(self, teams: frozenset[str]) -> Iterator[TeamReport]:
        for team, peak in self.heavy().items():
            if team in teams:
                yield TeamReport(team, peak)
        for team, report in self.reports.highest().items():
            if team in teams:
                yield report

    def _update_team(
        self, team: str, rate: int, report: TeamReport | None
    ) -> None:
        usage = self._usages.get(team)
        threshold = self._limit if usage is None else usage.threshold
        if report is not None:
            moved = _MOVED_SHARE * report.bytes_per_second
            threshold = min(threshold, moved)
        if rate <= threshold:
            self._usages.pop(team, None)
            return
        if usage is None:
            usage = _Usage(self.clock.now(), threshold)
            self._usages[team] = usage
        usage.threshold = threshold
        usage.add(rate, self.clock.now())
