"""Tests of the versions of rows: who is behind gets all, and in order."""

import random
import unittest
from unittest import mock

from parameterized import parameterized

from balsamreach.table import row_versions
from balsamreach.table.row_versions import RowVersions
from tests.table_fleet import gone, row


class SinceTest(unittest.TestCase):
    """The short way for neighbours a little behind, the long for others."""

    @parameterized.expand([(seed,) for seed in range(8)])
    @mock.patch.object(row_versions, '_RECENT', 12)
    def test_every_row_written_since(self, seed):
        """An edit is missing at a router that was cut off for a while.

        Symptom: the table's version is the same everywhere, a row is not.
        Sequence: rows are written and deleted, some ahead of others, while
        a router far behind asks for page after page.
        Cause: the list made for its first page lacks what came later.
        """
        rng = random.Random(seed)
        versions = RowVersions()
        written = {}
        ahead = sorted(range(1, 400), key=lambda one: one + 20 * rng.random())
        for version in ahead:
            name = f'team-{rng.randrange(40)}'
            make = gone if rng.randrange(5) == 0 else row
            change = make(version, name)
            if version > written.get(change.key, 0):
                versions.note(change, name)
                written[change.key] = version
            since = rng.randrange(version + 10)
            expected = sorted(
                (there, key) for key, there in written.items() if there > since
            )
            # The first page of some and all of others.
            found = versions.since(since)
            if rng.randrange(2):
                first = next(found, None)
                self.assertEqual(first, (*expected, (0, None))[0][1])
            else:
                keys = [key for _there, key in expected]
                self.assertEqual(list(found), keys)
