"""The table in force: never older than it was."""

import unittest

from parameterized import parameterized

from balsamreach.services.base import Row
from balsamreach.table.rows import ENGINE, PLAIN_SERVICE
from balsamreach.table.view import TableView, adopt, hash_key
from tests.table_fleet import TEAM, gone, row


def _target(version, **fields):
    place = {'address': '127.0.0.1:9', 'zone': 'a', 'service': 'llm'}
    return Row('table/target/t', version, place | fields)


class ApplyTest(unittest.TestCase):
    """Rows in any order leave the newest in force."""

    @parameterized.expand(
        [
            ('newer', [row(3, prepaid=1), row(5, prepaid=2)], 2),
            ('late older', [row(5, prepaid=2), row(3, prepaid=1)], 2),
            ('twice', [row(5, prepaid=2), row(5, prepaid=2)], 2),
            ('deleted', [row(3), gone(5)], None),
            ('late after deletion', [gone(5), row(3, prepaid=1)], None),
            ('made anew', [gone(5), row(6, prepaid=7)], 7),
        ]
    )
    def test_order(self, _, rows, prepaid):
        view = TableView()
        for changed in rows:
            view.apply((changed,), 0)
        team = view.teams.get('winders')
        self.assertEqual(team and team.prepaid, prepaid)

    def test_deletion_that_is_forgotten_still_holds(self):
        """A row that was deleted comes back.

        Symptom: a deleted team is served again. Events: the view has read
        the whole log to 9, in which the team was deleted at 8; a message
        with the team's row of version 5, delayed in a queue, arrives.
        Cause: the full read shows no deletions, so none was remembered.
        """
        view = TableView()
        view.apply((), 9)
        self.assertEqual(view.apply((row(5, prepaid=1),), 0), ())
        self.assertEqual(view.teams, {})

    def test_version_never_falls(self):
        view = TableView()
        view.apply((), 9)
        view.apply((), 4)
        self.assertEqual(view.version, 9)

    def test_row_that_cannot_be_read_leaves_the_one_before(self):
        view = TableView()
        view.apply((row(3, prepaid=1),), 3)
        view.apply((row(5, prepaid='much'),), 5)
        self.assertEqual(view.teams['winders'].prepaid, 1)
        self.assertIn('prepaid', view.rejected[TEAM].fault.reason)
        self.assertEqual(list(view.rows_since(3)), [row(5, prepaid='much')])
        view.apply((row(6, prepaid=2),), 6)
        self.assertEqual(view.rejected, {})

    def test_unknown_kind_touches_no_target(self):
        view = TableView()
        view.apply((_target(1),), 1)
        view.apply((Row('table/region/t', 2, {}),), 2)
        view.apply((Row('table/region/t', 3, None),), 3)
        self.assertIn('t', view.targets)

    def test_watchers_hear_of_new_rows_only(self):
        heard = []
        view = TableView(watchers=[heard.append])
        view.apply((row(3),), 3)
        view.apply((row(3),), 3)
        self.assertEqual(heard, [(row(3),)])


class SinceTest(unittest.TestCase):
    """What a view tells to one that is behind."""

    def test_rows_since(self):
        view = TableView()
        view.apply((row(3, 'b'), row(2, 'a'), gone(4, 'c')), 4)
        keys = [found.key for found in view.rows_since(2)]
        self.assertEqual(keys, ['table/team/b', 'table/team/c'])

    def test_adopt_drops_what_the_other_lacks(self):
        view = TableView()
        view.apply((row(2, 'a'), row(3, 'b'), row(12, 'ahead')), 3)
        other = TableView()
        other.apply((row(9, 'b', prepaid=9),), 9)
        adopt(view, other)
        self.assertEqual(sorted(view.teams), ['ahead', 'b'])
        self.assertEqual(view.teams['b'].prepaid, 9)

    def test_adopt_takes_nothing_older(self):
        view = TableView()
        view.apply((row(3, 'a'),), 9)
        adopt(view, TableView(version=5))
        self.assertIn('a', view.teams)

    def test_tombstones_are_bounded(self):
        view = TableView()
        for version in range(1, 5001):
            view.apply((gone(version, f't{version}'),), version)
        self.assertEqual(view.versions.floor, 5000 - 4096)
        self.assertEqual(len(list(view.rows_since(0))), 4096)


class IndexTest(unittest.TestCase):
    """Rows are found by key, model and service."""

    def test_target_moves_between_models_and_services(self):
        view = TableView()
        view.apply((_target(1, kind=ENGINE, models=['m', 'n']),), 1)
        self.assertEqual(view.models(), ('m', 'n'))
        view.apply((_target(2, models={'n': 2}, service='x'),), 2)
        self.assertEqual(view.models(), ('n',))
        self.assertEqual(list(view.engines_for('m')), [])
        self.assertEqual(len(list(view.workers_of('x'))), 1)
        self.assertEqual(list(view.workers_of('llm')), [])
        view.apply((_target(3, kind=PLAIN_SERVICE, models=['n']),), 3)
        self.assertEqual(list(view.engines_for('n')), [])

    def test_one_key_in_two_rows_is_the_same_team_everywhere(self):
        """Two routers bill a key to different teams.

        Symptom: a team's requests are billed now to one, now to another.
        Events: an operator copies a row with its key; routers read the two
        rows in different orders. Cause: the last row read took the key.
        """
        digest = [hash_key('secret')]
        rows = [row(1, 'b', key_hashes=digest), row(2, 'a', key_hashes=digest)]
        for order in (rows, list(reversed(rows))):
            view = TableView()
            for changed in order:
                view.apply((changed,), 0)
            self.assertEqual(view.team_by_secret('secret').name, 'a')
            view.apply((row(3, 'a'),), 0)
            self.assertEqual(view.team_by_secret('secret').name, 'b')
