"""The report of an audit of stored budget records."""

import attrs

from balsamreach.budget.account import Account, Allotment

TAKEN_ABOVE_PREPAID = 'taken_above_prepaid'
TAKEN_DIFFERS_FROM_HELD = 'taken_differs_from_held'
ALLOTMENT_OVERSPENT = 'allotment_spent_beyond_grant'
BILLS_DIFFER_FROM_SPEND = 'bills_differ_from_spend'
BILL_WITHOUT_CLAIM = 'bill_without_claim'
ROWS_WITHOUT_ACCOUNT = 'rows_without_account'


@attrs.frozen
class Breach:
    """An invariant that is violated for a team."""

    invariant: str
    team: str
    detail: str


@attrs.frozen
class StrandedTokens:
    """Tokens that can't be spent until they are returned to the account.

    Parameters
    ----------
    team, incarnation : str
        Team that owns the tokens, and the incarnation that held them last.
    tokens : int
        Number of tokens.
    closed : bool
        True if the allotment was closed and these tokens may be lent; False
        if its holder no longer serves any address and the allotment was
        never closed.
    since : float
        Unix time of the holder's last draw or return, in seconds.
    """

    team: str
    incarnation: str
    tokens: int
    closed: bool
    since: float


@attrs.frozen
class OpenClaim:
    """A claimed request without a bill: running, or of unknown outcome.

    Parameters
    ----------
    team, key : str
        Team and key of the request.
    holder : str
        Incarnation that claimed the request.
    commits : int
        Number of commits of the table service since the claim.
    """

    team: str
    key: str
    holder: str
    commits: int


@attrs.define
class TeamSums:
    """Sums over the stored rows of one team.

    Parameters
    ----------
    account : Account or None
        The team's account, None if there is no such row.
    allotments : dict of str to Allotment
        Allotments by incarnation.
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
        """Tokens of all allotments, except those lent to other routers."""
        return sum(one.held for one in self.allotments.values())

    @property
    def recorded(self) -> int:
        """Recorded spend, in tokens."""
        folded = 0 if self.account is None else self.account.folded
        return folded + sum(one.settled for one in self.allotments.values())


@attrs.define
class AuditReport:
    """The result of an audit.

    Parameters
    ----------
    teams : dict of str to TeamSums
        Sums by team.
    breaches : list of Breach
        Violated invariants.
    unjudged : list of str
        Teams whose records changed during the audit, so that their bills
        could not be compared; repeat the audit when they are idle.
    stranded : list of StrandedTokens
        Tokens that can't be spent.
    open_claims : list of OpenClaim
        Claims without a bill, up to a maximum.
    claims, claims_open : int
        Number of all claims, and of those without a bill.
    """

    teams: dict[str, TeamSums] = attrs.field(factory=dict)
    breaches: list[Breach] = attrs.field(factory=list)
    unjudged: list[str] = attrs.field(factory=list)
    stranded: list[StrandedTokens] = attrs.field(factory=list)
    open_claims: list[OpenClaim] = attrs.field(factory=list)
    claims: int = 0
    claims_open: int = 0

    def add_breach(self, invariant: str, team: str, detail: str) -> None:
        """Add a violated invariant."""
        self.breaches.append(Breach(invariant, team, detail))
