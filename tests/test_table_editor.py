"""Edits: one wins, none is lost or applied twice."""

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
    TABLE_AWAY,
)
from balsamreach.table.history import read_history
from tests.support import ManualClock
from tests.table_fleet import TEAM, edit


class EditorTest(unittest.IsolatedAsyncioTestCase):
    """An editor on a table in memory, with one team in it."""

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
        self.made = await self.editor.apply(edit('make', 0, prepaid=100))

    async def read(self, key):
        rows = await self.table.read((key,))
        return rows[0]

    async def take(self, tokens):
        """Change the team's account as a router's draw does."""
        account = await self.read(account_key('winders'))
        fields = {**account.value, 'taken': tokens}
        await self.table.commit(Commit((Write(account.key, fields),)))


class RacingTest(EditorTest):
    """Operators who edit one row at once."""

    async def test_one_of_two_wins_and_the_other_sees_the_row(self):
        """Two operators edit the version they both saw.

        Symptom: the second is refused with the row as it stands. Events:
        both read version 1; both send their edit. Cause: the second edit
        names a version that is no longer there.
        """
        outcomes = await asyncio.gather(
            self.editor.apply(edit('a', self.made.version, weight=2)),
            self.editor.apply(edit('b', self.made.version, weight=3)),
        )
        self.assertIsInstance(outcomes[0], Accepted)
        self.assertEqual(outcomes[1], STALE_EDIT)
        self.assertEqual(outcomes[1].row.value['weight'], 2)
        self.assertEqual(outcomes[1].row.version, outcomes[0].version)

    async def test_draws_make_no_edit_stale(self):
        """A router draws between an edit's read and its commit.

        Symptom: an operator who raced nobody is told of a stale edit.
        Events: the editor reads row and account, a draw commits, the
        editor's commit fails its check of the account. Cause: the account
        is checked together with the row.
        """
        busy = _Busy(self.table, self.take, times=3)
        editor = Editor(busy, self.clock, random.Random(1))
        outcome = await editor.apply(
            edit('more', self.made.version, prepaid=200),
        )
        self.assertIsInstance(outcome, Accepted)
        account = await self.read(account_key('winders'))
        self.assertEqual(account.value['prepaid'], 200)
        self.assertEqual(account.value['taken'], 3)

    async def test_edit_of_other_fields_leaves_the_account_alone(self):
        busy = _Busy(self.table, self.take, times=99)
        editor = Editor(busy, self.clock, random.Random(1))
        await editor.apply(edit('w', self.made.version, weight=2))
        self.assertEqual(busy.conflicts, 0)

    async def test_racing_top_ups_add_up(self):
        tops = [
            Edit(f'top-{number}', 'anna', TEAM, -1, None, top_up=number)
            for number in range(1, 6)
        ]
        await asyncio.gather(*map(self.editor.apply, tops + tops))
        row = await self.read(TEAM)
        self.assertEqual(row.value['prepaid'], 100 + 15)
        account = await self.read(account_key('winders'))
        self.assertEqual(account.value['prepaid'], 100 + 15)

    async def test_absolute_budget_without_a_version_is_refused(self):
        outcome = await self.editor.apply(edit('set', -1, prepaid=500))
        self.assertEqual(outcome, STALE_EDIT)


class LostAnswerTest(EditorTest):
    """Edits whose answers do not arrive."""

    async def test_lost_answer_is_found_by_the_edit_id(self):
        """The commit takes effect and its answer is lost.

        Symptom: a top-up would count twice. Events: the commit is applied,
        the answer lost; the editor tries again. Cause: without its record
        the editor can't tell its own commit from another's.
        """
        self.platform.weather.lose_answers = 1
        top_up = Edit('top', 'anna', TEAM, -1, None, top_up=50)
        outcome = await self.editor.apply(top_up)
        self.assertIsInstance(outcome, Accepted)
        self.assertEqual(outcome.row['prepaid'], 150)
        again = await self.editor.apply(top_up)
        self.assertEqual(again, outcome)

    async def test_away_after_a_lost_answer_is_unknown(self):
        """The service goes away just after a commit.

        Symptom: the operator would be told that nothing changed. Events:
        a commit's answer is lost, and the read that follows is refused.
        Cause: the last refusal says nothing of the first commit.
        """
        service = _Failing(self.table, commits=[UNKNOWN], reads=1)
        editor = Editor(service, self.clock, random.Random(1))
        self.assertEqual(await editor.apply(edit('x', -1)), EDIT_UNKNOWN)

    async def test_away_before_anything_was_sent(self):
        service = _Failing(self.table, commits=[UNAVAILABLE], reads=9)
        editor = Editor(service, self.clock, random.Random(1))
        self.assertEqual(await editor.apply(edit('x', -1)), TABLE_AWAY)

    async def test_id_of_another_edit(self):
        outcome = await self.editor.apply(edit('make', 0, prepaid=101))
        self.assertEqual(outcome, ID_TAKEN)


class RefusedTest(EditorTest):
    """Edits that change nothing."""

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
            ('there already', edit('x', 0), STALE_EDIT),
        ]
    )
    async def test_refusal(self, _, asked, fault):
        await self.take(60)
        writes = self.platform.weather.writes
        self.assertEqual(await self.editor.apply(asked), fault)
        self.assertEqual(self.platform.weather.writes, writes)

    async def test_deleted_row_may_be_made_anew(self):
        deletion = Edit('d', 'anna', TEAM, self.made.version, None)
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

    async def test_refused_edit_keeps_no_other_back(self):
        batch = (*_batch(3), edit('stale', 99, weight=1))
        outcomes = await self.editor.apply_all(batch)
        self.assertEqual(outcomes[3], STALE_EDIT)
        self.assertIsInstance(outcomes[0], Accepted)

    async def test_busy_account_holds_up_itself_only(self):
        """One team of a batch is drawn on without pause.

        Symptom: a whole import fails for one busy team. Events: each
        commit of the batch meets a new draw on that team's account. Cause:
        a commit of many rows fails if one check does.
        """
        busy = _Busy(self.table, self.take, times=999)
        editor = Editor(busy, self.clock, random.Random(1))
        batch = (
            *_batch(8),
            edit('hot', self.made.version, prepaid=200),
        )
        outcomes = await editor.apply_all(batch)
        accepted = [o for o in outcomes if isinstance(o, Accepted)]
        self.assertEqual(len(accepted), 8)
        self.assertEqual(outcomes[8], TABLE_AWAY)


class HistoryTest(EditorTest):
    """Who changed a row."""

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
class _Busy:
    """A table on whose account something draws before each commit."""

    table: object
    draw: object
    times: int
    conflicts: int = 0
    drawn: int = 0

    async def read(self, keys):
        return await self.table.read(keys)

    async def commit(self, change):
        if self.drawn < self.times:
            self.drawn += 1
            await self.draw(self.drawn)
        outcome = await self.table.commit(change)
        self.conflicts += outcome == CONFLICT
        return outcome


@attrs.define
class _Failing:
    """A table whose next commits fail and whose reads end."""

    table: object
    commits: list
    reads: int

    async def read(self, keys):
        self.reads -= 1
        return await self.table.read(keys) if self.reads >= 0 else UNAVAILABLE

    async def commit(self, change):
        return self.commits.pop()
