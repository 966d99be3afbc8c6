"""Checks that metric names are unique and listed on the operators' page."""

import ast
import pathlib
import re
import unittest
from collections import Counter

import balsamreach

_ROOT = pathlib.Path(__file__).parent.parent
_SOURCE = pathlib.Path(balsamreach.__file__).parent
_NAME = re.compile(r'balsamreach_[a-z_]*[a-z]')
_ROW = re.compile(r'^\| `([a-z_]+)` \|', re.MULTILINE)
#: The type in the body of an error response, not a metric.
_OTHERS = frozenset(('balsamreach_error',))
#: Suffixes of the gauges whose names ``table.follower`` builds.
_TABLE = ('version', 'age_seconds', 'rows', 'rows_rejected')


def _strings(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value


class NamesTest(unittest.TestCase):
    """Every metric name is defined once and has a row on the page."""

    def setUp(self):
        found = Counter(
            text
            for path in _SOURCE.rglob('*.py')
            for text in _strings(path)
            if _NAME.fullmatch(text) and text not in _OTHERS
        )
        self.found = found

    def test_each_name_stands_in_one_place(self):
        """No metric name is defined twice.

        Guards against a sum over a counter that counts each request twice,
        so that there seem to be twice as many attempts as requests: two
        modules define the same name and count with different labels.
        """
        twice = [name for name, count in self.found.items() if count > 1]
        self.assertEqual(twice, [])

    def test_page_lists_all_and_no_others(self):
        page = (_ROOT / 'docs' / 'operators' / 'metrics.md').read_text()
        listed = Counter(f'balsamreach_{row}' for row in _ROW.findall(page))
        made = [f'balsamreach_table_{name}' for name in _TABLE]
        self.assertEqual(listed, Counter([*self.found, *made]))
