"""Tests of the operators' interface: keys, requests and responses."""

import json
from unittest import mock

import attrs
from parameterized import parameterized
from tornado.testing import AsyncHTTPTestCase

from balsamreach.config.reader import read_settings
from balsamreach.gateway.operators import OperatorContext, make_operators_app
from balsamreach.table.view import hash_key
from tests.table_fleet import TableFleet

_OPERATOR_KEY = 'operator-secret'
_TEAM_KEY = 'team-secret'
_ROW_PATH = '/table/team/winders'
_NEW_ROW = {'version': 0, 'fields': {'prepaid': 100}}


def _edit(**keys):
    return {'version': -1, 'fields': {'weight': 2}} | keys


def _batch(*edits):
    return {'edits': list(edits)}


@attrs.frozen
class Answer:
    """Status and JSON body of a response."""

    status: int
    body: dict


class OperatorsTestCase(AsyncHTTPTestCase):
    """Base: a router with two operator keys, one of them also a team's."""

    def get_app(self):
        self.fleet = TableFleet()
        self.node = self.fleet.join('a')
        keys = f'{hash_key(_OPERATOR_KEY)} {hash_key(_TEAM_KEY)}'
        parts = self.node.parts
        return make_operators_app(
            OperatorContext(
                cfg=read_settings(
                    None,
                    ('host.zone=zone-a', f'operators.keys={keys}'),
                ),
                view=parts.view,
                service=self.node.access,
                editor=parts.editor,
                budgets=mock.Mock(ledgers={}),
                status=parts.status,
            ),
        )

    def setUp(self):
        super().setUp()
        self.io_loop.run_sync(self.node.step)
        created = _NEW_ROW['fields'] | {'key_hashes': [hash_key(_TEAM_KEY)]}
        self.created = self.send(
            'PATCH', _ROW_PATH, _NEW_ROW | {'fields': created}
        ).body

    def send(self, method, path, body=None, secret=_OPERATOR_KEY):
        """Send a request; encode a body that is not str or bytes as JSON."""
        if body is not None and not isinstance(body, (str, bytes)):
            body = json.dumps(body)
        answer = self.fetch(
            path,
            method=method,
            body=body,
            headers={'Authorization': f'Bearer {secret}'},
            allow_nonstandard_methods=True,
        )
        return Answer(answer.code, json.loads(answer.body))


class OperatorKeyTest(OperatorsTestCase):
    """Only operator keys give access."""

    @parameterized.expand(
        [
            (method, path, secret)
            for method, path in (
                ('GET', '/table'),
                ('GET', _ROW_PATH),
                ('PATCH', _ROW_PATH),
                ('DELETE', _ROW_PATH),
                ('POST', '/edits'),
                ('GET', '/history?key=team/winders'),
                ('GET', '/status'),
                ('GET', '/budgets/winders'),
            )
            for secret in ('', 'guess', _TEAM_KEY, hash_key(_OPERATOR_KEY))
        ]
    )
    def test_refused(self, method, path, secret):
        body = None if method == 'GET' else _edit()
        answer = self.send(method, path, body, secret)
        self.assertEqual(answer.status, 401)
        self.assertEqual(answer.body['error']['code'], 'wrong_operator_key')
        self.assertEqual(self.node.team().weight, 1)


class InvalidRequestTest(OperatorsTestCase):
    """An invalid edit gets an error that names the cause, and has no effect."""

    @parameterized.expand(
        [
            ('not JSON', '{', 'JSON'),
            ('no body', '', 'JSON'),
            ('not UTF-8', b'\xff\xfe', 'JSON'),
            ('deep', '[' * 100000, 'JSON'),
            ('a list', [], 'JSON'),
            ('unknown key', _edit(colour='red'), 'colour'),
            ('no version', {'fields': {}}, 'version'),
            ('text version', _edit(version='1'), 'version'),
            ('true version', _edit(version=True), 'version'),
            ('negative version', _edit(version=-2), 'version'),
            ('no change', {'version': -1}, 'fields'),
            ('two changes', _edit(top_up=5), 'top_up'),
            ('fields a list', _edit(fields=['weight']), 'fields'),
            ('unknown field', _edit(fields={'colour': 1}), 'colour'),
            ('wrong type', _edit(fields={'weight': '2'}), 'weight'),
            ('NaN', '{"version":-1,"fields":{"weight":NaN}}', 'weight'),
            ('key in clear', _edit(fields={'key_hashes': ['k']}), 'digest'),
            ('renamed', _edit(fields={'name': 'x'}), 'name'),
            ('author a number', _edit(author=5), 'author'),
            ('long author', _edit(author='a' * 65), 'author'),
            ('author of two lines', _edit(author='a\nb'), 'author'),
            ('id a number', _edit(edit_id=5), 'edit_id'),
            ('id with a slash', _edit(edit_id='a/b'), 'edit_id'),
            ('top-up of nothing', {'top_up': 0}, 'top_up'),
            ('top-up below nothing', {'top_up': -5}, 'top_up'),
            ('top-up a text', {'top_up': '5'}, 'top_up'),
            ('top-up beyond all', {'top_up': 2**60}, 'top_up'),
        ]
    )
    def test_refused(self, _, body, expected):
        before = self.send('GET', _ROW_PATH)
        answer = self.send('PATCH', _ROW_PATH, body)
        self.assertEqual(answer.status, 400, answer.body)
        self.assertIn(expected, answer.body['error']['message'])
        self.assertEqual(self.send('GET', _ROW_PATH), before)

    @parameterized.expand(
        [
            ('no list', {'edits': 5}, 'edits'),
            ('empty', _batch(), 'edits'),
            ('too many', _batch(*range(101)), 'edits'),
            ('no key', _batch(_edit()), 'key'),
            ('a text', _batch('x'), 'JSON'),
            (
                'row twice',
                _batch(_edit(key='team/a'), _edit(key='team/a', edit_id='b')),
                'key',
            ),
            (
                'id twice',
                _batch(
                    _edit(key='team/a', edit_id='b'),
                    _edit(key='team/b', edit_id='b'),
                ),
                'edit_id',
            ),
        ]
    )
    def test_bad_batch(self, _, body, expected):
        answer = self.send('POST', '/edits', body)
        self.assertEqual(answer.status, 400)
        self.assertIn(expected, answer.body['error']['message'])

    @parameterized.expand(
        [
            ('unknown path', 'GET', '/tables', 404),
            ('unknown kind', 'GET', '/table/region/x', 404),
            ('unknown row', 'GET', '/table/team/none', 404),
            ('wrong method', 'POST', '/table', 405),
            ('history of nothing', 'GET', '/history', 400),
        ]
    )
    def test_errors_are_json(self, _, method, path, status):
        body = '' if method == 'POST' else None
        answer = self.send(method, path, body)
        self.assertEqual(answer.status, status)
        self.assertIn('error', answer.body)


class EditTest(OperatorsTestCase):
    """Valid edits, and what the interface then shows."""

    def test_accepted_edit_is_in_force_at_once(self):
        self.send('PATCH', _ROW_PATH, _edit())
        self.assertEqual(self.node.team().weight, 2)

    def test_stale_edit_returns_current_row(self):
        """An edit of an outdated version must be refused, not applied.

        Two operators read the same row and save it one after the other. The
        second names a version that was replaced, and must be shown the row
        that the first saved.
        """
        version = self.created['version']
        self.send('PATCH', _ROW_PATH, _edit(version=version))
        answer = self.send('PATCH', _ROW_PATH, _edit(version=version))
        self.assertEqual(answer.status, 409)
        self.assertEqual(answer.body['row']['value']['weight'], 2)
        self.assertGreater(answer.body['row']['version'], version)
        counted = self.node.metrics.counted
        name = 'balsamreach_table_edits_total'
        self.assertEqual(counted(name, outcome='accepted'), 2)
        self.assertEqual(counted(name, outcome='stale_edit'), 1)

    def test_top_up_is_idempotent(self):
        top_up = {'top_up': 50, 'edit_id': 'top-1'}
        first = self.send('PATCH', _ROW_PATH, top_up)
        again = self.send('PATCH', _ROW_PATH, top_up)
        self.assertEqual(first, again)
        self.assertEqual(first.body['row']['prepaid'], 150)

    def test_history_names_author_and_key(self):
        self.send('PATCH', _ROW_PATH, _edit(author='Anna Kovács'))
        page = self.send('GET', '/history?key=team/winders&limit=1').body
        digest = hash_key(_OPERATOR_KEY)[:8]
        author = page['entries'][0]['author']
        self.assertEqual(author, f'Anna Kovács (key {digest})')
        self.assertTrue(page['after'])

    def test_table_is_paged(self):
        rows = [_edit(key=f'team/t{n}', version=0) for n in range(5)]
        outcomes = self.send('POST', '/edits', _batch(*rows)).body
        self.assertEqual(len(outcomes['outcomes']), 5)
        first = self.send('GET', '/table?limit=4').body
        self.assertTrue(first['more'])
        after = first['rows'][-1]['key']
        rest = self.send('GET', f'/table?after={after}').body
        self.assertEqual(
            [row['key'] for row in rest['rows']][-1], 'team/winders'
        )
        self.assertEqual(len(first['rows'] + rest['rows']), 6)

    def test_batch_returns_each_outcome(self):
        batch = _batch(
            _edit(key='team/winders', version=self.created['version']),
            _edit(key='team/other', version=7),
            _edit(key='team/bad', version=0, fields={'weight': -1}),
            {'key': 'team/none', 'delete': True, 'version': 0},
        )
        outcomes = self.send('POST', '/edits', batch).body['outcomes']
        codes = [outcome.get('error', {}).get('code') for outcome in outcomes]
        self.assertEqual(codes, [None, 'stale_edit', 'bad_row', 'no_row'])

    def test_platform_unavailable(self):
        self.node.access.cut = True
        answer = self.send('PATCH', _ROW_PATH, _edit())
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.body['error']['code'], 'table_away')
        self.assertEqual(self.send('GET', '/table').status, 503)
        self.assertEqual(self.send('GET', '/history?key=team/x').status, 503)
        self.assertEqual(self.send('GET', '/budgets/winders').status, 503)

    def test_budget_is_shown(self):
        shown = self.send('GET', '/budgets/winders').body
        self.assertEqual((shown['prepaid'], shown['free']), (100, 100))


class StatusTest(OperatorsTestCase):
    """Table version of each router, and since when one is behind."""

    def test_router_states(self):
        others = {name: self.fleet.join(name) for name in 'bcd'}
        self.io_loop.run_sync(others['b'].step)
        self.io_loop.run_sync(others['d'].step)
        self.fleet.network.cut('ad', 'b')
        self.fleet.clock.seconds = 100
        self.send('PATCH', _ROW_PATH, _edit())
        self.io_loop.run_sync(self.node.step)
        self.fleet.network.heal()
        self.fleet.network.cut('a', 'd')
        status = self.send('GET', '/status').body
        routers = {
            router['incarnation']: router for router in status['routers']
        }
        states = {name: router['state'] for name, router in routers.items()}
        self.assertEqual(
            states,
            {
                'a': 'current',
                'b': 'behind',
                'c': 'starting',
                'd': 'unreachable',
            },
        )
        self.assertEqual(routers['b']['behind_since'], 100)
        self.assertEqual(status['in_force_since'], 100)
        self.assertEqual(status['confirmed_s_ago'], 0)
