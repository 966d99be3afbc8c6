"""Row versions list all rows written since a version, in order."""

import random
import unittest
from unittest import mock

from parameterized import parameterized

from balsamreach.table import row_versions
from balsamreach.table.row_versions import RowVersions
from tests.table_fleet import deleted_row, row


class SinceTest(unittest.TestCase):
    """Requests served from the recent writes or from a list of all rows."""

    @parameterized.expand([(seed,) for seed in range(8)])
    @mock.patch.object(row_versions, '_MAX_RECENT', 12)
    def test_lists_every_row_written_since(self, seed):
        """Guards against an edit that a router far behind never receives.

        Rows are written and deleted out of order while pages are requested. The
        sorted list made for the first page may lack rows that were written
        later, so that the table has the same version everywhere but different
        rows.
        """
        rng = random.Random(seed)
        versions = RowVersions()
        written = {}
        shuffled = sorted(
            range(1, 400), key=lambda number: number + 20 * rng.random()
        )
        for version in shuffled:
            name = f'team-{rng.randrange(40)}'
            make_row = deleted_row if rng.randrange(5) == 0 else row
            changed_row = make_row(version, name)
            if version > written.get(changed_row.key, 0):
                versions.record(changed_row, name)
                written[changed_row.key] = version
            since = rng.randrange(version + 10)
            expected = sorted(
                (current_version, key)
                for key, current_version in written.items()
                if current_version > since
            )
            # Read only the first key of some requests, all of others.
            found = versions.keys_since(since)
            if rng.randrange(2):
                first = next(found, None)
                self.assertEqual(first, (*expected, (0, None))[0][1])
            else:
                keys = [key for _version, key in expected]
                self.assertEqual(list(found), keys)
