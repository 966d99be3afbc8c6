"""Tests of spans and the propagation of their context."""

import io
import json
import unittest

from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.telemetry.traces import Tracing, inject, trace_id


def _tracing(stream, *overrides):
    cfg = read_settings(None, ('host.zone=zone-a', *overrides))
    return Tracing(cfg, stream)


class TracingTest(unittest.TestCase):
    """Spans of one request share a trace id across hops."""

    def test_spans_of_two_routers_share_one_trace(self):
        stream = io.StringIO()
        first = _tracing(stream, 'telemetry.trace_share=100%')
        second = _tracing(stream, 'telemetry.trace_share=0%')
        outer = first.start_span('caller', team='blue')
        inner = second.start_span('peer', inject(outer))
        self.assertEqual(trace_id(inner), trace_id(outer))
        inner.end()
        outer.end()
        peer, caller = map(json.loads, stream.getvalue().splitlines())
        self.assertEqual(peer['trace_id'], caller['trace_id'])
        self.assertEqual(peer['parent_id'], caller['span_id'])
        self.assertIsNone(caller['parent_id'])
        self.assertEqual(caller['attributes'], {'team': 'blue'})
        self.assertEqual(caller['zone'], 'zone-a')

    def test_span_under_a_span(self):
        stream = io.StringIO()
        tracing = _tracing(stream, 'telemetry.trace_share=100%')
        outer = tracing.start_span('router')
        tracing.start_span('queue', outer).end()
        queue = json.loads(stream.getvalue().splitlines()[0])
        self.assertEqual(queue['trace_id'], trace_id(outer))

    @parameterized.expand(
        (
            ('off', 'telemetry.traces=off'),
            ('not_sampled', 'telemetry.trace_share=0%'),
        )
    )
    def test_context_is_propagated_without_recording(self, _, override):
        stream = io.StringIO()
        tracing = _tracing(stream, override)
        with tracing.start_span('caller') as span:
            self.assertIn(trace_id(span), inject(span)['traceparent'])
        self.assertEqual(stream.getvalue(), '')

    @parameterized.expand((('',), ('00-zz-00-01',), ('x' * 5000,)))
    def test_malformed_traceparent_starts_a_new_trace(self, header):
        tracing = _tracing(io.StringIO())
        span = tracing.start_span('caller', {'traceparent': header})
        self.assertNotEqual(trace_id(span), '0' * 32)
