"""Reads the durable records page by page and checks what must hold."""

from collections.abc import AsyncIterator, Mapping

import attrs

from balsamreach.budget import audit
from balsamreach.budget.account import (
    ACCOUNT_PREFIX,
    ALLOTMENT_PREFIX,
    BILL_PREFIX,
    account_key,
    allotment_key,
    decode_account,
    decode_allotment,
)
from balsamreach.budget.audit import OpenClaim, Report, Stranded, TeamSums
from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault
from balsamreach.budget.incarnations import ROUTER_PREFIX
from balsamreach.services.base import Row, Scan, TableService
from balsamreach.services.faults import PlatformFault

CLAIM_PREFIX = 'claim/'
CLAIMED = 'claimed'

_MOST_LISTED = 1000


@attrs.define
class Auditor:
    """Audits all budgets in memory bounded by teams and routers.

    Parameters
    ----------
    service : TableService
        What holds the records.
    """

    service: TableService
    report: Report = attrs.field(factory=Report)
    _serving: set[str] = attrs.field(factory=set)
    _fault: PlatformFault | None = None
    _newest: int = 0

    async def audit(self) -> Report | BudgetFault:
        """Read everything and return what was found.

        Returns
        -------
        Report or BudgetFault
            NO_ALLOTMENT if the table service could not be read.
        """
        async for seat in self._rows(ROUTER_PREFIX):
            self._serving.add(seat.value['incarnation'])
        await self._sum_accounts()
        await self._join_bills()
        for team in sorted(self.report.teams):
            await self._check_team(team)
        if self._fault is not None:
            return NO_ALLOTMENT.because(f'table service: {self._fault.code}')
        return self.report

    async def _rows(self, prefix: str) -> AsyncIterator[Row]:
        scan = Scan(prefix)
        while self._fault is None:
            page = await self.service.scan(scan)
            if isinstance(page, PlatformFault):
                self._fault = page
                return
            self._newest = max(self._newest, page.version)
            for row in page.rows:
                yield row
            if not page.more:
                return
            scan = Scan(prefix, after=page.rows[-1].key)

    async def _sum_accounts(self) -> None:
        async for row in self._rows(ACCOUNT_PREFIX):
            team = row.key.removeprefix(ACCOUNT_PREFIX)
            self._sums(team).account = decode_account(row.value)
        async for held in self._rows(ALLOTMENT_PREFIX):
            _, incarnation, team = held.key.split('/', 2)
            allotment = decode_allotment(held.value)
            self._sums(team).allotments[incarnation] = allotment

    def _sums(self, team: str) -> TeamSums:
        return self.report.teams.setdefault(team, TeamSums())

    async def _join_bills(self) -> None:
        # Bills and claims come in the order of (team, key), so the two lists
        # are merged as they are read; neither is ever held as a whole.
        claims = self._rows(CLAIM_PREFIX)
        claim = await anext(claims, None)
        async for bill in self._rows(BILL_PREFIX):
            name = bill.key.removeprefix(BILL_PREFIX)
            while claim is not None and _name(claim) < name:
                self._take_open(claim)
                claim = await anext(claims, None)
            claimed = claim is not None and _name(claim) == name
            self._take_bill(bill.value, claimed=claimed)
            if claimed:
                self.report.claims += 1
                claim = await anext(claims, None)
        while claim is not None:
            self._take_open(claim)
            claim = await anext(claims, None)

    def _take_bill(self, bill: Mapping[str, object], *, claimed: bool) -> None:
        sums = self._sums(bill['team'])
        sums.billed += bill['tokens']
        sums.bills += 1
        if CLAIMED in bill['flags'] and not claimed:
            self.report.breach(audit.UNCLAIMED, bill['team'], bill['key'])

    def _take_open(self, claim: Row) -> None:
        self.report.claims += 1
        self.report.claims_open += 1
        if len(self.report.open_claims) < _MOST_LISTED:
            team, key = _name(claim).split('/', 1)
            holder = claim.value['holder']
            self.report.open_claims.append(
                OpenClaim(team, key, holder, self._newest - claim.version),
            )

    async def _check_team(self, team: str) -> None:
        before = self.report.teams[team]
        keys = (
            account_key(team),
            *(allotment_key(name, team) for name in before.allotments),
        )
        rows = await self.service.read(keys)
        if isinstance(rows, PlatformFault):
            self._fault = rows
            return
        sums = _read_again(before, rows)
        moved = sums != before
        self.report.teams[team] = sums
        self._strand(team, sums)
        for invariant, detail in _breaches(sums, moved=moved):
            self.report.breach(invariant, team, detail)
        if moved:
            self.report.unjudged.append(team)

    def _strand(self, team: str, sums: TeamSums) -> None:
        for name, allotment in sums.allotments.items():
            # A router that serves no address was never entered, as in a
            # test fleet on changing ports; nothing tells that it is gone.
            serving = name in self._serving or not self._serving
            if allotment.outstanding and (allotment.closed or not serving):
                self.report.stranded.append(
                    Stranded(
                        team,
                        name,
                        allotment.outstanding,
                        allotment.closed,
                        allotment.at,
                    ),
                )


def _name(claim: Row) -> str:
    return claim.key.removeprefix(CLAIM_PREFIX)


def _read_again(before: TeamSums, rows: tuple[Row, ...]) -> TeamSums:
    account = rows[0].value
    allotments = {
        name: decode_allotment(row.value)
        for name, row in zip(before.allotments, rows[1:], strict=True)
        if row.value is not None
    }
    return attrs.evolve(
        before,
        account=None if account is None else decode_account(account),
        allotments=allotments,
    )


def _breaches(sums: TeamSums, *, moved: bool) -> list[tuple[str, str]]:
    account = sums.account
    if account is None:
        return [(audit.ORPHANED, f'{sums.bills} bills')]
    found = []
    if account.taken > account.prepaid:
        detail = f'taken {account.taken}, prepaid {account.prepaid}'
        found.append((audit.OVERSPENT, detail))
    for name, allotment in sums.allotments.items():
        if allotment.outstanding < 0:
            found.append((audit.ALLOTMENT_OVER, name))
    # The rows of one team are read again at one instant, so they balance
    # even under load, unless a router has drawn for the first time since.
    held = sums.held + account.folded
    if account.taken != held and not moved:
        detail = f'taken {account.taken}, held and folded {held}'
        found.append((audit.UNBALANCED, detail))
    if sums.billed != sums.recorded and not moved:
        detail = f'bills {sums.billed}, recorded {sums.recorded}'
        found.append((audit.BILLS_OFF, detail))
    return found
