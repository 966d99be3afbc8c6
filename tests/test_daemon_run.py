"""Tests of signals that a router process receives."""

import asyncio
import contextlib
import json
import signal
import unittest

from tests.deployment import (
    MODEL,
    Deployment,
    exchange,
    parse_answer,
    request,
    until,
)
from tests.support import command_line

_EXIT_TIMEOUT_S = 30
_MAX_POLLS = 3000
_POLL_INTERVAL_S = 0.01
_SECOND_SIGNAL_EXIT_CODE = 1
_READY_REQUEST = request('GET /readyz', secret='')
_CHAT_BODY = {
    'model': MODEL,
    'stream': True,
    'messages': [{'role': 'user', 'content': 'words=3'}],
}
_STREAM_REQUEST = request(
    'POST /v1/chat/completions', json.dumps(_CHAT_BODY).encode()
)


class SignalTest(unittest.IsolatedAsyncioTestCase):
    """Runs a router process; its stand-ins run in the test process."""

    overrides = ()

    async def asyncSetUp(self):
        self.deployment = Deployment(self.overrides)
        await self.deployment.start(routers=0)
        overrides = self.deployment.settings_text('router-0')
        self.process = await asyncio.create_subprocess_exec(
            *command_line(),
            'serve',
            *(f'--set={override}' for override in overrides),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        started = json.loads(await self.process.stdout.readline())
        self.callers = started['callers']
        self.operators = started['operators']
        await self.wait_for('ready')

    async def asyncTearDown(self):
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        await self.deployment.stop()

    async def ready_status(self, address):
        answer = parse_answer(await exchange(address, _READY_REQUEST))
        return json.loads(answer.body)['status']

    async def wait_for(self, state):
        for _ in range(_MAX_POLLS):
            if await self.ready_status(self.operators) == state:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
        self.fail(f'the router is not {state}')

    async def open_stream(self):
        """Start a stream that the engine pauses after the first events."""
        engine = self.deployment.engine.core
        engine.cfg.pace_ms = 200
        stream = asyncio.create_task(exchange(self.callers, _STREAM_REQUEST))
        self.assertTrue(await until(lambda: engine.runs))
        engine.set_silent(silent=True)
        return stream

    async def exit_code(self):
        async with asyncio.timeout(_EXIT_TIMEOUT_S):
            return await self.process.wait()


class ShutdownTest(SignalTest):
    """SIGTERM lets requests in progress finish."""

    async def test_open_stream_is_finished(self):
        """A stream that is open at SIGTERM is sent to its end.

        Guards against a process that exits without waiting for requests in
        progress: the stream would end without its end marker.
        """
        stream = await self.open_stream()
        self.process.send_signal(signal.SIGTERM)
        await self.wait_for('leaving')
        engine = self.deployment.engine.core
        engine.set_silent(silent=False)
        answer = parse_answer(await stream)
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.body.endswith(b'data: [DONE]\n\n'))
        self.assertEqual(await self.exit_code(), 0)

    async def test_idle_connection_is_closed(self):
        """Idle connections are closed while a stream is still open.

        Guards against refusing only new connections: while a long stream
        delays the exit, callers would send their next request on an idle
        connection to a router that is shutting down.
        """
        stream = await self.open_stream()
        host, port = self.callers.rsplit(':', 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET /healthz HTTP/1.1\r\nHost: router\r\n\r\n')
        await reader.readuntil(b'"ok"}')
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_EXIT_TIMEOUT_S):
            self.assertEqual(await reader.read(), b'')
        self.assertFalse(stream.done())
        writer.close()
        engine = self.deployment.engine.core
        engine.set_silent(silent=False)
        await stream
        self.assertEqual(await self.exit_code(), 0)

    async def test_second_signal_exits_at_once(self):
        stream = await self.open_stream()
        self.process.send_signal(signal.SIGTERM)
        await self.wait_for('leaving')
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(await self.exit_code(), _SECOND_SIGNAL_EXIT_CODE)
        await asyncio.wait([stream])

    async def test_sighup_without_tls_changes_nothing(self):
        self.process.send_signal(signal.SIGHUP)
        self.assertEqual(await self.ready_status(self.callers), 'ready')


class ShutdownLimitTest(SignalTest):
    """The wait for requests in progress is limited."""

    overrides = ('callers.leave_timeout=50ms',)

    async def test_request_past_the_limit_is_aborted(self):
        stream = await self.open_stream()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(await self.exit_code(), 0)
        await asyncio.wait([stream])


class ShutdownDelayTest(SignalTest):
    """The listener stays open until the load balancer has noticed."""

    overrides = ('callers.leave_delay=1h',)

    async def test_leaving_is_reported_before_the_listener_closes(self):
        """After SIGTERM, /readyz says so while the listener is open.

        Guards against refused connections during a restart: if the listener
        closes at SIGTERM, the load balancer keeps sending connections until
        it checks /readyz, up to a second later.
        """
        self.process.send_signal(signal.SIGTERM)
        await self.wait_for('leaving')
        self.assertEqual(await self.ready_status(self.callers), 'leaving')


del SignalTest
