"""Tests of reading settings files."""

import socket
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from balsamreach.config.faults import BAD_LISTENER, BAD_SETTINGS
from balsamreach.config.reader import check_ports, read_settings

_ZONE = 'host.zone=zone-a'
_FREE_PORTS = ('callers.port=0', 'operators.port=0', 'peers.port=0')

_PROBLEMS = (
    ('unknown_section', '[calers]\nport = 1', '[calers]: unknown section'),
    ('empty_section', '[nothing]', '[nothing]: unknown section'),
    ('default_section', '[DEFAULT]\nport = 1', '[DEFAULT]: unknown section'),
    ('unknown_key', '[callers]\nprt = 1', 'prt: unknown key; did you mean'),
    ('key_case', '[callers]\nPort = 1', '[callers] Port: unknown key'),
    ('no_unit', '[callers]\nidle_timeout = 5', 'like 500ms, 2s, 5m or 1h'),
    ('wrong_unit', '[callers]\nbody_limit = 5s', 'like 512B, 64KiB or 1MiB'),
    ('negative', '[callers]\nidle_timeout = -5s', 'idle_timeout: '),
    ('share', '[budget]\nlargest_share = 110%', 'from 0% to 100%'),
    ('count', '[budget]\nleast_draw = 1.5', 'whole number like 64'),
    ('flag', '[power]\nenabled = on', 'write yes or no'),
    ('word', '[budget]\nposture = bold', 'one of strict, lenient'),
    ('host_name', '[callers]\naddress = localhost', 'number like 127.0.0.1'),
    ('url', '[platform]\ntable = http://table:1', 'URL with an IP number'),
    ('url_port', '[platform]\ntable = http://[::1]:x', 'with an IP number'),
    ('port', '[callers]\nport = 65536', 'a port from 0 to 65535'),
    ('plain_key', '[operators]\nkeys = secret', 'never a key itself'),
    ('zone', '[host]\nzone =', "[host] zone: '' is refused"),
    ('twice', '[host]\nname = a\nname = b', 'name: duplicate key in line 3'),
    ('section_twice', '[host]\n[peers]\n[host]', 'duplicate section in line 3'),
    ('no_section', 'name = a', 'line 1: text before any section'),
    ('no_equals', '[host]\nname', 'line 2: write key = value'),
)


class ReadSettingsTest(unittest.TestCase):
    """The file replaces defaults; all its problems are reported together."""

    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / 'router.ini'

    def read(self, text, *overrides):
        self.path.write_text(text, encoding='utf-8')
        return read_settings(self.path, overrides)

    @parameterized.expand(_PROBLEMS)
    def test_problem_names_file_and_key(self, _, text, sentence):
        fault = self.read(text)
        self.assertEqual(fault, BAD_SETTINGS)
        named = [line for line in fault.problems if sentence in line]
        self.assertEqual(len(named), 1, fault.problems)
        self.assertTrue(named[0].startswith(f'{self.path}: '))

    def test_all_problems_are_reported_together(self):
        text = '[host]\nzone=a\nzone=b\n[callers]\nport=x\nport=y\nprt=1\n'
        fault = self.read(text)
        self.assertEqual(len(fault.problems), 4, fault.problems)
        self.assertEqual(fault.reason, '\n'.join(fault.problems))

    def test_file_and_overrides_replace_defaults(self):
        cfg = self.read(
            '[host]\nzone = zone-b\naddress = 127.0.0.9\n'
            '[callers]\nidle_timeout = 90s\nbody_limit = 2KiB\n',
            'callers.port=0',
        )
        self.assertEqual(cfg.host.zone, 'zone-b')
        self.assertEqual(cfg.callers.port, 0)
        self.assertEqual(cfg.callers.idle_timeout, 90)
        self.assertEqual(cfg.callers.body_limit, 2048)
        self.assertEqual(cfg.callers.address, '127.0.0.9')
        self.assertEqual(cfg.operators.address, '127.0.0.1')

    @parameterized.expand(
        (
            ('no_equals', 'callers.port', 'like callers.port=8080'),
            ('no_section', 'port=1', 'like callers.port=8080'),
            ('section', 'calers.port=1', 'did you mean callers'),
            ('key', 'callers.prt=1', 'did you mean port'),
        )
    )
    def test_bad_override(self, _, override, sentence):
        fault = read_settings(None, (_ZONE, override))
        self.assertIn(sentence, fault.reason)

    def test_missing_file_is_the_only_problem(self):
        fault = read_settings(self.path)
        self.assertEqual(len(fault.problems), 1)
        self.assertIn('name a readable file', fault.reason)

    def test_only_the_zone_has_no_default(self):
        fault = read_settings(None)
        self.assertEqual(len(fault.problems), 1, fault.problems)
        self.assertEqual(read_settings(None, (_ZONE,)).callers.port, 8080)


class CheckPortsTest(unittest.TestCase):
    """Ports are checked before a daemon listens on them."""

    def test_free_ports(self):
        cfg = read_settings(None, (_ZONE, *_FREE_PORTS))
        self.assertIsNone(check_ports(cfg))

    def test_port_in_use(self):
        """A router is started while another one uses its port.

        Without the check it would fail with a traceback when it binds the
        port.
        """
        with socket.create_server(('127.0.0.1', 0)) as sock:
            port = sock.getsockname()[1]
            used = f'peers.port={port}'
            fault = check_ports(
                read_settings(None, (_ZONE, *_FREE_PORTS, used))
            )
        self.assertEqual(fault, BAD_LISTENER)
        self.assertEqual(len(fault.problems), 1)
        self.assertIn(f'[peers] port: 127.0.0.1 port {port}', fault.reason)
