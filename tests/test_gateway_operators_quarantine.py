"""Tests of the operators' view of quarantines, over HTTP, two routers."""

import json
from unittest import mock

from parameterized import parameterized
from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from balsamreach.gateway.operators import OperatorContext
from balsamreach.gateway.operators_quarantine import quarantine_handlers
from balsamreach.routing.faults import QUARANTINED
from balsamreach.routing.slot import Verdict
from balsamreach.table.view import hash_key
from tests.fake_net import FakeNet
from tests.routing_node import Node
from tests.support import FakeClock

_OPERATOR = 'operator-secret'
_CULPRIT = 'team-0123'
_HELD = 'balsamreach_quarantine_held'


class QuarantineTest(AsyncHTTPTestCase):
    """One router has seen a request crash two targets, another was told."""

    def get_app(self):
        clock, net = FakeClock(), FakeNet()
        self.net = net
        options = (f'operators.keys={hash_key(_OPERATOR)}',)
        self.here = Node(net=net.join('a'), clock=clock, options=options)
        self.there = Node(net=net.join('b'), clock=clock)
        view = mock.Mock()
        view.team_by_secret.return_value = None
        context = OperatorContext(
            cfg=self.here.cfg,
            view=view,
            service=mock.Mock(),
            editor=mock.Mock(),
            budgets=mock.Mock(),
            status=mock.Mock(),
        )
        return Application(
            quarantine_handlers(context, self.here.quarantine),
        )

    def setUp(self):
        super().setUp()
        self.io_loop.run_sync(self._crash_two)

    def send(self, method, path, secret=_OPERATOR):
        """Send a request; return the status and the JSON of its answer."""
        headers = {'Authorization': f'Bearer {secret}'}
        answer = self.fetch(path, method=method, headers=headers)
        return answer.code, json.loads(answer.body)

    def test_listed_and_lifted_everywhere(self):
        """A request that an operator lets out stays out of reach.

        Symptom: after the lift some routers still refuse the request.
        Sequence: it is quarantined over the fleet and lifted at one router.
        Cause: the lift is not told, or the gauge still counts it.
        """
        code, body = self.send('GET', '/quarantine')
        self.assertEqual(len(body['quarantine']), 1)
        entry = body['quarantine'][0]
        self.assertEqual((code, entry['team']), (200, 'team'))
        self.assertEqual(entry['fingerprint'], _CULPRIT)
        self.assertEqual(len(entry['targets']), 2)
        for node in (self.here, self.there):
            self.assertEqual(node.quarantine.check(_CULPRIT), QUARANTINED)
            self.assertIn(f'{_HELD} 1', node.metrics.render())
        lifted = self.send('DELETE', f'/quarantine/{_CULPRIT}')
        self.assertEqual(lifted, (200, {'lifted': _CULPRIT}))
        self.io_loop.run_sync(self.net.settle)
        for node in (self.here, self.there):
            self.assertIsNone(node.quarantine.check(_CULPRIT))
            self.assertIn(f'{_HELD} 0', node.metrics.render())
        self.assertEqual(self.send('GET', '/quarantine')[1]['quarantine'], [])

    def test_lifting_what_is_not_held(self):
        code, body = self.send('DELETE', '/quarantine/another')
        self.assertEqual((code, body['error']['code']), (404, 'no_quarantine'))

    @parameterized.expand(
        [('GET', '/quarantine'), ('DELETE', f'/quarantine/{_CULPRIT}')],
    )
    def test_only_operators_get_in(self, method, path):
        code, body = self.send(method, path, 'guess')
        self.assertEqual(code, 401)
        self.assertEqual(body['error']['code'], 'wrong_operator_key')
        self.assertEqual(self.here.quarantine.check(_CULPRIT), QUARANTINED)

    async def _crash_two(self):
        for _ in range(2):
            slot = await self.here.send(fingerprint=_CULPRIT)
            self.here.end(slot, Verdict.BROKEN)
            self.here.quarantine.record_refused_connection(slot.target.name)
            await self.net.settle()
