"""Tests of metrics and their Prometheus text format."""

import unittest

from balsamreach.telemetry.metrics import DROPPED, Metrics


class MetricsTest(unittest.TestCase):
    """The rendered page contains what was measured."""

    def setUp(self):
        self.metrics = Metrics()

    def test_counters_and_gauges(self):
        self.metrics.count('b_total', team='x', code=200)
        self.metrics.count('b_total', 2, code=200, team='x')
        self.metrics.count('a_total')
        self.metrics.gauge('waiting', 4)
        self.metrics.gauge('waiting', 3.5)
        self.assertEqual(
            self.metrics.render().splitlines(),
            [
                '# TYPE a_total counter',
                'a_total 1',
                '# TYPE b_total counter',
                'b_total{code="200",team="x"} 3',
                '# TYPE waiting gauge',
                'waiting 3.5',
            ],
        )
        self.assertEqual(self.metrics.counted('b_total', team='x', code=200), 3)

    def test_large_counter_keeps_every_digit(self):
        self.metrics.count('tokens_total', 12_345_678_901_234_567)
        self.assertIn('tokens_total 12345678901234567', self.metrics.render())

    def test_latencies_are_a_summary(self):
        for millis in range(1, 101):
            self.metrics.observe('hop_seconds', millis / 1000, hop='peer')
        lines = self.metrics.render().splitlines()
        self.assertEqual(lines[0], '# TYPE hop_seconds summary')
        self.assertIn('hop_seconds_count{hop="peer"} 100', lines)
        total = self.find_number(lines, 'hop_seconds_sum{hop="peer"}')
        self.assertAlmostEqual(total, 5.05)
        median = self.find_number(lines, 'quantile="0.5"')
        self.assertAlmostEqual(median, 0.05, delta=0.001)

    def find_number(self, lines, part):
        found = [line for line in lines if part in line]
        self.assertEqual(len(found), 1, lines)
        return float(found[0].rpartition(' ')[2])

    def test_latencies_out_of_range_are_kept(self):
        self.metrics.observe('hop_seconds', 0)
        self.metrics.observe('hop_seconds', 1e9)
        self.assertIn('hop_seconds_count 2', self.metrics.render())

    def test_label_text_is_escaped(self):
        self.metrics.count('a_total', team='\n'.join((r'q"', r'\z')))
        self.assertIn(r'a_total{team="q\"\n\\z"} 1', self.metrics.render())

    def test_number_of_series_is_limited(self):
        """A caller sends requests with ever new model names.

        Each refused request would add a series with its own label, so memory
        and the metrics page would grow without end.
        """
        metrics = Metrics(max_series=2)
        for model in ('a', 'b', 'c', 'd', 'a'):
            metrics.count('refused_total', model=model)
        self.assertEqual(metrics.counted('refused_total', model='a'), 2)
        self.assertEqual(metrics.counted('refused_total', model='d'), 0)
        self.assertEqual(metrics.counted(DROPPED), 2)
