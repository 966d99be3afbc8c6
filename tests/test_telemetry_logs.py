"""Tests of the log schema."""

import io
import json
import logging
import unittest

from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.telemetry.logs import log_event, make_handler

_SCHEMA = [
    'time',
    'level',
    'logger',
    'event',
    'host',
    'zone',
    'request_id',
    'team',
    'reason',
]


class LogTest(unittest.TestCase):
    """Each record is written as one JSON line of the schema."""

    def setUp(self):
        cfg = read_settings(None, ('host.zone=zone-a', 'host.name=r1'))
        self.stream = io.StringIO()
        self.logger = logging.getLogger(self.id())
        self.logger.propagate = False
        self.logger.setLevel(logging.INFO)
        self.logger.addHandler(make_handler(cfg, self.stream))

    def only_line(self):
        lines = self.stream.getvalue().splitlines()
        self.assertEqual(len(lines), 1)
        return json.loads(lines[0])

    def test_event_has_the_whole_schema(self):
        log_event(self.logger, logging.INFO, 'request_billed', team='blue')
        line = self.only_line()
        self.assertEqual(list(line), _SCHEMA)
        self.assertEqual(line['event'], 'request_billed')
        self.assertEqual(line['level'], 'info')
        self.assertEqual((line['host'], line['zone']), ('r1', 'zone-a'))
        self.assertEqual(line['team'], 'blue')
        self.assertIsNone(line['reason'])
        self.assertRegex(line['time'], r'^\d{4}-.*T.*\.\d{3}\+00:00$')

    def test_foreign_record_fits_the_schema(self):
        self.logger.warning('odd %s', 'thing\nhere')
        line = self.only_line()
        self.assertEqual(list(line), _SCHEMA)
        self.assertEqual(line['event'], 'log')
        self.assertEqual(line['reason'], 'odd thing\nhere')

    def test_own_fields_never_replace_the_schema(self):
        log_event(self.logger, logging.INFO, 'drawn', tokens=7, zone='forged')
        line = self.only_line()
        self.assertEqual(line['tokens'], 7)
        self.assertEqual(line['zone'], 'zone-a')

    @parameterized.expand(
        (
            ('key',),
            ('api_key',),
            ('operator_keys',),
            ('prompt',),
            ('prompt_text',),
            ('Authorization',),
            ('messages',),
            ('body',),
        )
    )
    def test_secret_is_dropped(self, name):
        fields = {name: 'hidden', 'tokens': 1}
        log_event(self.logger, logging.ERROR, 'refused', **fields)
        self.assertNotIn('hidden', self.stream.getvalue())
        self.assertEqual(self.only_line()['tokens'], 1)

    @parameterized.expand((('keyspace',), ('prompt_tokens',)))
    def test_other_names(self, name):
        log_event(self.logger, logging.INFO, 'counted', **{name: 3})
        expected = None if name.startswith('prompt_') else 3
        self.assertEqual(self.only_line().get(name), expected)
