"""Whatever the net and the platform do, tables never go back and agree."""

import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.services.base import Scan
from balsamreach.table.edits import Edit
from balsamreach.wire.tables import TableRows
from tests.table_fleet import Station, TableFleet

_STEPS = 60
_TEAMS = 6
_NAMES = ('a', 'b', 'c', 'd')


@attrs.define
class Weather:
    """Draws the next thing that happens to a fleet."""

    fleet: TableFleet
    rng: random.Random
    edits: int = 0

    async def happen(self) -> None:
        """Let one thing happen."""
        happenings = (
            self.edit,
            self.edit,
            self.read,
            self.meet_fault,
            self.cut,
            self.deliver,
        )
        await self.rng.choice(happenings)()

    async def edit(self) -> None:
        """Change, make or delete a team through some router."""
        self.edits += 1
        key = f'table/team/t{self.rng.randrange(_TEAMS)}'
        fields = {'weight': self.edits} if self.happens(7) else None
        edit = Edit(f'e{self.edits}', 'test', key, -1, fields)
        await self.any().parts.editor.apply(edit)

    async def read(self) -> None:
        """Let some router read the log."""
        await self.any().step()

    async def meet_fault(self) -> None:
        """Lose or double some of the next messages."""
        fabric = self.fleet.fabric
        fault = self.rng.choice((fabric.lost, fabric.doubled))
        fault[TableRows] = self.rng.randrange(4)

    async def cut(self) -> None:
        """Cut routers from each other or the platform, or heal it all."""
        self.fleet.fabric.heal()
        if self.happens(6):
            middle = self.rng.randrange(1, len(_NAMES))
            self.fleet.fabric.cut(_NAMES[:middle], _NAMES[middle:])
        for station in self.fleet.stations:
            station.way.cut = self.happens(3)

    async def deliver(self) -> None:
        """Deliver what was told, in either order, and heartbeats."""
        newest_first = self.happens(5)
        await self.fleet.fabric.settle(newest_first=newest_first)
        await self.fleet.beat()

    def happens(self, tenths: int) -> bool:
        """Return true so many times out of ten."""
        return self.rng.randrange(10) < tenths

    def any(self) -> Station:
        """Return some router."""
        return self.rng.choice(self.fleet.stations)


def _versions(station: Station) -> dict[str, int]:
    versions = station.view.versions
    keys = (f'table/team/t{number}' for number in range(_TEAMS))
    return {key: versions.of(key) for key in keys}


class ConvergenceTest(unittest.IsolatedAsyncioTestCase):
    """Four routers under 60 random events, then peace."""

    @parameterized.expand([(seed,) for seed in range(25)])
    async def test_never_back_and_at_last_equal(self, seed):
        """An edit reverts at one router, or never gets to it.

        Symptom: two routers disagree about a team for good, or one shows an
        older row than it showed before. Events: edits, deletions, reads,
        cuts, losses and doubles in random order. Cause: any flaw in how
        positions and rows are compared.
        """
        fleet = TableFleet()
        await fleet.started(*_NAMES)
        weather = Weather(fleet, random.Random(seed))
        for _ in range(_STEPS):
            before = list(map(_versions, fleet.stations))
            await weather.happen()
            after = list(map(_versions, fleet.stations))
            self.assert_no_step_back(before, after)
        await self.make_peace(fleet)
        page = await fleet.platform.table.scan(Scan('table/'))
        wanted = {row.key: row.value['weight'] for row in page.rows}
        for station in fleet.stations:
            teams = station.view.teams.values()
            here = {team.key: team.weight for team in teams}
            self.assertEqual(here, wanted)

    def assert_no_step_back(self, before, after):
        """Assert that no router's row became older."""
        for old, new in zip(before, after, strict=True):
            for key, version in old.items():
                # A row that was deleted may be forgotten, never older.
                self.assertTrue(new[key] >= version or not new[key])

    async def make_peace(self, fleet):
        """Heal everything; one router reads, the others hear of it."""
        fleet.fabric.heal()
        fleet.fabric.lost.clear()
        fleet.fabric.doubled.clear()
        for station in fleet.stations:
            station.way.cut = False
        await fleet.stations[0].step()
        for _ in range(3):
            await fleet.beat()
