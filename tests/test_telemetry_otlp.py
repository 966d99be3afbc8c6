"""Tests of spans that go to a collector, also one that is away."""

import asyncio
import socket
import unittest
from http import HTTPStatus
from unittest import mock

import attrs
from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.telemetry import otlp
from balsamreach.telemetry.traces import Tracing
from tests.collector import Collector
from tests.deployment import Deployment, exchange, parse_answer, request, until

_TRACE = '4bf92f3577b34da6a3ce929d0e0e4736'
_PARENT = '00f067aa0ba902b7'
_CALLER = f'00-{_TRACE}-{_PARENT}-01'
_MANY = 3 * otlp.MOST_WAITING


class CollectorTest(unittest.IsolatedAsyncioTestCase):
    """A collector that answers, or does not."""

    async def asyncSetUp(self):
        self.collector = Collector()
        self.collector.start()
        self.addAsyncCleanup(self.collector.stop)
        patch = mock.patch.object(otlp, '_EXPORT_S', 1)
        patch.start()
        self.addCleanup(patch.stop)

    def settings(self, url):
        return (
            'telemetry.traces=otlp',
            'telemetry.trace_share=100%',
            f'telemetry.otlp_url={url}',
        )

    async def serve_one(self, url):
        """Start a router, send it a traced request, and let it leave."""
        deployment = Deployment(self.settings(url))
        await deployment.start()
        line = 'POST /services/desk/certificate/1'
        sent = request(line, b'{}', Traceparent=_CALLER)
        answer = parse_answer(await exchange(deployment.callers, sent))
        await deployment.stop()
        return answer

    async def test_spans_of_a_request_arrive(self):
        """The last spans are sent while the router leaves.

        Symptom: the collector lacks the spans of a router's last requests.
        Events: the router leaves, its collector answers slowly. Cause:
        whatever else keeps the loop from running; here the collector runs
        in the same loop and could not answer.
        """
        with self.assertNoLogs('opentelemetry', 'WARNING'):
            await self.serve_one(self.collector.url)
        spans = {
            one.span.name: one
            for one in self.collector.spans()
            if one.span.trace_id.hex() == _TRACE
        }
        hops = {'caller', 'allotment', 'queue', 'platform', 'target'}
        self.assertLessEqual(hops, set(spans))
        resource, caller = attrs.astuple(spans['caller'], recurse=False)
        self.assertEqual(caller.parent_span_id.hex(), _PARENT)
        self.assertEqual(resource['host.name'], 'router-0')
        self.assertEqual(resource['cloud.availability_zone'], 'zone-a')
        target = spans['target'].span
        self.assertEqual(target.parent_span_id, caller.span_id)
        self.assertLess(target.start_time_unix_nano, target.end_time_unix_nano)

    @parameterized.expand((('refused',), ('silent',)))
    async def test_collector_that_is_away_holds_up_no_request(self, kind):
        """The collector is down while the router serves and leaves."""
        url = self.collector.url
        self.collector.gate.clear()
        if kind == 'refused':
            with socket.create_server(('127.0.0.1', 0)) as unused:
                port = unused.getsockname()[1]
            url = f'http://127.0.0.1:{port}'
        with self.assertLogs('opentelemetry', 'WARNING'):
            answer = await self.serve_one(url)
        self.assertEqual(answer.status, HTTPStatus.OK)
        self.assertEqual(self.collector.received, [])

    async def test_end_waits_for_no_collector_that_is_away(self):
        """A router whose collector is away leaves with a full queue.

        Symptom: the router seems to hang at its end, for 30 s. Cause: each
        batch that waited took its whole timeout, one after the other.
        """
        tracing = self.tracing()
        self.collector.gate.clear()
        for _ in range(otlp.MOST_WAITING):
            tracing.start_span('caller').end()
        with self.assertLogs('opentelemetry', 'WARNING'):
            await asyncio.to_thread(tracing.close)
        # One batch may have been under way as the end came.
        self.assertIn(self.collector.asks, {1, 2})

    async def test_spans_that_wait_are_bounded(self):
        """A collector is away for hours.

        Symptom: the router's memory grows. Cause: a queue without a bound.
        """
        tracing = self.tracing()
        self.collector.gate.clear()
        for _ in range(_MANY):
            tracing.start_span('caller').end()
        self.assertTrue(await until(lambda: self.collector.asks))
        self.collector.gate.set()
        await asyncio.to_thread(tracing.close)
        arrived = {one.span.span_id for one in self.collector.spans()}
        self.assertGreater(len(arrived), 0)
        # Those that waited and the batch under way; a slow machine may send
        # one batch more before the queue is full.
        most = otlp.MOST_WAITING + 2 * otlp.MOST_IN_BATCH
        self.assertLessEqual(len(arrived), most)

    def tracing(self):
        place = ('host.zone=zone-a', *self.settings(self.collector.url))
        return Tracing(read_settings(None, place))
