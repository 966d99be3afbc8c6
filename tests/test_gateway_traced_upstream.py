"""Tests of the spans of one request at routers and targets."""

import asyncio
import contextlib
import io
import json
import unittest
from http import HTTPStatus

from tests.deployment import (
    Deployment,
    exchange,
    parse_answer,
    request,
    until,
)

_TRACE_ID = '4bf92f3577b34da6a3ce929d0e0e4736'
_PARENT_ID = '00f067aa0ba902b7'
_TRACEPARENT = f'00-{_TRACE_ID}-{_PARENT_ID}-01'


class TraceTest(unittest.IsolatedAsyncioTestCase):
    """Two routers that write their spans to one stream."""

    async def asyncSetUp(self):
        # In debug mode the loop reports each callback of 100 ms and more on
        # standard error. On a busy machine the stream would contain lines
        # that are not spans, and parsing it would raise JSONDecodeError.
        # The callback that turns the mode off is still reported itself,
        # hence the sleep.
        asyncio.get_running_loop().set_debug(False)
        await asyncio.sleep(0)
        self.stream = io.StringIO()
        self.deployment = Deployment(('telemetry.traces=stderr',))
        with contextlib.redirect_stderr(self.stream):
            await self.deployment.start(routers=2)

    async def asyncTearDown(self):
        await self.deployment.stop()

    async def call(self, router, **headers):
        sent = request('POST /services/desk/certificate/1', b'{}', **headers)
        return parse_answer(await exchange(router.callers.address, sent))

    def spans(self):
        lines = self.stream.getvalue().splitlines()
        spans = [json.loads(line) for line in lines]
        return [span for span in spans if span['trace_id'] == _TRACE_ID]

    async def test_retry_at_another_router_keeps_trace(self):
        """A retry at another router belongs to the same trace.

        If each router started its own trace, a request that was sent twice
        could not be followed.
        """
        headers = {'Idempotency_Key': 'c-1', 'Traceparent': _TRACEPARENT}
        for router in self.deployment.routers:
            await self.call(router, **headers)
        spans = self.spans()
        callers = [span for span in spans if span['span'] == 'caller']
        hosts = {span['host'] for span in callers}
        self.assertEqual(hosts, {'router-0', 'router-1'})
        parents = {span['parent_id'] for span in callers}
        self.assertEqual(parents, {_PARENT_ID})

    async def test_question_to_another_router_has_spans(self):
        """Questions to another router have spans.

        The caller retries at router 2 what router 0 runs, and router 2 asks
        router 0 for the answer. Without these spans, the trace would not
        explain why such a request is slow.
        """
        first = self.deployment.routers[0]
        first_net = first.parts.net
        self.deployment.overrides += (f'peers.seeds={first_net.me.address}',)
        with contextlib.redirect_stderr(self.stream):
            last = await self.deployment.add_router('router-2')
        last_net = last.parts.net
        connected = await until(
            lambda: first_net.neighbours() and last_net.neighbours()
        )
        self.assertTrue(connected)
        await self.call(first, Idempotency_Key='c-1')
        answer = await self.call(
            last,
            Idempotency_Key='c-1',
            Traceparent=_TRACEPARENT,
        )
        self.assertEqual(answer.status, HTTPStatus.OK)
        asked, answered = (
            [span for span in self.spans() if span['span'] == name]
            for name in ('peer', 'peer_answer')
        )
        kinds = {span['attributes']['kind'] for span in answered}
        self.assertIn('AnswerAsk', kinds)
        self.assertEqual({span['host'] for span in asked}, {'router-2'})
        self.assertEqual({span['host'] for span in answered}, {'router-0'})
        self.assertEqual(
            [span['span_id'] for span in asked],
            [span['parent_id'] for span in answered],
        )
        outcomes = {span['attributes']['outcome'] for span in asked}
        self.assertEqual(outcomes, {'ok'})

    async def test_each_hop_has_child_span(self):
        answer = await self.call(
            self.deployment.routers[0],
            Idempotency_Key='c-1',
            Traceparent=_TRACEPARENT,
        )
        spans = {span['span']: span for span in self.spans()}
        hops = {'caller', 'allotment', 'queue', 'platform', 'target'}
        self.assertLessEqual(hops, set(spans))
        target = spans['target']
        self.assertEqual(target['parent_id'], spans['caller']['span_id'])
        sent = json.loads(answer.body)['headers']['Traceparent']
        span_id = target['span_id']
        self.assertEqual(sent, f'00-{_TRACE_ID}-{span_id}-01')

    async def test_unsampled_request_has_no_span(self):
        unsampled = f'00-{_TRACE_ID}-{_PARENT_ID}-00'
        answer = await self.call(
            self.deployment.routers[0],
            Traceparent=unsampled,
        )
        self.assertEqual(self.spans(), [])
        sent = json.loads(answer.body)['headers']['Traceparent']
        self.assertTrue(sent.startswith(f'00-{_TRACE_ID}-'))
