"""Checks the names of all metrics against the operators' documentation."""

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
#: Not a metric: the type in the body of an error answer.
_NOT_METRICS = frozenset(('balsamreach_error',))
#: Suffixes of the gauges whose names ``table.follower`` builds.
_TABLE_GAUGES = ('version', 'age_seconds', 'rows', 'rows_rejected')


def _strings(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value


class NamesTest(unittest.TestCase):
    """Each metric name is used once in the source and documented."""

    def setUp(self):
        found = Counter(
            text
            for path in _SOURCE.rglob('*.py')
            for text in _strings(path)
            if _NAME.fullmatch(text) and text not in _NOT_METRICS
        )
        self.found = found

    def test_each_name_is_used_once(self):
        """Two modules count under one name, with different labels.

        A sum over that counter would count each request twice, so attempts
        would seem to be twice the requests.
        """
        twice = [name for name, count in self.found.items() if count > 1]
        self.assertEqual(twice, [])

    def test_documentation_lists_exactly_these_names(self):
        page = (_ROOT / 'docs' / 'operators' / 'metrics.md').read_text()
        listed = Counter(f'balsamreach_{row}' for row in _ROW.findall(page))
        built = [f'balsamreach_table_{name}' for name in _TABLE_GAUGES]
        self.assertEqual(listed, Counter([*self.found, *built]))
