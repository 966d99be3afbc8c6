"""Tests of the quarantine handlers over HTTP, with two routers."""

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

_OPERATOR_KEY = 'operator-secret'
_FINGERPRINT = 'team-0123'
_QUARANTINED_GAUGE = 'balsamreach_quarantine_held'


class QuarantineTest(AsyncHTTPTestCase):
    """A request crashed two targets; one router saw it and told the other."""

    def get_app(self):
        clock, net = FakeClock(), FakeNet()
        self.net = net
        options = (f'operators.keys={hash_key(_OPERATOR_KEY)}',)
        self.local = Node(net=net.join('a'), clock=clock, options=options)
        self.remote = Node(net=net.join('b'), clock=clock)
        view = mock.Mock()
        view.team_by_secret.return_value = None
        context = OperatorContext(
            cfg=self.local.cfg,
            view=view,
            service=mock.Mock(),
            editor=mock.Mock(),
            budgets=mock.Mock(),
            status=mock.Mock(),
        )
        return Application(
            quarantine_handlers(context, self.local.quarantine),
        )

    def setUp(self):
        super().setUp()
        self.io_loop.run_sync(self._crash_two_targets)

    def send(self, method, path, secret=_OPERATOR_KEY):
        """Send a request; return status and JSON of the response."""
        headers = {'Authorization': f'Bearer {secret}'}
        answer = self.fetch(path, method=method, headers=headers)
        return answer.code, json.loads(answer.body)

    def test_listed_and_lifted_at_all_routers(self):
        """Lifting a quarantine at one router must lift it at all routers.

        If the lift is not sent to the peers, some routers go on refusing the
        request; the gauge must not count it any more either.
        """
        code, body = self.send('GET', '/quarantine')
        self.assertEqual(len(body['quarantine']), 1)
        entry = body['quarantine'][0]
        self.assertEqual((code, entry['team']), (200, 'team'))
        self.assertEqual(entry['fingerprint'], _FINGERPRINT)
        self.assertEqual(len(entry['targets']), 2)
        for node in (self.local, self.remote):
            self.assertEqual(node.quarantine.check(_FINGERPRINT), QUARANTINED)
            self.assertIn(f'{_QUARANTINED_GAUGE} 1', node.metrics.render())
        lifted = self.send('DELETE', f'/quarantine/{_FINGERPRINT}')
        self.assertEqual(lifted, (200, {'lifted': _FINGERPRINT}))
        self.io_loop.run_sync(self.net.settle)
        for node in (self.local, self.remote):
            self.assertIsNone(node.quarantine.check(_FINGERPRINT))
            self.assertIn(f'{_QUARANTINED_GAUGE} 0', node.metrics.render())
        self.assertEqual(self.send('GET', '/quarantine')[1]['quarantine'], [])

    def test_lift_of_unknown_fingerprint(self):
        code, body = self.send('DELETE', '/quarantine/another')
        self.assertEqual((code, body['error']['code']), (404, 'no_quarantine'))

    @parameterized.expand(
        [('GET', '/quarantine'), ('DELETE', f'/quarantine/{_FINGERPRINT}')],
    )
    def test_operator_key_is_required(self, method, path):
        code, body = self.send(method, path, 'guess')
        self.assertEqual(code, 401)
        self.assertEqual(body['error']['code'], 'wrong_operator_key')
        self.assertEqual(self.local.quarantine.check(_FINGERPRINT), QUARANTINED)

    async def _crash_two_targets(self):
        for _ in range(2):
            slot = await self.local.send(fingerprint=_FINGERPRINT)
            self.local.end(slot, Verdict.BROKEN)
            self.local.quarantine.record_refused_connection(slot.target.name)
            await self.net.settle()
