"""Rows spread between routers, whatever the net does to messages."""

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
from tests.table_fleet import TEAM, TableFleet, edit, gone, row

#: Gap timeouts that a late answer takes.
_LATE_GAPS = 3


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Three routers that have read a table with one team in it."""

    async def asyncSetUp(self):
        self.fleet = TableFleet()
        await self.fleet.started('a', 'b', 'c')
        self.a = self.fleet.stations[0]
        self.b = self.fleet.stations[1]
        self.c = self.fleet.stations[2]
        await self.edit('make', 0, prepaid=100)
        await self.a.step()
        await self.fleet.beat()

    async def edit(self, edit_id, version=-1, **fields):
        """Let the operator of router a edit the team."""
        editor = self.a.parts.editor
        outcome = await editor.apply(edit(edit_id, version, **fields))
        await self.fleet.settle()
        return outcome

    def weights(self):
        return [station.team().weight for station in self.fleet.stations]


class SpreadTest(ExchangeTest):
    """An accepted edit is in force at once."""

    async def test_accepted_edit_needs_no_poll(self):
        await self.edit('w', weight=2)
        self.assertEqual(self.weights(), [2, 2, 2])

    async def test_versions_agree_so_that_nobody_asks(self):
        await self.edit('w', weight=2)
        await self.a.step()
        await self.fleet.beat()
        versions = {station.view.version for station in self.fleet.stations}
        self.assertEqual(len(versions), 1)
        sent = len(self.fleet.fabric.sent)
        await self.fleet.beat()
        asked = self.fleet.fabric.sent[sent:]
        self.assertFalse([m for m in asked if isinstance(m, TableAsk)])

    async def test_commits_beside_the_table_move_no_version(self):
        """Draws and bills make routers ask each other for nothing.

        Symptom: control traffic grows with the requests served. Events:
        the log's number grows with each draw, readers take it over, and
        each heartbeat shows neighbours that are behind. Cause: the
        position in the log is not the version of the table.
        """
        edited = await self.edit('w', weight=2)
        for _ in range(2):
            draw = Commit((Write('bill/x', {}),))
            await self.fleet.platform.table.commit(draw)
            await self.a.step()
            self.assertEqual(self.a.view.version, edited.version)

    async def test_many_rows_are_fetched_not_flooded(self):
        edits = tuple(
            Edit(f'e{number}', 'a', f'table/team/t{number}', 0, {})
            for number in range(100)
        )
        sent = len(self.fleet.fabric.sent)
        await self.a.parts.editor.apply_all(edits)
        await self.a.step()
        self.assertEqual(len(self.fleet.fabric.sent), sent)
        await self.fleet.beat()
        self.assertEqual(len(self.b.view.teams), 101)
        self.assertEqual(len(self.c.view.teams), 101)


class FaultyNetTest(ExchangeTest):
    """Lost, doubled, late and gapped messages."""

    async def test_lost_message_is_made_up_by_a_heartbeat(self):
        """A router misses an edit.

        Symptom: one router still has the old weight. Events: both messages
        with the row are lost; a reader reads the log; heartbeats pass.
        Cause: told messages are not repeated.
        """
        self.fleet.fabric.lost[TableRows] = 2
        await self.edit('w', weight=2)
        self.assertEqual(self.weights(), [2, 1, 1])
        await self.a.step()
        await self.fleet.beat()
        self.assertEqual(self.weights(), [2, 2, 2])

    async def test_doubled_messages_change_nothing(self):
        self.fleet.fabric.doubled[TableRows] = 3
        await self.edit('w', weight=2)
        self.assertEqual(self.weights(), [2, 2, 2])

    async def test_newest_first(self):
        """Messages overtake each other.

        Symptom: an edit would revert. Events: weight 2, then 3 are told;
        the message with 3 arrives first. Cause: paths of different length.
        """
        editor = self.a.parts.editor
        await editor.apply(edit('w2', weight=2))
        await editor.apply(edit('w3', weight=3))
        await self.fleet.fabric.settle(newest_first=True)
        self.assertEqual(self.weights(), [3, 3, 3])

    async def test_gap_brings_a_question(self):
        """A message continues from a version that this router never had.

        Symptom: the edits between would be missed for good. Events: a
        message from version N+1 to N+2 arrives at a router at N. Cause:
        the message for N+1 was lost.
        """
        self.fleet.fabric.lost[TableRows] = 2
        await self.edit('lost', prepaid=101, version=self.version())
        await self.a.step()
        self.fleet.fabric.lost[TableRows] = 0
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

    async def test_row_known_already_goes_on_with_the_others(self):
        """A router farther on would pass over an edit.

        Symptom: router c never gets the weight. Events: b got the row with
        the weight ahead, c did not; then b gets a message with that row
        and another one, and passes it on. Cause: b would pass on only what
        is new to itself, under versions that cover both rows.
        """
        since = self.b.view.version
        weight = row(since + 1, weight=7)
        self.b.view.apply((weight,), 0)
        rows = (
            TableRow(weight.key, weight.version, '{"weight": 7}'),
            TableRow('table/team/x', since + 2, '{}'),
        )
        self.fleet.fabric.cut('a', 'c')
        await self.b.net.take(
            self.a.net.me,
            TableRows(since, since + 2, rows),
        )
        await self.fleet.settle()
        self.assertEqual(self.c.team().weight, 7)
        self.assertEqual(self.c.view.version, since + 2)

    async def test_unreadable_row_hides_nothing(self):
        version = self.b.view.version
        told = (TableRow('table/team/x', version + 1, '{'),)
        await self.b.net.take(
            self.a.net.me,
            TableRows(version, version + 1, told),
        )
        self.assertEqual(self.b.view.version, version)

    def version(self):
        return self.a.view.versions.of(TEAM)


class CatchUpTest(ExchangeTest):
    """A router that was cut off for long."""

    async def test_deletions_reach_a_router_that_was_cut_off(self):
        self.fleet.fabric.cut('a', 'bc')
        await self.a.parts.editor.apply(
            Edit('d', 'anna', TEAM, self.a.view.versions.of(TEAM), None),
        )
        await self.a.step()
        self.fleet.fabric.heal()
        await self.fleet.beat()
        self.assertEqual(self.b.view.teams, {})
        self.assertEqual(self.c.view.teams, {})

    async def test_forgotten_deletions_bring_a_whole_copy(self):
        """A router is behind what its neighbour remembers.

        Symptom: a deleted team stays in force. Events: the router is cut
        off; the team is deleted, then 5,000 others; the cut heals. Cause:
        the neighbour remembers a bounded number of deletions.
        """
        name = 'balsamreach_table_copies_total'
        copies = self.b.metrics.counted(name)
        start = self.a.view.version
        self.a.view.apply((gone(start + 1),), start + 1)
        for number in range(start + 2, start + 5002):
            self.a.view.apply((gone(number, f't{number}'),), number)
        self.a.view.apply((row(start + 6000, 'new'),), start + 6000)
        follower = self.b.parts.follower
        await follower.exchange.catch_up('a')
        self.assertEqual(list(self.b.view.teams), ['new'])
        self.assertEqual(self.b.metrics.counted(name), copies + 1)

    async def test_one_question_at_a_time(self):
        self.fleet.fabric.lost[TableRows] = 2
        await self.edit('w', weight=2)
        await self.a.step()
        sent = len(self.fleet.fabric.sent)
        self.fleet.fabric.held.add(TableAsk)
        for _ in range(3):
            self.a.net.tell('b', Heartbeat(self.a.view.version))
            await self.fleet.fabric.settle()
            await asyncio.sleep(0)
        self.fleet.fabric.release()
        await self.fleet.settle()
        asked = self.fleet.fabric.sent[sent:]
        self.assertEqual(sum(isinstance(m, TableAsk) for m in asked), 1)
        self.assertEqual(self.b.team().weight, 2)

    async def test_long_answer_comes_in_pages(self):
        start = self.a.view.version
        rows = [row(start + 1 + n // 3, f't{n}') for n in range(1600)]
        self.a.view.apply(rows, rows[-1].version)
        await self.fleet.beat()
        self.assertEqual(len(self.b.view.teams), 1601)
        self.assertEqual(self.b.view.version, self.a.view.version)


class LateAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Two routers over a real socket, their clock moved by hand."""

    async def asyncSetUp(self):
        self.rig = Rig()
        self.addAsyncCleanup(self.rig.stop)
        self.one = await self.rig.start('one')
        seed = f'peers.seeds={self.one.me.address}'
        self.two = await self.rig.start('two', seed)
        self.view = TableView()
        self.exchange = TableExchange(self.two, self.view, Metrics())
        self.exchange.start()
        self.asked = []
        self.one.on(TableAsk, self.answer_late)

    async def answer_late(self, _member, message):
        self.asked.append(message)
        await self.rig.clock.sleep(_LATE_GAPS * self.two.cfg.peers.gap_timeout)
        return TableRows(0, 6, (TableRow(TEAM, 6, '{}'),))

    async def test_rows_that_are_long_on_their_way(self):
        """Guards against asking anew for what is on its way already."""
        self.one.greeter.table_version = lambda: 6
        await self.rig.until(lambda: self.view.version == 6)
        self.assertEqual(len(self.asked), 1)

    async def test_a_version_is_not_waited_for_that_long(self):
        """Guards against a start that waits long for one neighbour."""
        await self.rig.until(lambda: linked(self.two) == {'one'})
        start = self.rig.clock.now()
        asking = asyncio.create_task(self.exchange.version_of('one'))
        await self.rig.until(asking.done)
        self.assertIsNone(await asking)
        waited = self.rig.clock.now() - start
        self.assertLess(waited, 2 * self.two.cfg.peers.gap_timeout)
