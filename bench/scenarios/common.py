"""Setup, measurement and audit shared by the scenarios with callers."""

import asyncio
from typing import Any

import attrs

from balsamreach.budget.account import Allotment, allotment_key, encode_record
from balsamreach.services.base import Commit, Write
from balsamreach.table.rows import PLAIN_SERVICE, TargetRow
from bench import probe
from bench.audit import outcome_figures, read_books, run_figures
from bench.baselines import central_counter
from bench.callers import CallerClient, CallerRequest, Outcome
from bench.fleet import AMPLE_TOKENS, engine_row, fetch, team
from bench.load import Load
from bench.meter import Meter
from bench.probe import Probe
from bench.processes import Process
from bench.progress import Progress
from bench.report import Report
from bench.run import Run
from bench.series import Series

_DEFAULT_TEAMS = ('team-a', 'team-b', 'team-c')
_BILL_TRIES = 24
_BILL_POLL_S = 0.5


@attrs.define
class Setup:
    """Processes, table rows and measurements of one scenario run.

    Parameters
    ----------
    run : Run
        The scenario run.
    prepaid : dict of str to int
        Prepaid tokens by team.
    engines : list of Process
        Stand-in engines.
    service : Process or None
        Stand-in plain service.
    meter : Meter
        Measures CPU time and control traffic.
    progress : Progress
        Prints the progress table.
    probe : Probe or None
        Compares direct and routed requests; set by `start_measuring`.
    """

    run: Run
    prepaid: dict[str, int]
    engines: list[Process] = attrs.field(factory=list)
    service: Process | None = None
    meter: Meter = attrs.field(init=False)
    progress: Progress = attrs.field(init=False)
    probe: Probe | None = None

    def __attrs_post_init__(self) -> None:
        """Create the meter and the progress table."""
        self.meter = Meter(self.run.fleet)
        self.progress = Progress(self.run)

    @property
    def targets(self) -> list[Process]:
        """All engines and the plain service."""
        return [*self.engines, self.service]

    def load(self, rate: float, **options: Any) -> Load:
        """Create a load on all routers and add it to the progress table.

        Parameters
        ----------
        rate : float
            Requests per second.
        options : Any
            Other parameters of `Load`; by default all teams have equal
            shares.
        """
        shares = dict.fromkeys(self.prepaid, 1.0)
        given = {'teams': shares, 'rate': rate} | options
        load = Load(self.run.rng, list(self.run.fleet.routers), **given)
        self.progress.loads.append(load)
        return load

    async def start_measuring(self) -> None:
        """Start the meter, the progress table and the probe."""
        await self.meter.begin()
        self.progress.start()
        self.probe = Probe(self.run, self.engines[-1])
        self.probe.start()

    async def kill(self, router: Process) -> None:
        """Read the counters of a router, then kill it."""
        self.run.print_progress(f'{router.name} is killed')
        await self.meter.read_last(router)
        await router.kill()

    async def stop_measuring(self) -> None:
        """Stop the probe, the progress table and the meter."""
        await self.probe.stop()
        await self.progress.stop()
        await self.meter.end()

    async def report(
        self, outcomes: list[Outcome], **extra_figures: Any
    ) -> Report:
        """Shut the routers down and audit their recorded spend.

        Parameters
        ----------
        outcomes : list of Outcome
            Outcomes of all requests of the load.
        more : Any
            Further figures for the report.

        Returns
        -------
        Report
            Figures, baseline and series of the run.
        """
        fleet = self.run.fleet
        await self.stop_measuring()
        self.run.print_progress('routers shut down')
        alive = [router for router in fleet.routers if router.alive]
        await asyncio.gather(*(router.shut_down() for router in alive))
        if self.run.sabotage:
            await _overspend(self.run, self.prepaid)
        books = await read_books(fleet.table)
        report = Report(self.run.name, self.run.seed)
        report.figures |= outcome_figures(outcomes, books)
        report.figures |= await run_figures(outcomes, self.targets)
        self._add_measured(report, outcomes)
        report.figures |= extra_figures
        return report

    def _add_measured(self, report: Report, outcomes: list[Outcome]) -> None:
        report.figures |= self.meter.figures(len(outcomes))
        added, direct = self.probe.figures()
        report.figures |= added
        report.baseline |= central_counter(
            outcomes,
            self.prepaid,
            self.run.outages,
        )
        report.baseline |= direct
        report.series = Series(
            began=self.run.began,
            outcomes=outcomes,
            direct_s=self.probe.direct,
            routed_s=self.probe.routed,
            outages=self.run.outages,
        )


async def set_up(
    run: Run,
    zones: tuple[str, ...] = ('zone-a', 'zone-a'),
    prepaid: dict[str, int] | None = None,
    engines: int = 2,
    **settings: Any,
) -> Setup:
    """Start targets, write the table rows and start one router per zone.

    Parameters
    ----------
    run : Run
        The scenario run.
    zones : tuple of str
        Availability zones of the routers; engines are assigned to them in
        turn.
    prepaid : dict of str to int, optional
        Prepaid tokens by team; three teams with ample budgets by default.
    engines : int
        Number of engines.
    settings : Any
        Router settings, with ``__`` for the dot in a name.

    Returns
    -------
    Setup
        The started processes; nothing is measured yet.
    """
    setup = Setup(run, prepaid or dict.fromkeys(_DEFAULT_TEAMS, AMPLE_TOKENS))
    fleet = run.fleet
    for number in range(engines):
        zone = zones[number % len(zones)]
        engine = await fleet.engine('--zone', zone, '--slots', '64')
        setup.engines.append(engine)
        row = engine_row(f'engine-{number}', engine.address, zone=zone)
        await fleet.write_rows(row)
    setup.service = await fleet.service('--delay-ms', '20')
    await fleet.write_rows(_service_row(setup.service))
    await fleet.write_rows(
        *(
            team(name, prepaid_tokens)
            for name, prepaid_tokens in setup.prepaid.items()
        )
    )
    await fleet.write_rows(team(probe.TEAM))
    run.print_progress(f'starting {len(zones)} routers')
    for zone in zones:
        await fleet.router(zone, **settings)
    return setup


async def warm_up(setup: Setup) -> None:
    """Send a request of every team to every router, then start measuring.

    Each router draws its first budget before the measurement begins.
    """
    callers = CallerClient()
    for router in setup.run.fleet.routers:
        for name in setup.prepaid:
            request = CallerRequest(name, f'warm-{name}-{router.name}')
            await callers.send(request, router)
    await setup.start_measuring()


async def wait_for_bills(setup: Setup, outcomes: list[Outcome]) -> None:
    """Stop measuring and wait until the bills of killed routers are recorded.

    Other routers record them, without a deadline. So this returns after a
    number of tries in any case, and the audit reports missing bills.
    """
    await setup.stop_measuring()
    setup.run.print_progress('waiting for the bills of killed routers')
    table = setup.run.fleet.table
    for _ in range(setup.run.scale(_BILL_TRIES, _BILL_TRIES // 4)):
        books = await read_books(table)
        if not outcome_figures(outcomes, books)['missing_bills']:
            return
        await asyncio.sleep(_BILL_POLL_S)


async def configure_platform(run: Run, **settings: Any) -> None:
    """Change the behaviour of the stand-in platform.

    Parameters
    ----------
    run : Run
        The scenario run; records the outage if ``down`` is given.
    settings : Any
        Fields of the platform's control interface, e.g. ``down``.
    """
    if 'down' in settings:
        change = run.begin_outage if settings['down'] else run.end_outage
        change()
    await fetch(f'http://{run.fleet.platform.address}/control', body=settings)


def _service_row(service: Process) -> TargetRow:
    return TargetRow(
        name='desk-0',
        address=service.address,
        zone='zone-a',
        service='desk',
        kind=PLAIN_SERVICE,
        concurrency=1000,
        non_idempotent=('confirmations',),
    )


async def _overspend(run: Run, prepaid: dict[str, int]) -> None:
    """Record spend above the prepaid tokens, as a faulty router would."""
    writes = tuple(
        Write(
            allotment_key('sabotage', name),
            encode_record(
                Allotment(granted=prepaid_tokens, settled=prepaid_tokens + 1)
            ),
        )
        for name, prepaid_tokens in prepaid.items()
    )
    await run.fleet.table.commit(Commit(writes))
