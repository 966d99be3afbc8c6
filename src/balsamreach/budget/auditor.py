"""Reads stored budget records page by page and checks invariants."""

from collections.abc import AsyncIterator, Mapping

import attrs

from balsamreach.budget import audit_report
from balsamreach.budget.account import (
    ACCOUNT_PREFIX,
    ALLOTMENT_PREFIX,
    BILL_PREFIX,
    account_key,
    allotment_key,
    decode_account,
    decode_allotment,
)
from balsamreach.budget.audit_report import (
    AuditReport,
    OpenClaim,
    StrandedTokens,
    TeamSums,
)
from balsamreach.budget.faults import NO_ALLOTMENT, BudgetFault
from balsamreach.budget.incarnations import ROUTER_PREFIX
from balsamreach.services.base import Row, Scan, TableService
from balsamreach.services.faults import PlatformFault

CLAIM_PREFIX = 'claim/'
CLAIMED = 'claimed'

_MAX_OPEN_CLAIMS = 1000


@attrs.define
class Auditor:
    """Audits all budgets; memory grows with teams and routers, not bills.

    Parameters
    ----------
    service : TableService
        Service that stores the records.
    """

    service: TableService
    report: AuditReport = attrs.field(factory=AuditReport)
    _serving: set[str] = attrs.field(factory=set)
    _fault: PlatformFault | None = None
    _latest_version: int = 0

    async def audit(self) -> AuditReport | BudgetFault:
        """Read all records and check them.

        Returns
        -------
        Report or BudgetFault
            The report, or NO_ALLOTMENT if a read from the table service
            failed.
        """
        async for router_row in self._rows(ROUTER_PREFIX):
            self._serving.add(router_row.value['incarnation'])
        await self._read_allotments()
        await self._match_bills()
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
            self._latest_version = max(self._latest_version, page.version)
            for row in page.rows:
                yield row
            if not page.more:
                return
            scan = Scan(prefix, after=page.rows[-1].key)

    async def _read_allotments(self) -> None:
        async for row in self._rows(ACCOUNT_PREFIX):
            team = row.key.removeprefix(ACCOUNT_PREFIX)
            self._team_sums(team).account = decode_account(row.value)
        async for allotment_row in self._rows(ALLOTMENT_PREFIX):
            _, incarnation, team = allotment_row.key.split('/', 2)
            allotment = decode_allotment(allotment_row.value)
            self._team_sums(team).allotments[incarnation] = allotment

    def _team_sums(self, team: str) -> TeamSums:
        return self.report.teams.setdefault(team, TeamSums())

    async def _match_bills(self) -> None:
        # Bills and claims are both sorted by (team, key), so the two scans
        # are merged while they are read and neither is kept in memory whole.
        claims = self._rows(CLAIM_PREFIX)
        claim = await anext(claims, None)
        async for bill in self._rows(BILL_PREFIX):
            name = bill.key.removeprefix(BILL_PREFIX)
            while claim is not None and _request_name(claim) < name:
                self._add_open_claim(claim)
                claim = await anext(claims, None)
            claimed = claim is not None and _request_name(claim) == name
            self._add_bill(bill.value, claimed=claimed)
            if claimed:
                self.report.claims += 1
                claim = await anext(claims, None)
        while claim is not None:
            self._add_open_claim(claim)
            claim = await anext(claims, None)

    def _add_bill(self, bill: Mapping[str, object], *, claimed: bool) -> None:
        sums = self._team_sums(bill['team'])
        sums.billed += bill['tokens']
        sums.bills += 1
        if CLAIMED in bill['flags'] and not claimed:
            self.report.add_breach(
                audit_report.BILL_WITHOUT_CLAIM, bill['team'], bill['key']
            )

    def _add_open_claim(self, claim: Row) -> None:
        self.report.claims += 1
        self.report.claims_open += 1
        if len(self.report.open_claims) < _MAX_OPEN_CLAIMS:
            team, key = _request_name(claim).split('/', 1)
            holder = claim.value['holder']
            self.report.open_claims.append(
                OpenClaim(
                    team, key, holder, self._latest_version - claim.version
                ),
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
        sums = _refresh(before, rows)
        changed = sums != before
        self.report.teams[team] = sums
        self._add_stranded(team, sums)
        for invariant, detail in _find_breaches(sums, changed=changed):
            self.report.add_breach(invariant, team, detail)
        if changed:
            self.report.unjudged.append(team)

    def _add_stranded(self, team: str, sums: TeamSums) -> None:
        for name, allotment in sums.allotments.items():
            # Routers without a fixed address have no router row, as in a
            # test fleet on changing ports. If there are no such rows at all,
            # nothing shows which routers are gone, so all count as serving.
            serving = name in self._serving or not self._serving
            if allotment.outstanding and (allotment.closed or not serving):
                self.report.stranded.append(
                    StrandedTokens(
                        team,
                        name,
                        allotment.outstanding,
                        allotment.closed,
                        allotment.at,
                    ),
                )


def _request_name(claim: Row) -> str:
    return claim.key.removeprefix(CLAIM_PREFIX)


def _refresh(before: TeamSums, rows: tuple[Row, ...]) -> TeamSums:
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


def _find_breaches(sums: TeamSums, *, changed: bool) -> list[tuple[str, str]]:
    account = sums.account
    if account is None:
        return [(audit_report.ROWS_WITHOUT_ACCOUNT, f'{sums.bills} bills')]
    found = []
    if account.taken > account.prepaid:
        detail = f'taken {account.taken}, prepaid {account.prepaid}'
        found.append((audit_report.TAKEN_ABOVE_PREPAID, detail))
    for name, allotment in sums.allotments.items():
        if allotment.outstanding < 0:
            found.append((audit_report.ALLOTMENT_OVERSPENT, name))
    # The rows of one team are read again in one consistent read, so they
    # balance even under load, unless a router drew for the first time since.
    held = sums.held + account.folded
    if account.taken != held and not changed:
        detail = f'taken {account.taken}, held and folded {held}'
        found.append((audit_report.TAKEN_DIFFERS_FROM_HELD, detail))
    if sums.billed != sums.recorded and not changed:
        detail = f'bills {sums.billed}, recorded {sums.recorded}'
        found.append((audit_report.BILLS_DIFFER_FROM_SPEND, detail))
    return found
