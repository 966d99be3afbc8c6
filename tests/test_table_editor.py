"""Edits are committed exactly once, and one of two conflicting edits wins."""

import asyncio
import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.budget.account import account_key
from balsamreach.services.base import Commit, Write
from balsamreach.services.faults import CONFLICT, UNAVAILABLE, UNKNOWN
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.table.editor import Editor
from balsamreach.table.edits import Accepted, Edit
from balsamreach.table.faults import (
    BAD_ROW,
    BELOW_TAKEN,
    EDIT_UNKNOWN,
    ID_TAKEN,
    NO_ROW,
    STALE_EDIT,
    TABLE_UNAVAILABLE,
)
from balsamreach.table.history import read_history
from tests.support import ManualClock
from tests.table_fleet import TEAM, edit


class EditorTest(unittest.IsolatedAsyncioTestCase):
    """An editor of a table in memory with one team."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.platform = MemoryPlatform.start(self.clock)
        self.table = self.platform.table
        self.published = []
        self.editor = Editor(
            self.table,
            self.clock,
            random.Random(1),
            publish=self.published.extend,
        )
        self.created = await self.editor.apply(edit('make', 0, prepaid=100))

    async def read(self, key):
        rows = await self.table.read((key,))
        return rows[0]

    async def draw_tokens(self, tokens):
        """Change the team's account like a router that draws tokens."""
        account = await self.read(account_key('winders'))
        fields = {**account.value, 'taken': tokens}
        await self.table.commit(Commit((Write(account.key, fields),)))


class ConcurrentEditsTest(EditorTest):
    """Concurrent edits of one row."""

    async def test_loser_of_two_edits_gets_the_current_row(self):
        """Guards against a lost update.

        Two operators read version 1 and both edit it. The second edit expects a
        version that is gone, so it is refused with the current row.
        """
        outcomes = await asyncio.gather(
            self.editor.apply(edit('a', self.created.version, weight=2)),
            self.editor.apply(edit('b', self.created.version, weight=3)),
        )
        self.assertIsInstance(outcomes[0], Accepted)
        self.assertEqual(outcomes[1], STALE_EDIT)
        self.assertEqual(outcomes[1].row.value['weight'], 2)
        self.assertEqual(outcomes[1].row.version, outcomes[0].version)

    async def test_draws_do_not_make_an_edit_stale(self):
        """Guards against a stale edit reported to an operator without a rival.

        The account is checked together with the row. A router draws between the
        editor's read and its commit, so the check of the account fails.
        """
        contended = _ContendedTable(self.table, self.draw_tokens, max_draws=3)
        editor = Editor(contended, self.clock, random.Random(1))
        outcome = await editor.apply(
            edit('more', self.created.version, prepaid=200),
        )
        self.assertIsInstance(outcome, Accepted)
        account = await self.read(account_key('winders'))
        self.assertEqual(account.value['prepaid'], 200)
        self.assertEqual(account.value['taken'], 3)

    async def test_edit_of_other_fields_ignores_the_account(self):
        contended = _ContendedTable(self.table, self.draw_tokens, max_draws=99)
        editor = Editor(contended, self.clock, random.Random(1))
        await editor.apply(edit('w', self.created.version, weight=2))
        self.assertEqual(contended.conflicts, 0)

    async def test_concurrent_top_ups_add_up(self):
        top_ups = [
            Edit(f'top-{number}', 'anna', TEAM, -1, None, top_up=number)
            for number in range(1, 6)
        ]
        await asyncio.gather(*map(self.editor.apply, top_ups + top_ups))
        row = await self.read(TEAM)
        self.assertEqual(row.value['prepaid'], 100 + 15)
        account = await self.read(account_key('winders'))
        self.assertEqual(account.value['prepaid'], 100 + 15)

    async def test_absolute_budget_without_a_version_is_refused(self):
        outcome = await self.editor.apply(edit('set', -1, prepaid=500))
        self.assertEqual(outcome, STALE_EDIT)


class LostAnswerTest(EditorTest):
    """Commits whose answers don't arrive."""

    async def test_lost_answer_is_recovered_by_edit_id(self):
        """Guards against a top-up that counts twice.

        The commit takes effect but its answer is lost, and the editor retries.
        Only the edit record tells its own commit from that of another editor.
        """
        self.platform.weather.lose_answers = 1
        top_up = Edit('top', 'anna', TEAM, -1, None, top_up=50)
        outcome = await self.editor.apply(top_up)
        self.assertIsInstance(outcome, Accepted)
        self.assertEqual(outcome.row['prepaid'], 150)
        again = await self.editor.apply(top_up)
        self.assertEqual(again, outcome)

    async def test_service_down_after_lost_answer_is_unknown(self):
        """Guards against a committed edit reported as unchanged.

        A commit's answer is lost and the read after it is refused. The refusal
        says nothing about the commit.
        """
        service = _FailingTable(self.table, commits=[UNKNOWN], reads=1)
        editor = Editor(service, self.clock, random.Random(1))
        self.assertEqual(await editor.apply(edit('x', -1)), EDIT_UNKNOWN)

    async def test_service_down_before_any_commit(self):
        service = _FailingTable(self.table, commits=[UNAVAILABLE], reads=9)
        editor = Editor(service, self.clock, random.Random(1))
        self.assertEqual(await editor.apply(edit('x', -1)), TABLE_UNAVAILABLE)

    async def test_edit_id_of_another_edit(self):
        outcome = await self.editor.apply(edit('make', 0, prepaid=101))
        self.assertEqual(outcome, ID_TAKEN)


class RefusedTest(EditorTest):
    """Refused edits write nothing."""

    @parameterized.expand(
        [
            ('no row', Edit('x', 'a', 'table/team/none', -1, None), NO_ROW),
            (
                'top-up of no row',
                Edit('x', 'a', 'table/team/none', -1, None, 5),
                NO_ROW,
            ),
            (
                'top-up of a target',
                Edit('x', 'a', 'table/target/t', -1, None, 5),
                BAD_ROW,
            ),
            ('bad field', edit('x', 1, weight=-1), BAD_ROW),
            ('bad key', Edit('x', 'a', 'account/winders', -1, {}), BAD_ROW),
            ('bad id', edit('a/b', 1), BAD_ROW),
            ('empty id', edit('', 1), BAD_ROW),
            ('below taken', edit('x', 1, prepaid=50), BELOW_TAKEN),
            ('exists already', edit('x', 0), STALE_EDIT),
        ]
    )
    async def test_refused_edit_writes_nothing(self, _, refused_edit, fault):
        await self.draw_tokens(60)
        writes = self.platform.weather.writes
        self.assertEqual(await self.editor.apply(refused_edit), fault)
        self.assertEqual(self.platform.weather.writes, writes)

    async def test_deleted_row_can_be_created_again(self):
        deletion = Edit('d', 'anna', TEAM, self.created.version, None)
        await self.editor.apply(deletion)
        self.assertIsNone((await self.read(TEAM)).value)
        again = await self.editor.apply(edit('m', 0, prepaid=100))
        self.assertIsInstance(again, Accepted)


class BatchTest(EditorTest):
    """Many edits in few commits."""

    async def test_one_commit(self):
        writes = self.platform.weather.writes
        outcomes = await self.editor.apply_all(_batch(100))
        self.assertEqual(self.platform.weather.writes, writes + 1)
        self.assertEqual({type(outcome) for outcome in outcomes}, {Accepted})
        self.assertEqual(len(self.published), 101)

    async def test_refused_edit_does_not_affect_others(self):
        batch = (*_batch(3), edit('stale', 99, weight=1))
        outcomes = await self.editor.apply_all(batch)
        self.assertEqual(outcomes[3], STALE_EDIT)
        self.assertIsInstance(outcomes[0], Accepted)

    async def test_busy_account_delays_no_other_edit(self):
        """Guards against an import that fails because of one busy team.

        Every commit of the batch conflicts with a new draw on that team's
        account, and a commit of many rows fails if one check fails.
        """
        contended = _ContendedTable(self.table, self.draw_tokens, max_draws=999)
        editor = Editor(contended, self.clock, random.Random(1))
        batch = (
            *_batch(8),
            edit('hot', self.created.version, prepaid=200),
        )
        outcomes = await editor.apply_all(batch)
        accepted = [o for o in outcomes if isinstance(o, Accepted)]
        self.assertEqual(len(accepted), 8)
        self.assertEqual(outcomes[8], TABLE_UNAVAILABLE)


class HistoryTest(EditorTest):
    """Pages of a row's edit history."""

    async def test_newest_first_in_pages(self):
        for number in range(5):
            await self.editor.apply(edit(f'e{number}', -1, weight=number))
        first = await read_history(self.table, 'team/winders', '', 4)
        rest = await read_history(self.table, 'team/winders', first.after, 4)
        ids = [entry['edit_id'] for entry in first.entries + rest.entries]
        self.assertEqual(ids, ['e4', 'e3', 'e2', 'e1', 'e0', 'make'])
        self.assertEqual(rest.after, '')
        self.assertEqual(first.entries[0]['author'], 'anna')
        self.assertEqual(first.entries[0]['before']['weight'], 3)

    async def test_other_rows_are_not_listed(self):
        other = Edit('o', 'anna', 'table/team/winders2', 0, {})
        await self.editor.apply(other)
        page = await read_history(self.table, 'team/winders', '', 9)
        self.assertEqual(len(page.entries), 1)


def _batch(count):
    return tuple(
        Edit(f'e{number}', 'a', f'table/team/t{number}', 0, {'prepaid': 1})
        for number in range(count)
    )


@attrs.define
class _ContendedTable:
    """A table service on which a draw precedes each of the next commits."""

    table: object
    draw: object
    max_draws: int
    conflicts: int = 0
    draws: int = 0

    async def read(self, keys):
        return await self.table.read(keys)

    async def commit(self, change):
        if self.draws < self.max_draws:
            self.draws += 1
            await self.draw(self.draws)
        outcome = await self.table.commit(change)
        self.conflicts += outcome == CONFLICT
        return outcome


@attrs.define
class _FailingTable:
    """A table service whose commits fail and whose reads fail after a few."""

    table: object
    commits: list
    reads: int

    async def read(self, keys):
        self.reads -= 1
        return await self.table.read(keys) if self.reads >= 0 else UNAVAILABLE

    async def commit(self, change):
        return self.commits.pop()
