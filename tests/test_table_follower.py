"""Start and life of a router's table, with the platform up, down or cut."""

import asyncio
import unittest

from balsamreach.table.edits import Edit
from balsamreach.table.follower import IDLE_FACTOR
from balsamreach.table.readers import rank_in_zone
from balsamreach.table.snapshots import PREFIX
from tests.fake_net import FakeNet
from tests.table_fleet import TableFleet, edit


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """Routers that start while a table is there."""

    async def asyncSetUp(self):
        self.fleet = TableFleet()
        await self.fleet.started('a', 'b')
        self.a = self.fleet.stations[0]
        self.b = self.fleet.stations[1]
        await self.a.parts.editor.apply(edit('make', 0, prepaid=100))
        self.fleet.clock.seconds += 61
        for station in self.fleet.stations:
            await station.step()
        await self.fleet.beat()


class StartTest(FollowerTest):
    """What a router needs before it serves."""

    async def test_from_the_log(self):
        late = self.fleet.join('late')
        await late.step()
        self.assertTrue(late.view.complete)
        self.assertEqual(late.prepaid(), 100)

    async def test_cut_off_with_peers(self):
        """A router restarts in a zone that is cut off from the platform.

        Symptom: it would serve with the table of the snapshot, in which the
        team is not paused yet. Events: a snapshot is written, the team is
        paused, the zone is cut off, a router restarts. Cause: the object
        store's copy is older than what its neighbours have in force.
        """
        await self.a.parts.editor.apply(edit('pause', state='paused'))
        await self.a.step()
        await self.fleet.beat()
        late = self.fleet.join('late')
        late.way.cut = True
        await late.step()
        self.assertTrue(late.view.complete)
        self.assertEqual(late.team().state, 'paused')
        self.assertIsNone(late.parts.follower.age)

    async def test_takes_the_newest_of_its_neighbours(self):
        self.fleet.fabric.cut('a', 'b')
        await self.a.parts.editor.apply(edit('w', weight=5))
        await self.a.step()
        self.assertEqual(self.b.team().weight, 1)
        late = self.fleet.join('late')
        late.way.cut = True
        await late.step()
        self.assertEqual(late.team().weight, 5)

    async def test_reaches_nobody(self):
        """A router starts and reaches neither platform nor neighbours.

        Symptom: it must not call itself ready. Events: its host is cut off
        from all, it starts, later the cut heals. Cause: without a table it
        would refuse every team; with an old one it would bring back what
        operators changed.
        """
        late = self.fleet.join('late')
        late.way.cut = True
        self.fleet.fabric.cut(('late',), 'ab')
        await late.step()
        self.assertFalse(late.view.complete)
        late.way.cut = False
        await late.step()
        self.assertTrue(late.view.complete)

    async def test_snapshot_alone_is_not_enough(self):
        late = self.fleet.join('late')
        late.way.table_cut = True
        self.fleet.fabric.cut(('late',), 'ab')
        await late.step()
        self.assertEqual(late.prepaid(), 100)
        self.assertFalse(late.view.complete)

    async def test_neighbour_without_a_table_is_no_source(self):
        fleet = TableFleet()
        first = fleet.join('x')
        second = fleet.join('y')
        first.way.cut = True
        second.way.cut = True
        await first.step()
        await second.step()
        self.assertFalse(first.view.complete or second.view.complete)

    async def test_neighbour_with_a_snapshot_only_is_no_source(self):
        """Two routers restart while the table service is away.

        Symptom: both would serve the snapshot's old table. Events: each
        loads the snapshot, then asks the other, which has a table. Cause:
        that table was not brought up to date by anybody.
        """
        self.fleet.fabric.cut('ab', 'xy')
        first = self.fleet.join('x')
        second = self.fleet.join('y')
        for station in (first, second, first):
            station.way.table_cut = True
            await station.step()
        self.assertEqual(first.prepaid(), 100)
        self.assertFalse(first.view.complete or second.view.complete)

    async def test_refused_page_is_not_the_end_of_a_full_read(self):
        """A start under a rate limit reads the table page by page.

        Symptom: routers that all start at once never get ready. Events: a
        page is refused; the next look starts from the first page again.
        Cause: each look reads more than the limit leaves to it.
        """
        late = await self.start_page_by_page()
        self.assertTrue(late.view.complete)
        self.assertEqual(len(late.view.teams), 2501)

    async def test_age_of_a_full_read_counts_from_its_first_page(self):
        """Guards against edits between its pages that nobody looked for."""
        late = await self.start_page_by_page()
        self.assertEqual(late.parts.follower.age, 3)

    async def start_page_by_page(self):
        """Return a router that read a page in each of the last 3 s."""
        edits = [
            Edit(f'e{n}', 'a', f'table/team/t{n}', 0, {}) for n in range(2500)
        ]
        for start in range(0, 2500, 100):
            await self.a.parts.editor.apply_all(
                tuple(edits[start : start + 100]),
            )
        late = self.fleet.join('late')
        late.way.objects_cut = True
        self.fleet.fabric.cut(('late',), 'ab')
        weather = self.fleet.platform.weather
        weather.reads_per_s = 1
        for _ in range(3):
            await late.step()
            self.fleet.clock.seconds += 1
        return late


class GoOnTest(FollowerTest):
    """Edits while the platform is up, away, or reached by some only."""

    async def test_only_a_peer_reaches_the_platform(self):
        self.b.way.cut = True
        await self.a.parts.editor.apply(edit('w', weight=4))
        await self.b.step()
        await self.fleet.settle()
        self.assertEqual(self.b.team().weight, 4)

    async def test_edit_accepted_by_a_router_that_died_at_once(self):
        """The router that accepted an edit dies before it told anybody.

        Symptom: the edit would be committed and not in force. Events: the
        commit is applied, the router dies. Cause: only readers of the log
        learn of it then.
        """
        self.fleet.fabric.cut('a', 'b')
        await self.a.parts.editor.apply(edit('w', weight=4))
        self.fleet.fabric.kill('a')
        self.assertEqual(self.b.team().weight, 1)
        await self.b.step()
        self.assertEqual(self.b.team().weight, 4)

    async def test_import_leaves_turns_to_requests(self):
        """An import makes every open stream stand still.

        Symptom: all streams of all routers halt at the same time. Events:
        an operator imports thousands of rows. Cause: all rows of a page
        come into force in one turn of the event loop. In parts, the version
        must wait for the last, or a crash between would hide the rest.
        """
        self.fleet.fabric.cut('a', 'b')
        edits = tuple(
            Edit(f'e{n}', 'a', f'table/team/t{n:04}', 0, {}) for n in range(500)
        )
        for start in range(0, 500, 100):
            await self.a.parts.editor.apply_all(edits[start : start + 100])
        view = self.b.view
        before = view.version
        reading = asyncio.create_task(self.b.step())
        between = set()
        while not reading.done():
            await asyncio.sleep(0)
            between.add((len(view.teams), view.version))
        grown = {teams for teams, version in between if version == before}
        self.assertGreaterEqual(len(grown), 4)
        self.assertEqual(len(view.teams), 501)
        self.assertGreater(view.version, before)

    async def test_outage_leaves_the_table_in_force(self):
        self.fleet.platform.weather.down = True
        self.fleet.clock.seconds += 60
        await self.a.step()
        self.assertEqual(self.a.prepaid(), 100)
        self.assertEqual(self.a.parts.follower.age, 60)

    async def test_age_of_a_look_counts_from_its_question(self):
        """Guards against a late answer that passes for a new one."""
        self.b.way.between = self.wait_for_the_answer
        await self.b.step()
        self.assertEqual(self.b.parts.follower.age, 30)

    async def wait_for_the_answer(self):
        """Let time pass while an answer is on its way."""
        self.fleet.clock.seconds += 30

    async def test_confirmed_while_the_service_answers(self):
        """Guards against a healthy router that can't deny anything."""
        follower = self.b.parts.follower
        longest = follower.cfg.table.poll_interval * IDLE_FACTOR
        for _ in range(3):
            await self.b.step()
            self.fleet.clock.seconds += longest
            self.assertTrue(follower.is_confirmed())

    async def test_not_confirmed_by_peers_alone(self):
        """Guards against denials by a table that only a peer has told."""
        late = self.fleet.join('late')
        late.way.cut = True
        await late.step()
        self.assertTrue(late.view.complete)
        self.assertFalse(late.parts.follower.is_confirmed())
        late.way.cut = False
        await late.step()
        self.assertTrue(late.parts.follower.is_confirmed())

    async def test_confirmed_no_longer_than_edits_take(self):
        """Guards against denials once an edit must be in force elsewhere."""
        await self.b.step()
        self.fleet.platform.weather.down = True
        self.fleet.clock.seconds += 5
        await self.b.step()
        self.assertFalse(self.b.parts.follower.is_confirmed())

    async def test_commit_between_two_pages_of_a_full_read(self):
        """A row changes while the table is read whole.

        Symptom: the change would be missed for good. Events: page one is
        read, a row of it changes, page two is read. Cause: the last page's
        number covers commits that the first page did not see.
        """
        edits = tuple(
            Edit(f'e{n}', 'a', f'table/team/t{n:04}', 0, {})
            for n in range(1500)
        )
        for start in range(0, 1500, 100):
            await self.a.parts.editor.apply_all(edits[start : start + 100])
        late = self.fleet.join('late')
        self.fleet.fabric.cut(('late',), 'ab')
        late.way.objects_cut = True
        change = Edit('c', 'a', 'table/team/t0000', -1, {'weight': 9})
        late.way.between = lambda: self.a.parts.editor.apply(change)
        await late.step()
        await late.step()
        self.assertEqual(late.team('t0000').weight, 9)


class PaceTest(FollowerTest):
    """How often routers look."""

    async def test_readers_of_a_zone(self):
        fabric = FakeNet()
        nets = [fabric.join(f'r{n}') for n in range(30)]
        other = fabric.join('elsewhere', 'zone-b')
        ranks = sorted(rank_in_zone(net) for net in nets)
        self.assertEqual(ranks, list(range(30)))
        self.assertEqual(rank_in_zone(other), 0)
        first = min(nets, key=rank_in_zone)
        fabric.kill(first.me.incarnation)
        left = [net for net in nets if net is not first]
        self.assertEqual(min(map(rank_in_zone, left)), 0)

    async def test_idle_routers_look_seldom(self):
        for number in range(6):
            self.fleet.join(f'r{number}')
        pauses = []
        for station in self.fleet.stations:
            await station.step()
            before = self.fleet.clock.seconds
            await station.parts.follower.pause()
            pauses.append(self.fleet.clock.seconds - before)
        interval = 0.5
        quick = [pause for pause in pauses if pause <= interval]
        self.assertEqual(len(quick), 2)
        self.assertLessEqual(max(pauses), interval * IDLE_FACTOR)

    async def test_start_in_an_outage_slows_down(self):
        late = self.fleet.join('late')
        late.way.cut = True
        self.fleet.fabric.cut(('late',), 'ab')
        pauses = []
        for _ in range(6):
            await late.step()
            before = self.fleet.clock.seconds
            await late.parts.follower.pause()
            pauses.append(self.fleet.clock.seconds - before)
        self.assertGreater(pauses[-1], 4 * pauses[0])


class SnapshotPaceTest(FollowerTest):
    """Who writes snapshots, and when."""

    async def test_one_router_of_the_zone_writes_when_much_changed(self):
        edits = tuple(
            Edit(f'e{n}', 'a', f'table/team/t{n}', 0, {}) for n in range(600)
        )
        for start in range(0, 600, 100):
            await self.a.parts.editor.apply_all(edits[start : start + 100])
        self.fleet.clock.seconds += 61
        for station in self.fleet.stations:
            await station.step()
        names = await self.fleet.platform.objects.names(PREFIX)
        version = self.a.view.version
        self.assertEqual(names[-1], f'{PREFIX}{version:020d}')
        written = sum(
            writer.metrics.counted('balsamreach_table_snapshots_written_total')
            for writer in self.fleet.stations
        )
        self.assertEqual(written, len(names))
        self.fleet.clock.seconds += 61
        await self.a.parts.editor.apply(edit('w', weight=3))
        for station in self.fleet.stations:
            await station.step()
        again = await self.fleet.platform.objects.names(PREFIX)
        self.assertEqual(again, names)
