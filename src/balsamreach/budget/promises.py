"""What a router says beforehand of the tokens that it may use.

Nobody knows what a router had used when it died. Were all that it held taken
for used, a team's budget would be gone with its routers' power; it would show
as teams that are out of budget after a restart. So each router reports how
much it may use, and uses no more. Of the rest it may use a part that grows
with its silence, so that it goes on while the store is away. Whoever comes
after it knows for how long it was silent before it died.
"""

import math
from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class Pace:
    """How fast tokens become usable that no report has promised.

    Parameters
    ----------
    patience : float
        Seconds of silence before the first does.
    opening : float
        Seconds from then on until all are.
    """

    patience: float
    opening: float

    def share(self, silence: float) -> float:
        """Return the part of them that is usable.

        Parameters
        ----------
        silence : float
            Seconds since the last report.
        """
        beyond = max(0.0, silence - self.patience)
        return min(1.0, beyond / self.opening)


@attrs.frozen
class Promise:
    """What a router may use of one team's tokens, over all time.

    Parameters
    ----------
    used : int
        Tokens used, set aside or lent at most while the report is fresh.
    most : int
        The same once the pace has opened everything.
    """

    used: int
    most: int

    def allowed(self, share: float) -> int:
        """Return the tokens in use at most where a share has opened."""
        beyond = max(0, self.most - self.used)
        return self.used + math.ceil(beyond * share)


@attrs.frozen
class Report:
    """One router's promises for all its teams.

    Parameters
    ----------
    number : int
        Number of the report among those of this router.
    at : float
        Seconds of the table service's clock; the report is no older.
    pace : Pace
        How fast the rest opens.
    teams : mapping of str to Promise
        Promises by team.
    """

    number: int
    at: float
    pace: Pace
    teams: Mapping[str, Promise]

    def allowed(self, team: str, silence: float) -> int:
        """Return a team's tokens in use at most after a silence in seconds."""
        promise = self.teams.get(team)
        if promise is None:
            return 0
        return promise.allowed(self.pace.share(silence))


def encode_report(report: Report) -> dict[str, Any]:
    """Return a report as the JSON object of its row."""
    return {
        'number': report.number,
        'at': report.at,
        'patience': report.pace.patience,
        'opening': report.pace.opening,
        'teams': {
            team: [promise.used, promise.most]
            for team, promise in report.teams.items()
        },
    }


def decode_report(fields: Mapping[str, Any]) -> Report:
    """Read a report from its row."""
    return Report(
        number=fields['number'],
        at=fields['at'],
        pace=Pace(fields['patience'], fields['opening']),
        teams={
            team: Promise(*amounts) for team, amounts in fields['teams'].items()
        },
    )
