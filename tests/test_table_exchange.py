"""Rows spread between routers in spite of lost and reordered messages."""

import asyncio
import unittest

from balsamreach.services.base import Commit, Write
from balsamreach.table.edits import Edit
from balsamreach.table.exchange import TableExchange
from balsamreach.table.view import TableView
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.membership import Heartbeat
from balsamreach.wire.tables import TableAsk, TableRow, TableRows
from tests.peers_rig import Rig, linked
from tests.table_fleet import TEAM, TableFleet, deleted_row, edit, row

#: Gap timeouts that a late answer takes.
_SLOW_ANSWER_GAPS = 3


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Three routers with a table of one team."""

    async def asyncSetUp(self):
        self.fleet = TableFleet()
        await self.fleet.start_routers('a', 'b', 'c')
        self.a = self.fleet.nodes[0]
        self.b = self.fleet.nodes[1]
        self.c = self.fleet.nodes[2]
        await self.edit('make', 0, prepaid=100)
        await self.a.step()
        await self.fleet.send_heartbeats()

    async def edit(self, edit_id, version=-1, **fields):
        """Edit the team at router a and deliver the messages."""
        editor = self.a.parts.editor
        outcome = await editor.apply(edit(edit_id, version, **fields))
        await self.fleet.settle()
        return outcome

    def weights(self):
        return [node.team().weight for node in self.fleet.nodes]


class BroadcastTest(ExchangeTest):
    """A committed edit is in force at once."""

    async def test_committed_edit_needs_no_poll(self):
        await self.edit('w', weight=2)
        self.assertEqual(self.weights(), [2, 2, 2])

    async def test_equal_versions_cause_no_requests(self):
        await self.edit('w', weight=2)
        await self.a.step()
        await self.fleet.send_heartbeats()
        versions = {node.view.version for node in self.fleet.nodes}
        self.assertEqual(len(versions), 1)
        sent = len(self.fleet.network.sent)
        await self.fleet.send_heartbeats()
        requests = self.fleet.network.sent[sent:]
        self.assertFalse([m for m in requests if isinstance(m, TableAsk)])

    async def test_other_commits_do_not_advance_the_version(self):
        """Guards against control traffic that grows with the requests served.

        Draws and bills advance the log. If readers took the log position as the
        version of the table, every heartbeat would show neighbours behind.
        """
        edited = await self.edit('w', weight=2)
        for _ in range(2):
            draw = Commit((Write('bill/x', {}),))
            await self.fleet.platform.table.commit(draw)
            await self.a.step()
            self.assertEqual(self.a.view.version, edited.version)

    async def test_many_rows_are_fetched_not_broadcast(self):
        edits = tuple(
            Edit(f'e{number}', 'a', f'table/team/t{number}', 0, {})
            for number in range(100)
        )
        sent = len(self.fleet.network.sent)
        await self.a.parts.editor.apply_all(edits)
        await self.a.step()
        self.assertEqual(len(self.fleet.network.sent), sent)
        await self.fleet.send_heartbeats()
        self.assertEqual(len(self.b.view.teams), 101)
        self.assertEqual(len(self.c.view.teams), 101)


class MessageFaultTest(ExchangeTest):
    """Lost, duplicated and reordered messages, and gaps between them."""

    async def test_heartbeat_recovers_a_lost_message(self):
        """Guards against a router that misses an edit for good.

        Broadcasts are not repeated, and both messages with the row are lost. A
        reader polls, and its heartbeat shows the others that they are behind.
        """
        self.fleet.network.lost[TableRows] = 2
        await self.edit('w', weight=2)
        self.assertEqual(self.weights(), [2, 1, 1])
        await self.a.step()
        await self.fleet.send_heartbeats()
        self.assertEqual(self.weights(), [2, 2, 2])

    async def test_duplicated_messages_change_nothing(self):
        self.fleet.network.doubled[TableRows] = 3
        await self.edit('w', weight=2)
        self.assertEqual(self.weights(), [2, 2, 2])

    async def test_newest_message_first(self):
        """Guards against an edit that reverts.

        Weight 2 and then 3 are broadcast over paths of different length, and
        the message with 3 arrives first.
        """
        editor = self.a.parts.editor
        await editor.apply(edit('w2', weight=2))
        await editor.apply(edit('w3', weight=3))
        await self.fleet.network.settle(newest_first=True)
        self.assertEqual(self.weights(), [3, 3, 3])

    async def test_gap_is_fetched(self):
        """Guards against edits in a gap that are never fetched.

        The message for version N+1 is lost, so a message from N+1 to N+2
        arrives at a router at N.
        """
        self.fleet.network.lost[TableRows] = 2
        await self.edit('lost', prepaid=101, version=self.team_version())
        await self.a.step()
        self.fleet.network.lost[TableRows] = 0
        newest = self.a.view.version
        await self.b.net.take(
            self.a.net.me,
            TableRows(newest, newest + 1, ()),
        )
        self.assertLess(self.b.view.version, newest)
        await self.fleet.settle()
        self.assertEqual(self.b.view.version, newest)
        self.assertEqual(self.b.prepaid(), 101)
        counted = self.b.metrics.counted('balsamreach_table_gaps_total')
        self.assertEqual(counted, 1)

    async def test_known_rows_are_forwarded_too(self):
        """Guards against a router farther on that skips an edit.

        Router b has a row ahead of the log that c lacks, then receives a
        message with that row and another. If b forwarded only the row new to
        itself, with versions that cover both, c would never get the first one.
        """
        since = self.b.view.version
        weight = row(since + 1, weight=7)
        self.b.view.apply((weight,), 0)
        rows = (
            TableRow(weight.key, weight.version, '{"weight": 7}'),
            TableRow('table/team/x', since + 2, '{}'),
        )
        self.fleet.network.cut('a', 'c')
        await self.b.net.take(
            self.a.net.me,
            TableRows(since, since + 2, rows),
        )
        await self.fleet.settle()
        self.assertEqual(self.c.team().weight, 7)
        self.assertEqual(self.c.view.version, since + 2)

    async def test_malformed_row_keeps_the_version(self):
        version = self.b.view.version
        rows = (TableRow('table/team/x', version + 1, '{'),)
        await self.b.net.take(
            self.a.net.me,
            TableRows(version, version + 1, rows),
        )
        self.assertEqual(self.b.view.version, version)

    def team_version(self):
        return self.a.view.versions.of(TEAM)


class CatchUpTest(ExchangeTest):
    """A router that was cut off for long."""

    async def test_deletions_reach_a_router_that_was_cut_off(self):
        self.fleet.network.cut('a', 'bc')
        await self.a.parts.editor.apply(
            Edit('d', 'anna', TEAM, self.a.view.versions.of(TEAM), None),
        )
        await self.a.step()
        self.fleet.network.heal()
        await self.fleet.send_heartbeats()
        self.assertEqual(self.b.view.teams, {})
        self.assertEqual(self.c.view.teams, {})

    async def test_dropped_deletions_cause_a_whole_copy(self):
        """Guards against a deleted team that stays in force.

        While the router is cut off, the team and then 5,000 others are deleted.
        The neighbour keeps a bounded number of deletions.
        """
        name = 'balsamreach_table_copies_total'
        copies = self.b.metrics.counted(name)
        start = self.a.view.version
        self.a.view.apply((deleted_row(start + 1),), start + 1)
        for number in range(start + 2, start + 5002):
            self.a.view.apply((deleted_row(number, f't{number}'),), number)
        self.a.view.apply((row(start + 6000, 'new'),), start + 6000)
        follower = self.b.parts.follower
        await follower.exchange.catch_up('a')
        self.assertEqual(list(self.b.view.teams), ['new'])
        self.assertEqual(self.b.metrics.counted(name), copies + 1)

    async def test_one_request_at_a_time(self):
        self.fleet.network.lost[TableRows] = 2
        await self.edit('w', weight=2)
        await self.a.step()
        sent = len(self.fleet.network.sent)
        self.fleet.network.held.add(TableAsk)
        for _ in range(3):
            self.a.net.tell('b', Heartbeat(self.a.view.version))
            await self.fleet.network.settle()
            await asyncio.sleep(0)
        self.fleet.network.release()
        await self.fleet.settle()
        requests = self.fleet.network.sent[sent:]
        self.assertEqual(sum(isinstance(m, TableAsk) for m in requests), 1)
        self.assertEqual(self.b.team().weight, 2)

    async def test_long_answer_is_paged(self):
        start = self.a.view.version
        rows = [row(start + 1 + n // 3, f't{n}') for n in range(1600)]
        self.a.view.apply(rows, rows[-1].version)
        await self.fleet.send_heartbeats()
        self.assertEqual(len(self.b.view.teams), 1601)
        self.assertEqual(self.b.view.version, self.a.view.version)


class SlowAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Two routers over a real socket with a manual clock."""

    async def asyncSetUp(self):
        self.rig = Rig()
        self.addAsyncCleanup(self.rig.stop)
        self.one = await self.rig.start('one')
        seed = f'peers.seeds={self.one.me.address}'
        self.two = await self.rig.start('two', seed)
        self.view = TableView()
        self.exchange = TableExchange(self.two, self.view, Metrics())
        self.exchange.start()
        self.requests = []
        self.one.on(TableAsk, self.answer_slowly)

    async def answer_slowly(self, _member, message):
        self.requests.append(message)
        await self.rig.clock.sleep(
            _SLOW_ANSWER_GAPS * self.two.cfg.peers.gap_timeout
        )
        return TableRows(0, 6, (TableRow(TEAM, 6, '{}'),))

    async def test_slow_rows_are_requested_once(self):
        """Guards against a second request while an answer is on its way."""
        self.one.local_status.table_version = lambda: 6
        await self.rig.until(lambda: self.view.version == 6)
        self.assertEqual(len(self.requests), 1)

    async def test_version_request_times_out_early(self):
        """Guards against a start that waits long for one neighbour."""
        await self.rig.until(lambda: linked(self.two) == {'one'})
        start = self.rig.clock.now()
        request = asyncio.create_task(self.exchange.version_of('one'))
        await self.rig.until(request.done)
        self.assertIsNone(await request)
        waited = self.rig.clock.now() - start
        self.assertLess(waited, 2 * self.two.cfg.peers.gap_timeout)
