"""Checks that metric names are unique and listed on the operators' page."""

import ast
import pathlib
import re
import unittest
from collections import Counter

import balsamreach

_ROOT = pathlib.Path(__file__).parent.parent
_SOURCE = pathlib.Path(balsamreach.__file__).parent
_METRIC_NAME = re.compile(r'balsamreach_[a-z_]*[a-z]')
_TABLE_ROW = re.compile(r'^\| `([a-z_]+)` \|', re.MULTILINE)
#: The type in the body of an error response, not a metric.
_NOT_METRICS = frozenset(('balsamreach_error',))
#: Suffixes of the gauges whose names ``table.follower`` builds.
_TABLE_GAUGES = ('version', 'age_seconds', 'rows', 'rows_rejected')


def _strings(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value


class MetricNamesTest(unittest.TestCase):
    """Every metric name is defined once and has a row on the page."""

    def setUp(self):
        counts = Counter(
            text
            for path in _SOURCE.rglob('*.py')
            for text in _strings(path)
            if _METRIC_NAME.fullmatch(text) and text not in _NOT_METRICS
        )
        self.counts = counts

    def test_each_name_is_defined_once(self):
        """No metric name is defined twice.

        Guards against a sum over a counter that counts each request twice,
        so that there seem to be twice as many attempts as requests: two
        modules define the same name and count with different labels.
        """
        duplicates = [name for name, count in self.counts.items() if count > 1]
        self.assertEqual(duplicates, [])

    def test_page_lists_exactly_these_names(self):
        page = (_ROOT / 'docs' / 'operators' / 'metrics.md').read_text()
        listed = Counter(
            f'balsamreach_{row}' for row in _TABLE_ROW.findall(page)
        )
        table_gauges = [f'balsamreach_table_{name}' for name in _TABLE_GAUGES]
        self.assertEqual(listed, Counter([*self.counts, *table_gauges]))
