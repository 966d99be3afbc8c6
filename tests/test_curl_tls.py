"""Tests of TLS to the platform and to targets."""

import ssl
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import attrs
from parameterized import parameterized
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from balsamreach import curl_tls
from balsamreach.clock import SystemClock
from balsamreach.config.reader import check_certificates, read_settings
from balsamreach.daemon.clients import platform_client
from balsamreach.faults import Fault
from balsamreach.gateway.target_client import HttpTargetClient
from balsamreach.services.table_http import HttpTableService
from balsamreach.standins.engine import Engine
from balsamreach.standins.engine_http import make_engine_app
from balsamreach.standins.engine_settings import EngineSettings
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.standins.platform import make_platform_app
from tests.tls_files import Files

_KINDS = (('platform',), ('target',))


class CurlTlsTest(unittest.IsolatedAsyncioTestCase):
    """Platform and target request a client certificate from the router."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.files = Files(directory.name)
        self.other_files = Files(Path(directory.name, 'others'))
        # The CA cache lifetime of 1 min is too long for a test.
        cache = mock.patch.object(curl_tls, 'CA_CACHE_S', 0)
        cache.start()
        self.addCleanup(cache.stop)

    async def asyncSetUp(self):
        platform = make_platform_app(MemoryPlatform.start(SystemClock()))
        engine = make_engine_app(Engine(EngineSettings(), SystemClock()))
        self.servers = {
            'platform': HTTPServer(platform, ssl_options=self.ssl_context()),
            'target': HTTPServer(engine, ssl_options=self.ssl_context()),
        }
        self.addresses = {}
        for kind, server in self.servers.items():
            sockets = bind_sockets(0, '127.0.0.1')
            server.add_sockets(sockets)
            port = sockets[0].getsockname()[1]
            self.addresses[kind] = f'127.0.0.1:{port}'
            self.addAsyncCleanup(server.close_all_connections)
            self.addCleanup(server.stop)

    def ssl_context(self):
        ssl_context = ssl.create_default_context(
            ssl.Purpose.CLIENT_AUTH,
            cafile=self.files.ca,
        )
        ssl_context.verify_mode = ssl.CERT_REQUIRED
        ssl_context.load_cert_chain(self.files.certificate, self.files.key)
        return ssl_context

    def settings(self, files):
        url = f'https://{self.addresses["platform"]}'
        keys = ('platform.tls', 'routing.target_tls')
        paths = (
            ('ca', files.ca),
            ('certificate', files.certificate),
            ('key', files.key),
        )
        tls_settings = [
            f'{key}_{name}={path}' for key in keys for name, path in paths
        ]
        base_settings = (
            'host.zone=zone-a',
            f'platform.table={url}',
            # On a busy machine the test process may pause for longer than the
            # default timeouts of polls and connections.
            'targets.poll_timeout=30s',
            'platform.connect_timeout=30s',
        )
        return read_settings(
            None, (*base_settings, 'routing.target_tls=yes', *tls_settings)
        )

    def request_function(self, kind, files):
        """Return a function that sends a request to the server of a kind."""
        cfg = self.settings(files)
        if kind == 'target':
            targets = HttpTargetClient(cfg, SystemClock())
            self.addCleanup(targets.close)
            return lambda: targets.load(self.addresses[kind], fresh=True)
        sender = platform_client(cfg, cfg.platform.table)
        self.addCleanup(sender.close)
        return lambda: HttpTableService(sender).read(('a',))

    @parameterized.expand(_KINDS)
    async def test_both_ends_verify_certificates(self, kind):
        """Both ends of a connection verify the other's certificate.

        Guards against targets that all count as dead with ``target_tls``
        because load reports are requested without TLS.
        """
        answer = await self.request_function(kind, self.files)()
        self.assertFalse(_is_fault(answer), answer)
        rejected = await self.request_function(kind, self.other_files)()
        self.assertTrue(_is_fault(rejected))

    @parameterized.expand(_KINDS)
    async def test_renewed_files_need_no_restart(self, kind):
        """Renewed certificate files take effect while the router runs.

        Guards against a router that rejects every server with a new
        certificate for a day because curl caches the contents of the CA
        file.
        """
        send_request = self.request_function(kind, self.files)
        self.assertFalse(_is_fault(await send_request()))
        self.files.renew()
        server = self.servers[kind]
        server.ssl_options = self.ssl_context()
        await server.close_all_connections()
        self.assertFalse(_is_fault(await send_request()))

    @parameterized.expand(
        (
            ('platform.tls_ca=/none.pem', '[platform] tls_ca: /none.pem'),
            ('platform.tls_key=', '[platform] tls_key: missing'),
            (
                f'routing.target_tls_ca={__file__}',
                '[routing] target_tls_ca: ',
            ),
            (
                f'routing.target_tls_certificate={__file__}',
                '[routing] target_tls_certificate: ',
            ),
            ('peers.tls_key=/none.pem', '[peers] tls_certificate: missing'),
        )
    )
    def test_invalid_files_are_reported(self, override, expected):
        cfg = self.settings(self.files)
        self.assertIsNone(check_certificates(cfg))
        section, _, text = override.partition('.')
        name, _, path = text.partition('=')
        changed = attrs.evolve(getattr(cfg, section), **{name: path})
        fault = check_certificates(attrs.evolve(cfg, **{section: changed}))
        self.assertEqual(len(fault.problems), 1, fault.problems)
        self.assertTrue(fault.problems[0].startswith(expected), fault.problems)

    def test_peer_tls_requires_ca(self):
        tls_settings = self.files.settings('peers')
        cfg = read_settings(None, ('host.zone=zone-a', *tls_settings))
        fault = check_certificates(cfg)
        self.assertTrue(fault.reason.startswith('[peers] tls_ca: missing'))


def _is_fault(answer):
    return isinstance(answer, Fault)
