"""What an audit of the durable records reports."""

import attrs

from balsamreach.budget.account import Account, Allotment

OVERSPENT = 'taken_above_prepaid'
UNBALANCED = 'taken_differs_from_held'
ALLOTMENT_OVER = 'allotment_spent_beyond_grant'
BILLS_OFF = 'bills_differ_from_spend'
UNCLAIMED = 'bill_without_claim'
ORPHANED = 'rows_without_account'


@attrs.frozen
class Breach:
    """An invariant that does not hold."""

    invariant: str
    team: str
    detail: str


@attrs.frozen
class Stranded:
    """Tokens that nobody can spend until someone returns them.

    Parameters
    ----------
    team, incarnation : str
        Whose tokens, and who held them last.
    tokens : int
        How many.
    closed : bool
        Whether the allotment was closed and this part may be lent; else its
        holder serves no address any more and nobody has closed it.
    since : float
        Wall time of the holder's last draw.
    """

    team: str
    incarnation: str
    tokens: int
    closed: bool
    since: float


@attrs.frozen
class OpenClaim:
    """A claimed request without a bill: not ended, or how is not known.

    Parameters
    ----------
    team, key : str
        The request.
    holder : str
        Incarnation that claimed it.
    commits : int
        Commits of the table service since the claim.
    """

    team: str
    key: str
    holder: str
    commits: int


@attrs.define
class TeamSums:
    """What the rows of one team add up to.

    Parameters
    ----------
    account : Account or None
        None if there is no such row.
    allotments : dict of str to Allotment
        By incarnation.
    billed : int
        Tokens of all bills.
    bills : int
        Number of bills.
    """

    account: Account | None = None
    allotments: dict[str, Allotment] = attrs.field(factory=dict)
    billed: int = 0
    bills: int = 0

    @property
    def held(self) -> int:
        """Tokens that allotments account for."""
        return sum(one.held for one in self.allotments.values())

    @property
    def recorded(self) -> int:
        """Recorded spend."""
        folded = 0 if self.account is None else self.account.folded
        return folded + sum(one.settled for one in self.allotments.values())


@attrs.define
class Report:
    """What an audit found.

    Parameters
    ----------
    teams : dict of str to TeamSums
        Sums by team.
    breaches : list of Breach
        Invariants that do not hold.
    unjudged : list of str
        Teams whose records changed while they were read, so that their
        bills could not be compared; audit again when they rest.
    stranded : list of Stranded
        Tokens out of use.
    open_claims : list of OpenClaim
        Claims without a bill, as many as are listed.
    claims, claims_open : int
        Number of claims, and of those without a bill.
    """

    teams: dict[str, TeamSums] = attrs.field(factory=dict)
    breaches: list[Breach] = attrs.field(factory=list)
    unjudged: list[str] = attrs.field(factory=list)
    stranded: list[Stranded] = attrs.field(factory=list)
    open_claims: list[OpenClaim] = attrs.field(factory=list)
    claims: int = 0
    claims_open: int = 0

    def breach(self, invariant: str, team: str, detail: str) -> None:
        """Add a broken invariant."""
        self.breaches.append(Breach(invariant, team, detail))
