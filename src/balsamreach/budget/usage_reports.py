"""Reports in which a router commits to how many tokens it uses at most.

After a router has died, its actual use is unknown. If all tokens it held
counted as used, a power loss of the routers would consume whole budgets, and
teams would be out of budget after a restart. So each router reports how many
tokens it may use and stays within that. To keep serving while the table
service is away, it may also use a share of the rest that grows with the time
since its last report. Its successor knows how long that time was.
"""

import math
from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class OpeningSchedule:
    """How tokens beyond the reported use become usable over time.

    Parameters
    ----------
    patience : float
        Seconds after a report until the first of them become usable.
    opening : float
        Seconds from then on until all of them are.
    """

    patience: float
    opening: float

    def usable_share(self, age: float) -> float:
        """Return the usable share of those tokens, from 0 to 1.

        Parameters
        ----------
        age : float
            Seconds since the last report.
        """
        beyond = max(0.0, age - self.patience)
        return min(1.0, beyond / self.opening)


@attrs.frozen
class Allowance:
    """What a router may use of one team's tokens, over all time.

    Parameters
    ----------
    initial : int
        Most tokens used, reserved or lent while the report is fresh.
    maximum : int
        The same once the usable share has reached 1.
    """

    initial: int
    maximum: int

    def allowed(self, share: float) -> int:
        """Return the most tokens in use at a usable share."""
        beyond = max(0, self.maximum - self.initial)
        return self.initial + math.ceil(beyond * share)


@attrs.frozen
class UsageReport:
    """One router's allowances for all its teams.

    Parameters
    ----------
    number : int
        Sequence number among the reports of this router.
    service_time : float
        Seconds of the table service's clock; the report was made then or
        later.
    schedule : OpeningSchedule
        How the rest becomes usable.
    teams : mapping of str to Allowance
        Allowances by team.
    """

    number: int
    service_time: float
    schedule: OpeningSchedule
    teams: Mapping[str, Allowance]

    def allowed(self, team: str, age: float) -> int:
        """Return the most tokens of a team in use at an age in seconds."""
        allowance = self.teams.get(team)
        if allowance is None:
            return 0
        return allowance.allowed(self.schedule.usable_share(age))


def encode_report(report: UsageReport) -> dict[str, Any]:
    """Return a report as the JSON object stored in its row."""
    return {
        'number': report.number,
        'at': report.service_time,
        'patience': report.schedule.patience,
        'opening': report.schedule.opening,
        'teams': {
            team: [allowance.initial, allowance.maximum]
            for team, allowance in report.teams.items()
        },
    }


def decode_report(fields: Mapping[str, Any]) -> UsageReport:
    """Return the report stored in a row."""
    return UsageReport(
        number=fields['number'],
        service_time=fields['at'],
        schedule=OpeningSchedule(fields['patience'], fields['opening']),
        teams={
            team: Allowance(*amounts)
            for team, amounts in fields['teams'].items()
        },
    )
