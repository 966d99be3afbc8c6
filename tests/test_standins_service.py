"""Tests of the simulated plain service over real connections."""

import json
import unittest

from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from balsamreach.standins.serve import start_service
from balsamreach.standins.service import ServiceSettings


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """Behaviour of a plain service on a free port."""

    async def asyncSetUp(self) -> None:
        self.running = await start_service(ServiceSettings())
        self.http = CurlAsyncHTTPClient(force_instance=True)

    async def asyncTearDown(self) -> None:
        self.http.close()
        await self.running.stop()

    async def test_echo(self) -> None:
        headers = {'Idempotency-Key': 'key-1'}
        for _ in range(2):
            response = await self._send(
                '/some/path?a=1', method='PUT', body='text', headers=headers
            )
        answer = json.loads(response.body)
        self.assertEqual(answer['method'], 'PUT')
        self.assertEqual(answer['path'], '/some/path')
        self.assertEqual(answer['body'], 'text')
        self.assertEqual(answer['runs'], 2)
        self.assertEqual(self.running.core.runs['/some/path'], 2)

    async def test_leaving(self) -> None:
        await self._control(leaving=True)
        response = await self._send('/x')
        self.assertEqual(response.code, 503)
        self.assertEqual(response.headers['X-Not-Run'], 'true')
        self.assertEqual(self.running.core.runs, {})

    async def test_failure(self) -> None:
        await self._control(fail=True)
        response = await self._send('/x')
        self.assertEqual(response.code, 500)

    async def test_silent(self) -> None:
        """A silent service accepts requests and does not answer.

        This simulates a process that hangs with its socket open; calls time
        out.
        """
        await self._control(silent=True)
        with self.assertRaises(CurlError):
            await self._send('/x', request_timeout=0.05)
        await self._control(silent=False)
        response = await self._send('/load')
        self.assertEqual(response.code, 200)

    async def _send(self, path: str, **kwargs) -> HTTPResponse:
        request = HTTPRequest(self.running.url + path, **kwargs)
        return await self.http.fetch(request, raise_error=False)

    async def _control(self, **settings) -> None:
        body = json.dumps(settings)
        await self._send('/control', method='POST', body=body)
