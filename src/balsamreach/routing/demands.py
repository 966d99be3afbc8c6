"""Reported demand for teams' rate limits, and the shares it gets."""

from collections import OrderedDict

import attrs

#: Parts of a limit are sent in millionths.
MILLION = 1_000_000
#: Part of a budget kept for those without demand, split evenly.
RESERVE = 0.05


@attrs.define
class DemandReport:
    """The newest demand report of one reporter.

    Parameters
    ----------
    incarnation : str
        Incarnation of the router that sent it.
    window : int
        Sequence number; the sender's next report has a higher one.
    expires_at : float
        Monotonic seconds after which the report is ignored.
    routers : int
        Number of routers that the report covers.
    parts : dict of int to int
        Demand by team, in millionths of the team's limit.
    urgent : bool
        Whether requests are refused until an answer arrives.
    """

    incarnation: str
    window: int
    expires_at: float
    routers: int
    parts: dict[int, int]
    urgent: bool = False


@attrs.define
class Demands:
    """The newest demand reports of several reporters.

    A reporter is a router of a zone, or a whole zone. Totals are updated with
    each report, so an answer takes one look-up per team, whatever the number
    of reporters.

    Parameters
    ----------
    first_report_at : float
        Monotonic seconds of the first report.
    routers : int
        Number of routers that the current reports cover.
    """

    first_report_at: float
    routers: int = 0
    _reports: OrderedDict[str, DemandReport] = attrs.field(factory=OrderedDict)
    _totals: dict[int, int] = attrs.field(factory=dict)

    def put(self, reporter: str, report: DemandReport) -> bool:
        """Add a report; False if a newer one of the same sender is known."""
        previous = self._reports.get(reporter)
        same = (
            previous is not None and previous.incarnation == report.incarnation
        )
        if previous is not None and same and previous.window >= report.window:
            return False
        self._remove(reporter)
        self._reports[reporter] = report
        self._add(report, 1)
        return True

    def find(self, reporter: str) -> DemandReport | None:
        """Return a reporter's newest report."""
        return self._reports.get(reporter)

    def take_urgent(self) -> tuple[str, ...]:
        """Return the reporters of urgent reports and mark these as answered."""
        reporters = [
            name for name, report in self._reports.items() if report.urgent
        ]
        for name in reporters:
            self._reports[name].urgent = False
        return tuple(reporters)

    def expire(self, now: float) -> None:
        """Remove reports that have expired."""
        expired = [
            reporter
            for reporter, report in self._reports.items()
            if report.expires_at < now
        ]
        for reporter in expired:
            self._remove(reporter)

    def demand_by_team(self) -> dict[int, int]:
        """Return the total demand by team, in millionths of its limit."""
        return dict(self._totals)

    def total_demand(self, team: int) -> float:
        """Return a team's total demand as a part of its limit."""
        return self._totals.get(team, 0) / MILLION

    def share(self, report: DemandReport, team: int, budget: float) -> float:
        """Return one reporter's share of a team's limit.

        Each reporter gets its demand if the budget suffices, otherwise a
        proportional part. Half of the rest is split by demand, so that it can
        grow, and half evenly. The shares of all reporters add up to the
        budget.

        Parameters
        ----------
        report : DemandReport
            The reporter's report, one of those kept here.
        team : int
            Hash of the team's name.
        budget : float
            Part of the limit to split among all reporters.
        """
        wanted = report.parts.get(team, 0) / MILLION
        total_demand = self.total_demand(team)
        available = (1 - RESERVE) * budget
        granted_part = min(1, available / total_demand) if total_demand else 1
        unclaimed = max(budget - total_demand, RESERVE * budget)
        even = report.routers / self.routers
        proportional = wanted / total_demand if total_demand else even
        return wanted * granted_part + unclaimed * (proportional + even) / 2

    def _remove(self, reporter: str) -> None:
        previous = self._reports.pop(reporter, None)
        if previous is not None:
            self._add(previous, -1)

    def _add(self, report: DemandReport, sign: int) -> None:
        self.routers += sign * report.routers
        for team, part in report.parts.items():
            total_demand = self._totals.get(team, 0) + sign * part
            if total_demand > 0:
                self._totals[team] = total_demand
            else:
                self._totals.pop(team, None)
