"""Closes the allotments of a dead router at an operator's request."""

import attrs

from balsamreach.budget.closing import AllotmentCloser
from balsamreach.budget.closing_plan import ClosingSpec
from balsamreach.budget.faults import (
    NO_ALLOTMENT,
    STILL_LISTED,
    BudgetFault,
)
from balsamreach.budget.incarnations import (
    ROUTER_PREFIX,
    RouterEntry,
    unchanged_check,
)
from balsamreach.budget.stranded import StrandedAllotments
from balsamreach.clock import Clock
from balsamreach.services.base import (
    Commit,
    HostList,
    Row,
    Scan,
    TableService,
    Write,
)
from balsamreach.services.faults import PlatformFault
from balsamreach.services.scanning import scan_all

RELEASE_PREFIX = 'release/'


@attrs.frozen
class Released:
    """The result of a release.

    Parameters
    ----------
    returned : dict of str to int
        Tokens returned to accounts, by team.
    kept : int
        Tokens that stay in closed allotments because borrowers may hold
        them.
    """

    returned: dict[str, int]
    kept: int


@attrs.frozen
class Releaser:
    """Releases the tokens of a router whose address is no longer served.

    Without a successor at the same address no process can prove that a
    router is dead. An operator may know it, and the host list has to agree.
    A router that is alive all the same finds its allotments closed and
    spends no more of their tokens.

    Parameters
    ----------
    service : TableService
        Service that stores allotments and address entries.
    hosts : HostList
        List of hosts; it must not contain the router any more.
    clock : Clock
        Gives the time stored with the release.
    """

    service: TableService
    hosts: HostList
    clock: Clock

    async def release(
        self, incarnation: str, by: str
    ) -> Released | BudgetFault:
        """Close all allotments of an incarnation permanently.

        An interrupted release can be completed by calling this again.

        Parameters
        ----------
        incarnation : str
            Incarnation whose allotments to close.
        by : str
            Operator who states that it is dead.

        Returns
        -------
        Released or BudgetFault
            STILL_LISTED if the host list contains the router; NO_ALLOTMENT
            if the platform is unavailable.
        """
        row = await self._find_router_row(incarnation)
        if isinstance(row, BudgetFault):
            return row
        fault = await self._check_hosts(incarnation, row)
        fault = fault or await self._record_release(incarnation, row, by)
        if fault is not None:
            return fault
        return await self._close_allotments(incarnation)

    async def _find_router_row(
        self, incarnation: str
    ) -> Row | BudgetFault | None:
        scan = Scan(ROUTER_PREFIX)
        while True:
            page = await self.service.scan(scan)
            if isinstance(page, PlatformFault):
                return NO_ALLOTMENT.because(f'table service: {page.code}')
            for row in page.rows:
                if row.value['incarnation'] == incarnation:
                    return row
            if not page.more:
                return None
            scan = Scan(ROUTER_PREFIX, after=page.rows[-1].key)

    async def _check_hosts(
        self,
        incarnation: str,
        row: Row | None,
    ) -> BudgetFault | None:
        hosts = await self.hosts.hosts()
        if isinstance(hosts, PlatformFault):
            return NO_ALLOTMENT.because(f'host list: {hosts.code}')
        address = '' if row is None else row.key.removeprefix(ROUTER_PREFIX)
        for host in hosts:
            if incarnation == host.incarnation or address == host.address:
                return STILL_LISTED.because(
                    f'the host list shows {host.address} as {host.state}',
                )
        return None

    async def _record_release(
        self,
        incarnation: str,
        row: Row | None,
        by: str,
    ) -> BudgetFault | None:
        # The address entry is changed first. If an allotment were closed while
        # the entry still named its holder, a holder that resumed just then
        # would consider itself current and draw tokens for other teams.
        record = {'by': by, 'at': self.clock.wall()}
        writes = [Write(RELEASE_PREFIX + incarnation, record)]
        checks = []
        if row is not None:
            writes.append(Write(row.key, attrs.asdict(_vacated_entry(row))))
            checks.append(unchanged_check(row))
        outcome = await self.service.commit(
            Commit(tuple(writes), tuple(checks)),
        )
        if isinstance(outcome, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return None

    async def _close_allotments(
        self, incarnation: str
    ) -> Released | BudgetFault:
        closer = AllotmentCloser(self.service)
        teams = await closer.open_teams(incarnation)
        if isinstance(teams, BudgetFault):
            return teams
        returned: dict[str, int] = {}
        kept = 0
        for team in teams:
            result = await closer.close(ClosingSpec(incarnation, team))
            if isinstance(result, BudgetFault):
                return result
            returned[team] = result.returned
            kept += result.kept
        fault = await StrandedAllotments(
            self.service, self.clock
        ).record_lender(incarnation)
        fault = fault or await self._remove_predecessor(incarnation)
        if fault is not None:
            return NO_ALLOTMENT.because(f'table service: {fault.code}')
        return Released(returned, kept)

    async def _remove_predecessor(
        self, incarnation: str
    ) -> PlatformFault | None:
        # If the entry kept naming the incarnation, it would count as one whose
        # allotments are still to be closed.
        rows = await scan_all(self.service, ROUTER_PREFIX)
        if isinstance(rows, PlatformFault):
            return rows
        for row in rows:
            if incarnation in row.value['before']:
                return await self._write_without(row, incarnation)
        return None

    async def _write_without(
        self,
        row: Row,
        incarnation: str,
    ) -> PlatformFault | None:
        entry = RouterEntry(**row.value)
        remaining = tuple(name for name in entry.before if name != incarnation)
        entry = attrs.evolve(entry, before=remaining)
        is_unused = not (entry.incarnation or remaining)
        write = Write(row.key, None if is_unused else attrs.asdict(entry))
        outcome = await self.service.commit(
            Commit((write,), (unchanged_check(row),)),
        )
        return outcome if isinstance(outcome, PlatformFault) else None


def _vacated_entry(row: Row) -> RouterEntry:
    entry = RouterEntry(**row.value)
    # The incarnation becomes a predecessor, so that a later router at the
    # address closes its allotments if this release is interrupted.
    before = (*entry.before, entry.incarnation)
    return RouterEntry('', entry.started, before)
