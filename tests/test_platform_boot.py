"""Tests of reading the platform's settings file."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from parameterized import parameterized

from balsamreach.config.faults import BAD_SETTINGS, ConfigFault
from balsamreach.config.reader import read_settings
from balsamreach.platform.platform_settings import (
    PATH_VARIABLE,
    read_platform_settings,
)

_FILE = """
node = "front-a-1"
ip = "10.1.0.40"
zone = "zone-a"
seeds = ["10.1.0.40:8229", "10.2.0.29:8229"]
new_field = "is left alone"
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
control = "10.1.0.40:8229"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
[platform]
address = "10.200.1.7:8223"
"""


class ReadBootTest(unittest.TestCase):
    """Fields become overrides; problems name the file and the field."""

    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / 'local.toml'

    def read(self, text):
        self.path.write_text(text, encoding='utf-8')
        return read_platform_settings(str(self.path))

    def test_all_fields_are_converted(self):
        cfg = read_settings(None, self.read(_FILE))
        self.assertNotIsInstance(cfg, ConfigFault)
        self.assertEqual(cfg.host.zone, 'zone-a')
        self.assertEqual(cfg.callers.port, 8227)
        self.assertEqual(cfg.probes.port, 8220)
        self.assertEqual(cfg.peers.seeds[1], '10.2.0.29:8229')
        self.assertEqual(cfg.platform.table, 'http://10.200.1.7:8223')
        self.assertEqual(cfg.relay.retry_share, 0.2)
        self.assertEqual(cfg.relay.grace, 8)

    @parameterized.expand(
        (
            ('zone', 'zone = "zone-a"', '[] zone: missing'),
            ('store', 'address = "10.200.1.7:8223"', '[platform] address'),
            ('bound', 'grace_s = 8', '[bounds] grace_s: missing'),
        )
    )
    def test_missing_field_is_named(self, _, line, place):
        fault = self.read(_FILE.replace(line, ''))
        self.assertEqual(fault, BAD_SETTINGS)
        self.assertIn(place, fault.problems[0])
        self.assertTrue(fault.problems[0].startswith(str(self.path)))

    def test_optional_field(self):
        self.assertNotIn('host.link=', ' '.join(self.read(_FILE)))
        fields = f'{_FILE}[limits]\nlink_mbps = 10.0\n'
        cfg = read_settings(None, self.read(fields))
        self.assertEqual(cfg.host.link, 10)

    def test_invalid_toml(self):
        self.assertIn('not TOML', self.read('node = ').problems[0])

    def test_missing_file(self):
        fault = read_platform_settings(str(self.path))
        self.assertIn('name a readable file', fault.problems[0])

    def test_unset_variable(self):
        with mock.patch.dict('os.environ', clear=True):
            self.assertIn(PATH_VARIABLE, read_platform_settings().problems[0])
