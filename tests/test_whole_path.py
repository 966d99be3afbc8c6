"""End-to-end test with separate processes: request, bill and edit."""

import contextlib
import json
import time
import unittest

from balsamreach.table.view import hash_key
from tests.support import call, process

_TEAM_KEY = 'team-secret'
_OPERATOR_KEY = 'operator-secret'
_CHAT = {
    'model': 'model-a',
    'stream': True,
    'messages': [{'role': 'user', 'content': 'quote words=3'}],
}
_PROMPT_TOKENS = 2
_REPLY_TOKENS = 3


def _wait_until(check):
    for _ in range(400):
        if check():
            return True
        time.sleep(0.05)
    return False


class WholePathTest(unittest.TestCase):
    """A router, an engine and the platform in separate processes."""

    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        platform = self.stack.enter_context(process('standin', 'platform'))
        self.engine = self.stack.enter_context(process('standin', 'engine'))
        url = f'http://{platform.address}'
        overrides = {
            'host.zone': 'zone-a',
            'callers.port': 0,
            'callers.leave_delay': '0s',
            'operators.port': 0,
            'operators.keys': hash_key(_OPERATOR_KEY),
            'peers.port': 0,
            'platform.table': url,
            'platform.objects': url,
            'platform.hosts': url,
            'platform.weights': url,
            'telemetry.traces': 'off',
        }
        options = [f'--set={key}={text}' for key, text in overrides.items()]
        router = self.stack.enter_context(process('serve', *options))
        started = json.loads(router.first_line)
        self.callers = f'http://{started["callers"]}'
        self.operators = f'http://{started["operators"]}'

    def test_request_is_answered_billed_once_and_an_edit_takes_effect(self):
        self._edit('team/winders', prepaid=5000, key_hashes=self._hashes())
        self._edit(
            'target/engine-0',
            address=self.engine.address,
            zone='zone-a',
            service='llm',
            models=['model-a'],
        )
        chat = f'{self.callers}/v1/chat/completions'
        ready = _wait_until(
            lambda: (
                call(chat, _TEAM_KEY, _CHAT | {'messages': 0}).status == 400
            ),
        )
        self.assertTrue(ready)

        first = call(chat, _TEAM_KEY, _CHAT, Idempotency_Key='quote-1')
        again = call(chat, _TEAM_KEY, _CHAT, Idempotency_Key='quote-1')

        self.assertEqual(first.status, 200)
        self.assertTrue(first.body.endswith(b'data: [DONE]\n\n'))
        self.assertEqual(again.body, first.body)
        self.assertTrue(
            _wait_until(lambda: not self._ledger()['waiting_bills'])
        )
        self.assertEqual(
            self._ledger()['billed'],
            _PROMPT_TOKENS + _REPLY_TOKENS,
        )

        self._edit('team/winders', state='paused')
        paused = _wait_until(
            lambda: call(chat, _TEAM_KEY, _CHAT).status == 403,
        )
        self.assertTrue(paused)

    def _edit(self, key, **fields):
        reply = call(
            f'{self.operators}/table/{key}',
            _OPERATOR_KEY,
            {'version': -1, 'fields': fields},
            'PATCH',
        )
        self.assertEqual(reply.status, 200, reply.body)

    def _ledger(self):
        reply = call(f'{self.operators}/budgets/winders', _OPERATOR_KEY)
        return reply.json()['this_router']

    def _hashes(self):
        return [hash_key(_TEAM_KEY)]
