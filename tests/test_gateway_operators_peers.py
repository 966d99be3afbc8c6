"""Tests of ``GET /peers`` with two router processes."""

import contextlib
import json
import time
import unittest

from balsamreach.table.view import hash_key
from tests.support import call, process

_OPERATOR_KEY = 'operator-secret'
_UNREACHABLE = 'http://127.0.0.1:9'


def _wait_for(check):
    for _ in range(400):
        if check():
            return True
        time.sleep(0.05)
    return False


def _options(zone, *seeds):
    overrides = {
        'host.zone': zone,
        'host.name': f'router-{zone}',
        'callers.port': 0,
        'operators.port': 0,
        'operators.keys': hash_key(_OPERATOR_KEY),
        'peers.port': 0,
        'peers.seeds': ' '.join(seeds),
        'platform.table': _UNREACHABLE,
        'platform.objects': _UNREACHABLE,
        'platform.hosts': _UNREACHABLE,
        'platform.weights': _UNREACHABLE,
        'telemetry.traces': 'off',
        'telemetry.log_level': 'error',
    }
    return [f'--set={key}={text}' for key, text in overrides.items()]


class PeersTest(unittest.TestCase):
    """Routers find each other by seeds while the platform is unavailable."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        first_router = self.stack.enter_context(
            process('serve', *_options('a'))
        )
        self.addresses = json.loads(first_router.first_line)

    def peers(self, secret=_OPERATOR_KEY):
        address = self.addresses['operators']
        return call(f'http://{address}/peers', secret)

    def connected_by_zone(self):
        members = self.peers().json()['members']
        return [(member['zone'], member['linked']) for member in members]

    def test_router_joins_and_leaves(self):
        self.assertEqual(self.connected_by_zone(), [])
        options = _options('b', self.addresses['peers'])
        with process('serve', *options) as second_router:
            self.assertTrue(
                _wait_for(lambda: self.connected_by_zone() == [('b', True)])
            )
            listed = self.peers().json()['members'][0]['address']
            self.assertEqual(
                listed, json.loads(second_router.first_line)['peers']
            )
        self.assertTrue(_wait_for(lambda: not self.connected_by_zone()))

    def test_wrong_key_is_refused(self):
        reply = self.peers('wrong')
        self.assertEqual(reply.status, 401)
        self.assertNotIn('members', reply.json())
