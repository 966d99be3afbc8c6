"""Closes a dead router's allotments on an operator's word."""

import attrs

from balsamreach.budget.closing import AllotmentCloser
from balsamreach.budget.closing_plan import ClosingSpec
from balsamreach.budget.faults import (
    NO_ALLOTMENT,
    STILL_LISTED,
    BudgetFault,
)
from balsamreach.budget.incarnations import ROUTER_PREFIX, Seating, live_check
from balsamreach.budget.leftovers import Leftovers
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
    """What came back.

    Parameters
    ----------
    returned : dict of str to int
        Tokens by team that can be drawn again.
    kept : int
        Tokens that stay in closed rows because borrowers may hold them.
    """

    returned: dict[str, int]
    kept: int


@attrs.frozen
class Releaser:
    """Releases what a router holds whose address nobody serves any more.

    No process can prove that a router is dead if none follows it on its
    address. An operator may know; the host list has to agree. A holder that
    lives all the same finds its rows closed and spends nothing more of them.

    Parameters
    ----------
    service : TableService
        Where allotments and the rows of addresses are.
    hosts : HostList
        Must not list the router any more.
    clock : Clock
        Time of the record.
    """

    service: TableService
    hosts: HostList
    clock: Clock

    async def release(
        self, incarnation: str, by: str
    ) -> Released | BudgetFault:
        """Close all allotments of an incarnation, for good.

        Parameters
        ----------
        incarnation : str
            Whose; a second release finishes what a broken off one left.
        by : str
            Operator who says that it is dead.

        Returns
        -------
        Released or BudgetFault
            STILL_LISTED if the host list shows the router; NO_ALLOTMENT if
            the platform could not be reached.
        """
        seat = await self._seat(incarnation)
        if isinstance(seat, BudgetFault):
            return seat
        fault = await self._look_up(incarnation, seat)
        fault = fault or await self._enter(incarnation, seat, by)
        if fault is not None:
            return fault
        return await self._close(incarnation)

    async def _seat(self, incarnation: str) -> Row | BudgetFault | None:
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

    async def _look_up(
        self,
        incarnation: str,
        seat: Row | None,
    ) -> BudgetFault | None:
        hosts = await self.hosts.hosts()
        if isinstance(hosts, PlatformFault):
            return NO_ALLOTMENT.because(f'host list: {hosts.code}')
        address = '' if seat is None else seat.key.removeprefix(ROUTER_PREFIX)
        for host in hosts:
            if incarnation == host.incarnation or address == host.address:
                return STILL_LISTED.because(
                    f'the host list shows {host.address} as {host.state}',
                )
        return None

    async def _enter(
        self,
        incarnation: str,
        seat: Row | None,
        by: str,
    ) -> BudgetFault | None:
        # The row of the address comes first. Were an allotment closed while
        # the row still named the holder, a holder that wakes then would
        # find itself in office and draw anew for other teams.
        record = {'by': by, 'at': self.clock.wall()}
        writes = [Write(RELEASE_PREFIX + incarnation, record)]
        checks = []
        if seat is not None:
            writes.append(Write(seat.key, attrs.asdict(_vacated(seat))))
            checks.append(live_check(seat))
        outcome = await self.service.commit(
            Commit(tuple(writes), tuple(checks)),
        )
        if isinstance(outcome, PlatformFault):
            return NO_ALLOTMENT.because(f'table service: {outcome.code}')
        return None

    async def _close(self, incarnation: str) -> Released | BudgetFault:
        closer = AllotmentCloser(self.service)
        teams = await closer.open_teams(incarnation)
        if isinstance(teams, BudgetFault):
            return teams
        returned: dict[str, int] = {}
        kept = 0
        for team in teams:
            closed = await closer.close(ClosingSpec(incarnation, team))
            if isinstance(closed, BudgetFault):
                return closed
            returned[team] = closed.returned
            kept += closed.kept
        fault = await Leftovers(self.service, self.clock).note(incarnation)
        fault = fault or await self._strike(incarnation)
        if fault is not None:
            return NO_ALLOTMENT.because(f'table service: {fault.code}')
        return Released(returned, kept)

    async def _strike(self, incarnation: str) -> PlatformFault | None:
        # A vacated row that goes on naming it would count as allotments that
        # wait to be closed.
        rows = await scan_all(self.service, ROUTER_PREFIX)
        if isinstance(rows, PlatformFault):
            return rows
        for row in rows:
            if incarnation in row.value['before']:
                return await self._replace(row, incarnation)
        return None

    async def _replace(
        self,
        row: Row,
        incarnation: str,
    ) -> PlatformFault | None:
        seat = Seating(**row.value)
        left = tuple(name for name in seat.before if name != incarnation)
        seat = attrs.evolve(seat, before=left)
        gone = not (seat.incarnation or left)
        write = Write(row.key, None if gone else attrs.asdict(seat))
        outcome = await self.service.commit(
            Commit((write,), (live_check(row),)),
        )
        return outcome if isinstance(outcome, PlatformFault) else None


def _vacated(seat: Row) -> Seating:
    held = Seating(**seat.value)
    # A later router on the address still has to look after all of them: this
    # release may break off before every allotment is closed.
    before = (*held.before, held.incarnation)
    return Seating('', held.started, before)
