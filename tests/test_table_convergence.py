"""Tables converge after random faults and never replace rows by older ones."""

import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.services.base import Scan
from balsamreach.table.edits import Edit
from balsamreach.wire.tables import TableRows
from tests.table_fleet import RouterNode, TableFleet

_STEPS = 60
_TEAMS = 6
_NAMES = ('a', 'b', 'c', 'd')


@attrs.define
class RandomEvents:
    """Applies random events to a fleet."""

    fleet: TableFleet
    rng: random.Random
    edits: int = 0

    async def apply_one(self) -> None:
        """Apply one random event."""
        actions = (
            self.edit,
            self.edit,
            self.read,
            self.inject_fault,
            self.cut,
            self.deliver,
        )
        await self.rng.choice(actions)()

    async def edit(self) -> None:
        """Create, change or delete a team through a random router."""
        self.edits += 1
        key = f'table/team/t{self.rng.randrange(_TEAMS)}'
        fields = {'weight': self.edits} if self.chance(7) else None
        edit = Edit(f'e{self.edits}', 'test', key, -1, fields)
        await self.random_router().parts.editor.apply(edit)

    async def read(self) -> None:
        """Let a random router poll."""
        await self.random_router().step()

    async def inject_fault(self) -> None:
        """Lose or duplicate some of the next messages."""
        network = self.fleet.network
        fault = self.rng.choice((network.lost, network.doubled))
        fault[TableRows] = self.rng.randrange(4)

    async def cut(self) -> None:
        """Heal all cuts, then cut some links at random."""
        self.fleet.network.heal()
        if self.chance(6):
            middle = self.rng.randrange(1, len(_NAMES))
            self.fleet.network.cut(_NAMES[:middle], _NAMES[middle:])
        for node in self.fleet.nodes:
            node.access.cut = self.chance(3)

    async def deliver(self) -> None:
        """Deliver the messages, sometimes newest first, and heartbeats."""
        newest_first = self.chance(5)
        await self.fleet.network.settle(newest_first=newest_first)
        await self.fleet.send_heartbeats()

    def chance(self, tenths: int) -> bool:
        """Return True with a probability of so many tenths."""
        return self.rng.randrange(10) < tenths

    def random_router(self) -> RouterNode:
        """Return a random router."""
        return self.rng.choice(self.fleet.nodes)


def _row_versions(node: RouterNode) -> dict[str, int]:
    versions = node.view.versions
    keys = (f'table/team/t{number}' for number in range(_TEAMS))
    return {key: versions.of(key) for key in keys}


class ConvergenceTest(unittest.IsolatedAsyncioTestCase):
    """Four routers under 60 random events, after which all faults end."""

    @parameterized.expand([(seed,) for seed in range(25)])
    async def test_rows_never_get_older_and_converge(self, seed):
        """Guards against reverted edits and routers that stay different.

        Edits, deletions, polls, cuts and lost or duplicated messages come in
        random order. A flaw in the comparison of log positions or row versions
        would show an older row, or differing rows at the end.
        """
        fleet = TableFleet()
        await fleet.start_routers(*_NAMES)
        events = RandomEvents(fleet, random.Random(seed))
        for _ in range(_STEPS):
            before = list(map(_row_versions, fleet.nodes))
            await events.apply_one()
            after = list(map(_row_versions, fleet.nodes))
            self.assert_no_older_rows(before, after)
        await self.end_faults(fleet)
        page = await fleet.platform.table.scan(Scan('table/'))
        expected = {row.key: row.value['weight'] for row in page.rows}
        for node in fleet.nodes:
            teams = node.view.teams.values()
            weights = {team.key: team.weight for team in teams}
            self.assertEqual(weights, expected)

    def assert_no_older_rows(self, before, after):
        """Assert that no router's row became older."""
        for old, new in zip(before, after, strict=True):
            for key, version in old.items():
                # A deleted row may be dropped, but never gets older.
                self.assertTrue(new[key] >= version or not new[key])

    async def end_faults(self, fleet):
        """End all faults; one router polls, the others get its rows."""
        fleet.network.heal()
        fleet.network.lost.clear()
        fleet.network.doubled.clear()
        for node in fleet.nodes:
            node.access.cut = False
        await fleet.nodes[0].step()
        for _ in range(3):
            await fleet.send_heartbeats()
