"""The view applies only newer rows and finds rows by its indexes."""

import unittest

from parameterized import parameterized

from balsamreach.services.base import Row
from balsamreach.table.rows import ENGINE, PLAIN_SERVICE
from balsamreach.table.view import TableView, apply_copy, hash_key
from tests.table_fleet import TEAM, deleted_row, row


def _target(version, **fields):
    required = {'address': '127.0.0.1:9', 'zone': 'a', 'service': 'llm'}
    return Row('table/target/t', version, required | fields)


class ApplyTest(unittest.TestCase):
    """The newest row is in force, in whatever order rows arrive."""

    @parameterized.expand(
        [
            ('newer', [row(3, prepaid=1), row(5, prepaid=2)], 2),
            ('older one last', [row(5, prepaid=2), row(3, prepaid=1)], 2),
            ('twice', [row(5, prepaid=2), row(5, prepaid=2)], 2),
            ('deleted', [row(3), deleted_row(5)], None),
            ('late after deletion', [deleted_row(5), row(3, prepaid=1)], None),
            ('created again', [deleted_row(5), row(6, prepaid=7)], 7),
        ]
    )
    def test_newest_row_in_any_order(self, _, rows, prepaid):
        view = TableView()
        for changed in rows:
            view.apply((changed,), 0)
        team = view.teams.get('winders')
        self.assertEqual(team and team.prepaid, prepaid)

    def test_unrecorded_deletion_still_holds(self):
        """Guards against a deleted row that comes back.

        The view has read the log up to 9, and the team was deleted at 8. A full
        read contains no deletions, so none was recorded. A delayed message then
        brings the team's row of version 5.
        """
        view = TableView()
        view.apply((), 9)
        self.assertEqual(view.apply((row(5, prepaid=1),), 0), ())
        self.assertEqual(view.teams, {})

    def test_version_never_decreases(self):
        view = TableView()
        view.apply((), 9)
        view.apply((), 4)
        self.assertEqual(view.version, 9)

    def test_invalid_row_keeps_the_previous_one(self):
        view = TableView()
        view.apply((row(3, prepaid=1),), 3)
        view.apply((row(5, prepaid='much'),), 5)
        self.assertEqual(view.teams['winders'].prepaid, 1)
        self.assertIn('prepaid', view.rejected[TEAM].fault.reason)
        self.assertEqual(list(view.rows_since(3)), [row(5, prepaid='much')])
        view.apply((row(6, prepaid=2),), 6)
        self.assertEqual(view.rejected, {})

    def test_unknown_kind_changes_no_target(self):
        view = TableView()
        view.apply((_target(1),), 1)
        view.apply((Row('table/region/t', 2, {}),), 2)
        view.apply((Row('table/region/t', 3, None),), 3)
        self.assertIn('t', view.targets)

    def test_watchers_get_new_rows_only(self):
        notified = []
        view = TableView(watchers=[notified.append])
        view.apply((row(3),), 3)
        view.apply((row(3),), 3)
        self.assertEqual(notified, [(row(3),)])


class SinceTest(unittest.TestCase):
    """Rows for a router that is behind."""

    def test_rows_since(self):
        view = TableView()
        view.apply((row(3, 'b'), row(2, 'a'), deleted_row(4, 'c')), 4)
        keys = [found.key for found in view.rows_since(2)]
        self.assertEqual(keys, ['table/team/b', 'table/team/c'])

    def test_apply_copy_removes_missing_rows(self):
        view = TableView()
        view.apply((row(2, 'a'), row(3, 'b'), row(12, 'ahead')), 3)
        copy = TableView()
        copy.apply((row(9, 'b', prepaid=9),), 9)
        apply_copy(view, copy)
        self.assertEqual(sorted(view.teams), ['ahead', 'b'])
        self.assertEqual(view.teams['b'].prepaid, 9)

    def test_apply_copy_ignores_an_older_copy(self):
        view = TableView()
        view.apply((row(3, 'a'),), 9)
        apply_copy(view, TableView(version=5))
        self.assertIn('a', view.teams)

    def test_tombstones_are_bounded(self):
        view = TableView()
        for version in range(1, 5001):
            view.apply((deleted_row(version, f't{version}'),), version)
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
        self.assertEqual(len(list(view.targets_of_service('x'))), 1)
        self.assertEqual(list(view.targets_of_service('llm')), [])
        view.apply((_target(3, kind=PLAIN_SERVICE, models=['n']),), 3)
        self.assertEqual(list(view.engines_for('n')), [])

    def test_key_in_two_rows_has_one_owner(self):
        """Guards against routers that bill one key to different teams.

        An operator copies a row with its key, and routers read the two rows in
        different orders. The last row read must not take the key.
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
