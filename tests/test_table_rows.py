"""Row decoding is strict, and errors name the field."""

import unittest

from parameterized import parameterized

from balsamreach.table.faults import BAD_ROW
from balsamreach.table.rows import decode

_REQUIRED = {'address': '127.0.0.1:9', 'zone': 'a', 'service': 'llm'}


class DecodeTest(unittest.TestCase):
    """Invalid fields of each kind of row."""

    @parameterized.expand(
        [
            ({'prepaid': 1.5}, 'prepaid'),
            ({'prepaid': -1}, 'prepaid'),
            ({'prepaid': True}, 'prepaid'),
            ({'prepaid': '5'}, 'prepaid'),
            ({'prepaid': 2**60}, 'prepaid'),
            ({'weight': float('nan')}, 'weight'),
            ({'weight': float('inf')}, 'weight'),
            ({'concurrency': None}, 'concurrency'),
            ({'state': 'sleeping'}, 'state'),
            ({'state': []}, 'state'),
            ({'models': 'model-a'}, 'models'),
            ({'models': {'m': -1}}, 'models'),
            ({'models': {'m': '1'}}, 'models'),
            ({'models': [1]}, 'models'),
            ({'models': {'m': True}}, 'models'),
            ({'models': {'m': [1]}}, 'models'),
            ({'state': ['active']}, 'state'),
            ({'models': ['']}, 'models'),
            ({'key_hashes': 'ab'}, 'key_hashes'),
            ({'key_hashes': ['my-secret-key']}, 'key_hashes'),
            ({'colour': 'red'}, 'colour'),
            ({'name': 'other'}, 'name'),
        ]
    )
    def test_invalid_team(self, fields, field):
        fault = decode('table/team/t', fields)
        self.assertEqual(fault, BAD_ROW)
        self.assertIn(field, fault.reason)
        self.assertNotIn('my-secret-key', fault.reason)

    @parameterized.expand(
        [
            ({'address': 'engine.local:80'}, 'address'),
            ({'address': '127.0.0.1'}, 'address'),
            ({'address': '127.0.0.1:0'}, 'address'),
            ({'address': '127.0.0.1:99999'}, 'address'),
            ({'address': 5}, 'address'),
            ({'zone': ''}, 'zone'),
            ({'service': 'a/b'}, 'service'),
            ({'kind': 'robot'}, 'kind'),
            ({'trusted_refusals': 'yes'}, 'trusted_refusals'),
            ({'non_idempotent': 'confirm'}, 'non_idempotent'),
            ({'non_idempotent': ['\n']}, 'non_idempotent'),
            ({'price': 0.5}, 'price'),
        ]
    )
    def test_invalid_target(self, fields, field):
        fault = decode('table/target/t', _REQUIRED | fields)
        self.assertEqual(fault, BAD_ROW)
        self.assertIn(field, fault.reason)

    @parameterized.expand(
        [('127.0.0.1:9',), ('[::1]:9',)],
    )
    def test_valid_address(self, address):
        row = decode('table/target/t', _REQUIRED | {'address': address})
        self.assertEqual(row.address, address)

    def test_error_names_missing_fields(self):
        fault = decode('table/target/t', {'zone': 'a'})
        self.assertIn('address and service', fault.reason)

    @parameterized.expand(
        [('table/region/t', {}), ('table/team/t', []), ('table/team/t', 'x')],
    )
    def test_invalid_key_or_type(self, key, fields):
        self.assertEqual(decode(key, fields), BAD_ROW)
