"""Tests of the limits that the simulated row store shares with the real one."""

import json
from urllib.parse import urlencode

from parameterized import parameterized
from tornado.testing import AsyncHTTPTestCase

from balsamreach.standins.row_store import RowStoreState, make_row_store

_NOTES = {'table': 'notes', 'part': ''}


class RowStoreTest(AsyncHTTPTestCase):
    """Reading in pages, commits, and what the state counts."""

    def get_app(self):
        self.state = RowStoreState()
        return make_row_store(self.state)

    def read(self, **query):
        """Return the fields of the answer to a read call."""
        encoded = urlencode(_NOTES | query)
        return json.loads(self.fetch(f'/v1/rows-get?{encoded}').body)

    def commit(self, writes, **fields):
        """Return the status of a commit."""
        body = {'expected_rev': [], 'writes': writes, 'remove': []} | fields
        answer = self.fetch('/v1/rows-tx', method='POST', body=json.dumps(body))
        return answer.code

    @parameterized.expand(
        (
            ({}, 'abc', False),
            ({'limit': 2}, 'ab', True),
            ({'limit': 3}, 'abc', False),
            ({'from': 'b'}, 'bc', False),
            ({'from': 'b', 'limit': 1}, 'b', True),
            ({'to': 'c'}, 'ab', False),
        )
    )
    def test_pages(self, query, keys, has_more):
        """Guards against a reader that never sees a second page."""
        for key in 'cab':
            self.state.write('notes', key, {})
        page = self.read(**query)
        self.assertEqual(''.join(row['key'] for row in page['rows']), keys)
        self.assertEqual(page['more_pages'], has_more)
        self.assertEqual(page['ver'], self.state.version)
        self.assertIsInstance(page['now_ms'], int)

    @parameterized.expand(
        (
            ('most', 100, {}, 200),
            ('too_many', 101, {}, 400),
            ('operator', 1, {'table': 'servers'}, 403),
            ('checked', 1, {'ver': 5}, 412),
        )
    )
    def test_commits(self, _name, count, changed, status):
        """Guards against commits that the real store refuses."""
        rows = [
            _NOTES | {'key': f'{number}', 'value': ''} | changed
            for number in range(count)
        ]
        checks = rows if 'ver' in changed else []
        self.assertEqual(self.commit(rows, expected_rev=checks), status)
        written = count if status == 200 else 0
        self.assertEqual(len(self.state.rows), written)

    @parameterized.expand(((False, 400), (True, 200)))
    def test_several_parts(self, is_across, status):
        """Guards against one commit for rows of several parts."""
        rows = [_NOTES | {'key': 'a', 'value': '', 'part': one} for one in 'ab']
        self.assertEqual(self.commit(rows, across=is_across), status)

    def test_large_commit(self):
        """Guards against batches that the real store refuses."""
        row = _NOTES | {'key': 'a', 'value': 'A' * 1_000_000}
        self.assertEqual(self.commit([row]), 400)

    def test_tables_that_are_away(self):
        """Guards against a test that takes a call away and serves it."""
        self.state.served_tables = {'op'}
        row = _NOTES | {'key': 'a', 'value': ''}
        self.assertEqual(self.commit([row]), 503)
        self.assertEqual(self.state.rows, {})
        self.assertEqual(self.state.calls, {('/v1/rows-tx', 'notes'): 1})
