"""Tests of TLS on the router's listeners."""

import asyncio
import contextlib
import ssl
import tempfile
import unittest

from parameterized import parameterized

from balsamreach.config.reader import check_certificates, read_settings
from tests.deployment import Deployment, until
from tests.tls_files import Files

_HEALTH_REQUEST = b'GET /healthz HTTP/1.1\r\nHost: router\r\n\r\n'
_OK = b'"ok"}'
#: With these settings only the later of two routers finds the other, because
#: two that connect to each other at the same time get two links and close one
#: of them, as intended. A pause of the process ends no link.
_SINGLE_LINK = ('platform.hosts=http://127.0.0.1:9', 'peers.gap_timeout=60s')


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """A router uses TLS for callers and operators."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.files = Files(directory.name)
        self.deployment = Deployment(
            self.files.settings('callers') + self.files.settings('operators'),
        )
        await self.deployment.start()
        self.router = self.deployment.routers[0]

    async def asyncTearDown(self):
        await self.deployment.stop()

    async def connect(self, context, address=None):
        address = address or self.deployment.callers
        host, port = address.rsplit(':', 1)
        return await asyncio.open_connection(host, int(port), ssl=context)

    async def is_served(self, connection):
        reader, writer = connection
        writer.write(_HEALTH_REQUEST)
        received = await reader.readuntil(_OK)
        return received.startswith(b'HTTP/1.1 200')

    async def test_both_listeners_speak_tls(self):
        for listener in (self.router.callers, self.router.operators):
            context = self.files.client()
            connection = await self.connect(context, listener.address)
            self.assertTrue(await self.is_served(connection))
            connection[1].close()

    async def test_old_tls_version_is_refused(self):
        context = self.files.client()
        context.minimum_version = ssl.TLSVersion.TLSv1
        context.maximum_version = ssl.TLSVersion.TLSv1_1
        with self.assertRaises((ssl.SSLError, OSError)):
            await self.connect(context)

    async def test_plain_http_gets_no_response(self):
        reader, writer = await self.connect(None)
        writer.write(_HEALTH_REQUEST)
        received = b''
        with contextlib.suppress(ConnectionResetError):
            received = await reader.read()
        self.assertNotIn(b'HTTP', received)
        writer.close()

    async def test_reload_keeps_open_connections(self):
        """A reload uses the new certificate and keeps open connections.

        Guards against reading the files only at startup: callers would see an
        expired certificate although the files on the host are new, or all
        connections would break in a restart.
        """
        before = await self.connect(self.files.client())
        old = self.files.client()
        self.files.renew()
        self.router.reload_tls()
        after = await self.connect(self.files.client())
        with self.assertRaises(ssl.SSLError):
            await self.connect(old)
        for connection in (before, after):
            self.assertTrue(await self.is_served(connection))
            connection[1].close()

    async def test_invalid_file_keeps_the_old_certificate(self):
        context = self.files.client()
        self.files.certificate.write_text('spoilt')
        with self.assertLogs('balsamreach.daemon.router', 'ERROR') as logs:
            self.router.reload_tls()
            events = [record.getMessage() for record in logs.records]
        self.assertEqual(set(events), {'tls_not_reloaded'})
        connection = await self.connect(context)
        self.assertTrue(await self.is_served(connection))
        connection[1].close()


class PeerTlsTest(unittest.IsolatedAsyncioTestCase):
    """Links between routers use mutual TLS."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.files = Files(directory.name)
        self.deployment = Deployment(
            (
                *self.files.settings('peers'),
                f'peers.tls_ca={self.files.ca}',
                *_SINGLE_LINK,
            ),
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def test_reload_keeps_links(self):
        """A reload uses the routers' new certificates and keeps links.

        Guards against SIGHUP reloading only the HTTP listeners: a router
        started after the files have changed could not connect to the others.
        A restart instead would end all links.
        """
        first = self.deployment.routers[0]
        seed = first.parts.net.me.address
        self.deployment.overrides += (f'peers.seeds={seed}',)
        second = await self.deployment.add_router('second')
        net = second.parts.net
        self.assertTrue(await until(net.neighbours))
        link = net.link_manager.links.all_links()[0]
        self.files.renew()
        for router in (first, second):
            router.reload_tls()
        third = await self.deployment.add_router('third')
        connected = await until(lambda: len(third.parts.net.neighbours()) == 2)
        self.assertTrue(connected)
        self.assertIn(link, net.link_manager.links.all_links())


class CertificateCheckTest(unittest.TestCase):
    """The check before startup names unusable files."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.files = Files(directory.name)

    def check(self, *overrides):
        cfg = read_settings(None, ('host.zone=z', *overrides))
        fault = check_certificates(cfg)
        return '' if fault is None else fault.reason

    def test_good_files(self):
        self.assertEqual(self.check(*self.files.settings('callers')), '')

    @parameterized.expand(
        (
            ('no_key', 'tls_key=', 'tls_key: missing'),
            ('no_certificate', 'tls_certificate=', 'tls_certificate: missing'),
            ('no_file', 'tls_key=/none.pem', 'tls_key: /none.pem can not'),
            ('bad_ca', f'tls_ca={__file__}', f'tls_ca: {__file__}: no PEM'),
            ('bad_key', f'tls_key={__file__}', 'or tls_key is not its key'),
        )
    )
    def test_reason_names_the_setting(self, _, override, problem):
        given = self.files.settings('callers')
        reason = self.check(*given, f'callers.{override}')
        self.assertTrue(reason.startswith('[callers] tls_'), reason)
        self.assertIn(problem, reason)
