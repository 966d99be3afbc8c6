"""What the scenarios with callers share: the fleet and the audit."""

import asyncio
from typing import Any

import attrs

from balsamreach.budget.account import Allotment, allotment_key, encode_record
from balsamreach.services.base import Commit, Write
from balsamreach.table.rows import PLAIN_SERVICE, TargetRow
from bench import probe
from bench.audit import figures_of, read_books, runs_of
from bench.baselines import central_counter
from bench.callers import Ask, Callers, Outcome
from bench.fleet import ENOUGH, engine_row, fetch, team
from bench.load import Load
from bench.meter import Meter
from bench.probe import Probe
from bench.processes import Process
from bench.progress import Progress
from bench.report import Report
from bench.run import Run
from bench.series import Series

_TEAMS = ('team-a', 'team-b', 'team-c')
_BILL_TRIES = 24
_BILL_STEP_S = 0.5


@attrs.define
class Setup:
    """The processes and rows that a scenario starts from.

    Parameters
    ----------
    run : Run
        The run.
    prepaid : dict of str to int
        Budget by team.
    """

    run: Run
    prepaid: dict[str, int]
    engines: list[Process] = attrs.field(factory=list)
    desk: Process | None = None
    meter: Meter = attrs.field(init=False)
    progress: Progress = attrs.field(init=False)
    probe: Probe | None = None

    def __attrs_post_init__(self) -> None:
        """Set up what looks on."""
        self.meter = Meter(self.run.fleet)
        self.progress = Progress(self.run)

    @property
    def targets(self) -> list[Process]:
        """All targets."""
        return [*self.engines, self.desk]

    def load(self, rate: float, **options: Any) -> Load:
        """Return load on all routers."""
        shares = dict.fromkeys(self.prepaid, 1.0)
        given = {'teams': shares, 'rate': rate} | options
        load = Load(self.run.rng, list(self.run.fleet.routers), **given)
        self.progress.loads.append(load)
        return load

    async def begin(self) -> None:
        """Begin to measure."""
        await self.meter.begin()
        self.progress.start()
        self.probe = Probe(self.run, self.engines[-1])
        self.probe.start()

    async def kill(self, router: Process) -> None:
        """Kill a router."""
        self.run.say(f'{router.name} is killed')
        await self.meter.note(router)
        await router.kill()

    async def end(self) -> None:
        """Stop measuring; the rest is for the audit."""
        await self.probe.stop()
        await self.progress.stop()
        await self.meter.end()

    async def report(self, outcomes: list[Outcome], **more: Any) -> Report:
        """Let the routers leave and compare what is recorded with it."""
        fleet = self.run.fleet
        await self.end()
        self.run.say('routers leave')
        alive = [router for router in fleet.routers if router.alive]
        await asyncio.gather(*(router.leave() for router in alive))
        if self.run.sabotage:
            await _overspend(self.run, self.prepaid)
        books = await read_books(fleet.table)
        report = Report(self.run.name, self.run.seed)
        report.figures |= figures_of(outcomes, books)
        report.figures |= await runs_of(outcomes, self.targets)
        self._add_measured(report, outcomes)
        report.figures |= more
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
    """Start targets, fill the table and start a router for each zone."""
    setup = Setup(run, prepaid or dict.fromkeys(_TEAMS, ENOUGH))
    fleet = run.fleet
    for number in range(engines):
        zone = zones[number % len(zones)]
        engine = await fleet.engine('--zone', zone, '--slots', '64')
        setup.engines.append(engine)
        row = engine_row(f'engine-{number}', engine.address, zone=zone)
        await fleet.put(row)
    setup.desk = await fleet.service('--delay-ms', '20')
    await fleet.put(_desk_row(setup.desk))
    await fleet.put(*(team(name, most) for name, most in setup.prepaid.items()))
    await fleet.put(team(probe.TEAM))
    run.say(f'{len(zones)} routers start')
    for zone in zones:
        await fleet.router(zone, **settings)
    return setup


async def warm(setup: Setup) -> None:
    """Let every router draw for every team, and begin to measure."""
    callers = Callers()
    for router in setup.run.fleet.routers:
        for name in setup.prepaid:
            ask = Ask(name, f'warm-{name}-{router.name}')
            await callers.ask(ask, router)
    await setup.begin()


async def wait_for_bills(setup: Setup, outcomes: list[Outcome]) -> None:
    """Wait until the bills of a killed router are recorded by another.

    Nobody promises when; that they come at all is for the audit to see.
    """
    await setup.end()
    setup.run.say('bills of the killed routers are waited for')
    table = setup.run.fleet.table
    for _ in range(setup.run.scale(_BILL_TRIES, _BILL_TRIES // 4)):
        books = await read_books(table)
        if not figures_of(outcomes, books)['missing_bills']:
            return
        await asyncio.sleep(_BILL_STEP_S)


async def weather(run: Run, **settings: Any) -> None:
    """Change how the platform behaves."""
    if 'down' in settings:
        change = run.lose_platform if settings['down'] else run.regain_platform
        change()
    await fetch(f'http://{run.fleet.platform.address}/control', body=settings)


def _desk_row(desk: Process) -> TargetRow:
    return TargetRow(
        name='desk-0',
        address=desk.address,
        zone='zone-a',
        service='desk',
        kind=PLAIN_SERVICE,
        concurrency=1000,
        non_idempotent=('confirmations',),
    )


async def _overspend(run: Run, prepaid: dict[str, int]) -> None:
    """Record spend that nobody paid for, as a faulty router would."""
    writes = tuple(
        Write(
            allotment_key('sabotage', name),
            encode_record(Allotment(granted=most, settled=most + 1)),
        )
        for name, most in prepaid.items()
    )
    await run.fleet.table.commit(Commit(writes))
