"""Golden sessions and example files of the two users in examples/."""

import json
import unittest
from pathlib import Path

from balsamreach.client.csv_table import Line, read_table
from balsamreach.config.reader import read_settings
from balsamreach.config.settings import Settings
from balsamreach.table.faults import TableFault
from balsamreach.table.rows import TABLE_PREFIX, decode
from tests.deployment import MODEL, Deployment, request
from tests.golden_support import Session, golden_text

_CHAT = 'POST /v1/chat/completions'
_CERTIFICATE = 'POST /services/desk/certificate/m-17'
_CONFIRMATION = 'POST /services/desk/confirmation'
_BOOKING = b'{"class": "beginners", "day": "2026-07-01", "boards": 2}'
_EXAMPLES = Path(__file__).parent.parent / 'examples'


def _chat_body(text, **changes):
    messages = [{'role': 'user', 'content': text}]
    body = {'model': MODEL, 'messages': messages}
    return json.dumps(body | changes).encode()


class GoldenTest(unittest.IsolatedAsyncioTestCase):
    """Sessions without failures of the platform or the routers."""

    maxDiff = None

    async def asyncSetUp(self):
        self.deployment = Deployment()
        await self.deployment.start()
        self.session = Session(self.deployment)

    async def asyncTearDown(self):
        await self.deployment.stop()

    async def check_session(self, name, bills):
        text = await self.session.end(bills)
        self.assertEqual(text, golden_text(name, text))

    async def test_retried_request_is_billed_once(self):
        """A request that is repeated under its key is billed once.

        Guards against two bills for one quote: a tablet times out and sends
        the same request again, which is handled as a new one.
        """
        sent = request(
            _CHAT,
            _chat_body('Quote a rewind of a 55 kW stator. words=6'),
            Idempotency_Key='tablet-3-quote-118',
        )
        await self.session.send('quote', sent)
        await self.session.send('the tablet asks again', sent)
        await self.check_session('tekercs-quote-retried', bills=1)

    async def test_repeated_non_idempotent_call_runs_once(self):
        """A repeated non-idempotent call runs once.

        Guards against two certificates, which confuse the customer's
        auditors: the answer is late, the caller sends the call again and it
        runs again.
        """
        sent = request(
            _CERTIFICATE,
            b'{"motor": "m-17"}',
            Idempotency_Key='certificate-m-17',
            Content_Type='application/json',
        )
        await self.session.send('certificate', sent)
        await self.session.send('the same certificate', sent)
        await self.check_session('tekercs-certificate-twice', bills=1)

    async def test_non_idempotent_call(self):
        sent = request(
            _CONFIRMATION,
            _BOOKING,
            Idempotency_Key='booking-2041',
            Content_Type='application/json',
        )
        await self.session.send('confirmation', sent)
        await self.check_session('kymata-confirmation', bills=1)

    async def test_stream_is_resumed_after_cut(self):
        """A stream is resumed after its connection to the engine breaks.

        Guards against half an answer: the connection breaks after some
        events and the router does not fetch the rest.
        """
        engine = self.deployment.engine.core
        engine.cfg.cut_after = 4
        sent = request(
            _CHAT,
            _chat_body('Which wetsuit for 12 years? words=6', stream=True),
            Idempotency_Key='guest-77',
        )
        await self.session.send('question of a guest', sent)
        await self.check_session('kymata-stream-resumed', bills=1)

    async def test_refused_requests(self):
        await self.session.send('no key', request(_CHAT, _chat_body('x'), ''))
        await self.session.send(
            'paused', request(_CHAT, _chat_body('x'), 'paused-secret')
        )
        await self.session.send(
            'no budget', request(_CHAT, _chat_body('x'), 'poor-secret')
        )
        await self.session.send(
            'model', request(_CHAT, _chat_body('x', model='y'))
        )
        await self.session.send('path', request('GET /v2'))
        await self.check_session('refusals', bills=0)


class ExamplesTest(unittest.TestCase):
    """The files in examples/ are valid."""

    def test_settings_are_valid(self):
        files = sorted(_EXAMPLES.glob('*/*.ini'))
        self.assertEqual(len(files), 7)
        for path in files:
            with self.subTest(path.name):
                cfg = read_settings(path)
                self.assertIsInstance(cfg, Settings, cfg)
                self.assertEqual(cfg.host.zone, path.stem)

    def test_tables_are_valid(self):
        for path in sorted(_EXAMPLES.glob('*/table.csv')):
            with path.open(encoding='utf-8', newline='') as stream:
                lines = list(read_table(stream))
            for line in lines:
                self.assertIsInstance(line, Line, line)
                row = decode(f'{TABLE_PREFIX}{line.key}', line.fields)
                self.assertNotIsInstance(row, TableFault, row)
