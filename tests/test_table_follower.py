"""A router's table from start-up on, with the platform up, down or cut off."""

import asyncio
import unittest

from balsamreach.table.edits import Edit
from balsamreach.table.follower import NON_READER_POLL_FACTOR
from balsamreach.table.reader_rank import rank_in_zone
from balsamreach.table.snapshots import SNAPSHOT_PREFIX
from tests.fake_net import FakeNet
from tests.table_fleet import TableFleet, edit


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """Routers that start after a table was made."""

    async def asyncSetUp(self):
        self.fleet = TableFleet()
        await self.fleet.start_routers('a', 'b')
        self.a = self.fleet.nodes[0]
        self.b = self.fleet.nodes[1]
        await self.a.parts.editor.apply(edit('make', 0, prepaid=100))
        self.fleet.clock.seconds += 61
        for node in self.fleet.nodes:
            await node.step()
        await self.fleet.send_heartbeats()


class StartTest(FollowerTest):
    """Conditions under which a router becomes ready."""

    async def test_reads_the_log(self):
        late = self.fleet.join('late')
        await late.step()
        self.assertTrue(late.view.complete)
        self.assertEqual(late.prepaid(), 100)

    async def test_catches_up_with_neighbours(self):
        """Guards against a start with a table older than the neighbours'.

        A snapshot is written, then the team is paused and the router restarts
        in a zone that is cut off from the platform. The snapshot shows the team
        as active.
        """
        await self.a.parts.editor.apply(edit('pause', state='paused'))
        await self.a.step()
        await self.fleet.send_heartbeats()
        late = self.fleet.join('late')
        late.access.cut = True
        await late.step()
        self.assertTrue(late.view.complete)
        self.assertEqual(late.team().state, 'paused')
        self.assertIsNone(late.parts.follower.confirmed_age)

    async def test_catches_up_with_the_newest_neighbour(self):
        self.fleet.network.cut('a', 'b')
        await self.a.parts.editor.apply(edit('w', weight=5))
        await self.a.step()
        self.assertEqual(self.b.team().weight, 1)
        late = self.fleet.join('late')
        late.access.cut = True
        await late.step()
        self.assertEqual(late.team().weight, 5)

    async def test_not_ready_while_cut_off_from_all(self):
        """Guards against a router that is ready without a current table.

        It starts cut off from the platform and from all neighbours, and later
        the cut heals. Without a table it would refuse every team; with an old
        one it would revert operators' edits.
        """
        late = self.fleet.join('late')
        late.access.cut = True
        self.fleet.network.cut(('late',), 'ab')
        await late.step()
        self.assertFalse(late.view.complete)
        late.access.cut = False
        await late.step()
        self.assertTrue(late.view.complete)

    async def test_snapshot_alone_is_not_enough(self):
        late = self.fleet.join('late')
        late.access.table_cut = True
        self.fleet.network.cut(('late',), 'ab')
        await late.step()
        self.assertEqual(late.prepaid(), 100)
        self.assertFalse(late.view.complete)

    async def test_neighbour_without_a_table_is_not_used(self):
        fleet = TableFleet()
        first = fleet.join('x')
        second = fleet.join('y')
        first.access.cut = True
        second.access.cut = True
        await first.step()
        await second.step()
        self.assertFalse(first.view.complete or second.view.complete)

    async def test_neighbour_with_only_a_snapshot_is_not_used(self):
        """Guards against routers that trust each other's snapshot.

        The table service is away. Each router loads the snapshot and then asks
        the other one, whose table is no newer.
        """
        self.fleet.network.cut('ab', 'xy')
        first = self.fleet.join('x')
        second = self.fleet.join('y')
        for node in (first, second, first):
            node.access.table_cut = True
            await node.step()
        self.assertEqual(first.prepaid(), 100)
        self.assertFalse(first.view.complete or second.view.complete)

    async def test_full_read_resumes_after_a_refused_page(self):
        """Guards against routers that never become ready under a rate limit.

        All start at once and the service refuses a page. If each poll began
        with the first page again, it would read more than the limit allows.
        """
        late = await self.start_under_rate_limit()
        self.assertTrue(late.view.complete)
        self.assertEqual(len(late.view.teams), 2501)

    async def test_age_of_a_full_read_starts_at_its_first_page(self):
        """Guards against missed edits that were made between two pages."""
        late = await self.start_under_rate_limit()
        self.assertEqual(late.parts.follower.confirmed_age, 3)

    async def start_under_rate_limit(self):
        """Return a router that read one page per second for 3 s."""
        edits = [
            Edit(f'e{n}', 'a', f'table/team/t{n}', 0, {}) for n in range(2500)
        ]
        for start in range(0, 2500, 100):
            await self.a.parts.editor.apply_all(
                tuple(edits[start : start + 100]),
            )
        late = self.fleet.join('late')
        late.access.objects_cut = True
        self.fleet.network.cut(('late',), 'ab')
        weather = self.fleet.platform.weather
        weather.reads_per_s = 1
        for _ in range(3):
            await late.step()
            self.fleet.clock.seconds += 1
        return late


class UpdateTest(FollowerTest):
    """Edits while all, some or no routers reach the platform."""

    async def test_only_a_neighbour_reaches_the_platform(self):
        self.b.access.cut = True
        await self.a.parts.editor.apply(edit('w', weight=4))
        await self.b.step()
        await self.fleet.settle()
        self.assertEqual(self.b.team().weight, 4)

    async def test_edit_of_a_router_that_dies_after_the_commit(self):
        """Guards against an edit that is committed but not in force.

        The router that commits it dies before it broadcasts the row. The others
        learn of it only from the log.
        """
        self.fleet.network.cut('a', 'b')
        await self.a.parts.editor.apply(edit('w', weight=4))
        self.fleet.network.kill('a')
        self.assertEqual(self.b.team().weight, 1)
        await self.b.step()
        self.assertEqual(self.b.team().weight, 4)

    async def test_import_does_not_block_the_event_loop(self):
        """Guards against an import that blocks the streams of all routers.

        Rows of a page must not all be applied in one iteration of the event
        loop. When they are applied in parts, the version must advance only
        after the last part, or a crash in between would hide the rest.
        """
        self.fleet.network.cut('a', 'b')
        edits = tuple(
            Edit(f'e{n}', 'a', f'table/team/t{n:04}', 0, {}) for n in range(500)
        )
        for start in range(0, 500, 100):
            await self.a.parts.editor.apply_all(edits[start : start + 100])
        view = self.b.view
        before = view.version
        polling = asyncio.create_task(self.b.step())
        observed = set()
        while not polling.done():
            await asyncio.sleep(0)
            observed.add((len(view.teams), view.version))
        grown = {teams for teams, version in observed if version == before}
        self.assertGreaterEqual(len(grown), 4)
        self.assertEqual(len(view.teams), 501)
        self.assertGreater(view.version, before)

    async def test_table_stays_in_force_during_an_outage(self):
        self.fleet.platform.weather.down = True
        self.fleet.clock.seconds += 60
        await self.a.step()
        self.assertEqual(self.a.prepaid(), 100)
        self.assertEqual(self.a.parts.follower.confirmed_age, 60)

    async def test_age_starts_at_the_request(self):
        """Guards against a late answer that counts as a new one."""
        self.b.access.after_scan = self.delay_answer
        await self.b.step()
        self.assertEqual(self.b.parts.follower.confirmed_age, 30)

    async def delay_answer(self):
        """Let 30 s pass while an answer is on its way."""
        self.fleet.clock.seconds += 30

    async def test_confirmed_while_the_service_answers(self):
        """Guards against a healthy router whose table is never confirmed.

        Such a router couldn't deny requests by its table.
        """
        follower = self.b.parts.follower
        longest = follower.cfg.table.poll_interval * NON_READER_POLL_FACTOR
        for _ in range(3):
            await self.b.step()
            self.fleet.clock.seconds += longest
            self.assertTrue(follower.is_confirmed())

    async def test_not_confirmed_by_peers_alone(self):
        """Guards against denials by a table that only peers have sent."""
        late = self.fleet.join('late')
        late.access.cut = True
        await late.step()
        self.assertTrue(late.view.complete)
        self.assertFalse(late.parts.follower.is_confirmed())
        late.access.cut = False
        await late.step()
        self.assertTrue(late.parts.follower.is_confirmed())

    async def test_confirmation_expires_before_edits_take_force(self):
        """Guards against denials after the time in which edits take force."""
        await self.b.step()
        self.fleet.platform.weather.down = True
        self.fleet.clock.seconds += 5
        await self.b.step()
        self.assertFalse(self.b.parts.follower.is_confirmed())

    async def test_commit_between_two_pages_of_a_full_read(self):
        """Guards against a change that a full read misses for good.

        A row of the first page changes before the second page is read. The
        version of the last page covers that commit, but the rows read don't.
        """
        edits = tuple(
            Edit(f'e{n}', 'a', f'table/team/t{n:04}', 0, {})
            for n in range(1500)
        )
        for start in range(0, 1500, 100):
            await self.a.parts.editor.apply_all(edits[start : start + 100])
        late = self.fleet.join('late')
        self.fleet.network.cut(('late',), 'ab')
        late.access.objects_cut = True
        change = Edit('c', 'a', 'table/team/t0000', -1, {'weight': 9})
        late.access.after_scan = lambda: self.a.parts.editor.apply(change)
        await late.step()
        await late.step()
        self.assertEqual(late.team('t0000').weight, 9)


class PollIntervalTest(FollowerTest):
    """How often routers poll."""

    async def test_rank_in_zone(self):
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

    async def test_non_readers_poll_less_often(self):
        for number in range(6):
            self.fleet.join(f'r{number}')
        pauses = []
        for node in self.fleet.nodes:
            await node.step()
            before = self.fleet.clock.seconds
            await node.parts.follower.pause()
            pauses.append(self.fleet.clock.seconds - before)
        interval = 0.5
        quick = [pause for pause in pauses if pause <= interval]
        self.assertEqual(len(quick), 2)
        self.assertLessEqual(max(pauses), interval * NON_READER_POLL_FACTOR)

    async def test_start_in_an_outage_backs_off(self):
        late = self.fleet.join('late')
        late.access.cut = True
        self.fleet.network.cut(('late',), 'ab')
        pauses = []
        for _ in range(6):
            await late.step()
            before = self.fleet.clock.seconds
            await late.parts.follower.pause()
            pauses.append(self.fleet.clock.seconds - before)
        self.assertGreater(pauses[-1], 4 * pauses[0])


class SnapshotIntervalTest(FollowerTest):
    """Which router writes snapshots, and when."""

    async def test_one_router_per_zone_writes_after_many_changes(self):
        edits = tuple(
            Edit(f'e{n}', 'a', f'table/team/t{n}', 0, {}) for n in range(600)
        )
        for start in range(0, 600, 100):
            await self.a.parts.editor.apply_all(edits[start : start + 100])
        self.fleet.clock.seconds += 61
        for node in self.fleet.nodes:
            await node.step()
        names = await self.fleet.platform.objects.names(SNAPSHOT_PREFIX)
        version = self.a.view.version
        self.assertEqual(names[-1], f'{SNAPSHOT_PREFIX}{version:020d}')
        written = sum(
            writer.metrics.counted('balsamreach_table_snapshots_written_total')
            for writer in self.fleet.nodes
        )
        self.assertEqual(written, len(names))
        self.fleet.clock.seconds += 61
        await self.a.parts.editor.apply(edit('w', weight=3))
        for node in self.fleet.nodes:
            await node.step()
        again = await self.fleet.platform.objects.names(SNAPSHOT_PREFIX)
        self.assertEqual(again, names)
