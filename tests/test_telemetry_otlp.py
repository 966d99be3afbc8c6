"""Tests of the export of spans to a collector, also an unreachable one."""

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

_TRACE_ID = '4bf92f3577b34da6a3ce929d0e0e4736'
_PARENT_ID = '00f067aa0ba902b7'
_TRACEPARENT = f'00-{_TRACE_ID}-{_PARENT_ID}-01'
_SPAN_COUNT = 3 * otlp.MAX_QUEUED_SPANS


class CollectorTest(unittest.IsolatedAsyncioTestCase):
    """The collector answers, or is unreachable."""

    async def asyncSetUp(self):
        self.collector = Collector()
        self.collector.start()
        self.addAsyncCleanup(self.collector.stop)
        patch = mock.patch.object(otlp, '_EXPORT_TIMEOUT_S', 1)
        patch.start()
        self.addCleanup(patch.stop)

    def settings(self, url):
        return (
            'telemetry.traces=otlp',
            'telemetry.trace_share=100%',
            f'telemetry.otlp_url={url}',
        )

    async def serve_one(self, url):
        """Start a router, send it a traced request, and shut it down."""
        deployment = Deployment(self.settings(url))
        await deployment.start()
        line = 'POST /services/desk/certificate/1'
        sent = request(line, b'{}', Traceparent=_TRACEPARENT)
        answer = parse_answer(await exchange(deployment.callers, sent))
        await deployment.stop()
        return answer

    async def test_spans_of_a_request_arrive(self):
        """The last spans are sent during the shutdown of the router.

        If the export blocked the event loop, the collector would lack the
        spans of the last requests: it runs in the same loop and could not
        answer.
        """
        with self.assertNoLogs('opentelemetry', 'WARNING'):
            await self.serve_one(self.collector.url)
        spans = {
            one.span.name: one
            for one in self.collector.spans()
            if one.span.trace_id.hex() == _TRACE_ID
        }
        hops = {'caller', 'allotment', 'queue', 'platform', 'target'}
        self.assertLessEqual(hops, set(spans))
        resource, caller = attrs.astuple(spans['caller'], recurse=False)
        self.assertEqual(caller.parent_span_id.hex(), _PARENT_ID)
        self.assertEqual(resource['host.name'], 'router-0')
        self.assertEqual(resource['cloud.availability_zone'], 'zone-a')
        target = spans['target'].span
        self.assertEqual(target.parent_span_id, caller.span_id)
        self.assertLess(target.start_time_unix_nano, target.end_time_unix_nano)

    @parameterized.expand((('refused',), ('silent',)))
    async def test_unreachable_collector_blocks_no_request(self, kind):
        """The collector is down while the router serves and shuts down."""
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

    async def test_shutdown_does_not_wait_for_unreachable_collector(self):
        """A router shuts down with a full queue and no reachable collector.

        If each queued batch took its whole timeout, one after the other, the
        router would seem to hang for 30 s.
        """
        tracing = self.tracing()
        self.collector.gate.clear()
        for _ in range(otlp.MAX_QUEUED_SPANS):
            tracing.start_span('caller').end()
        with self.assertLogs('opentelemetry', 'WARNING'):
            await asyncio.to_thread(tracing.close)
        # One batch may have been in transit when the shutdown began.
        self.assertIn(self.collector.requests, {1, 2})

    async def test_span_queue_is_bounded(self):
        """A collector is unreachable for hours.

        With an unbounded queue the router's memory would grow.
        """
        tracing = self.tracing()
        self.collector.gate.clear()
        for _ in range(_SPAN_COUNT):
            tracing.start_span('caller').end()
        self.assertTrue(await until(lambda: self.collector.requests))
        self.collector.gate.set()
        await asyncio.to_thread(tracing.close)
        arrived = {one.span.span_id for one in self.collector.spans()}
        self.assertGreater(len(arrived), 0)
        # The queued spans and the batch in transit; a slow machine may send
        # one more batch before the queue is full.
        limit = otlp.MAX_QUEUED_SPANS + 2 * otlp.MAX_BATCH_SPANS
        self.assertLessEqual(len(arrived), limit)

    def tracing(self):
        overrides = ('host.zone=zone-a', *self.settings(self.collector.url))
        return Tracing(read_settings(None, overrides))
