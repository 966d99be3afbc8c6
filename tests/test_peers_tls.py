"""Tests of mutual TLS between routers."""

import asyncio
import gc
import tempfile
import unittest
from pathlib import Path

import trustme
from parameterized import parameterized

from balsamreach.config.reader import read_settings
from balsamreach.peers.faults import BAD_TLS, NOT_CONNECTED
from balsamreach.peers.tls import load_tls
from balsamreach.wire.marks import InFlight, InFlightAsk
from tests.peers_rig import Rig, linked, names

_CA = trustme.CA()
_OTHER_CA = trustme.CA()
_CHUNK = 4096


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Only peers with a certificate of the fleet's CA can connect."""

    async def asyncSetUp(self):
        self.rig = Rig()
        self.addAsyncCleanup(self.rig.stop)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name)

    async def answer_seven(self, _member, message):
        return InFlight(message.target, 7)

    def write(self, name, issuer, authority=_CA):
        """Write a router's files and return the settings that name them."""
        cert = issuer.issue_cert('127.0.0.1')
        paths = {
            'certificate': self.path / f'{name}.pem',
            'key': self.path / f'{name}.key',
            'ca': self.path / f'{name}.ca',
        }
        cert.cert_chain_pems[0].write_to_path(paths['certificate'])
        cert.private_key_pem.write_to_path(paths['key'])
        authority.cert_pem.write_to_path(paths['ca'])
        return [f'peers.tls_{key}={path}' for key, path in paths.items()]

    async def test_routers_of_one_ca_exchange_messages(self):
        one = await self.rig.start('one', *self.write('one', _CA))
        one.on(InFlightAsk, self.answer_seven)
        seed = f'peers.seeds={one.me.address}'
        two = await self.rig.start('two', seed, *self.write('two', _CA))
        await self.rig.until(lambda: linked(two) == {'one'})
        self.assertEqual(
            await two.ask('one', InFlightAsk('engine-0')),
            InFlight('engine-0', 7),
        )

    @parameterized.expand((('plain',), ('other_ca',), ('other_certificate',)))
    async def test_peer_without_fleet_certificate_is_refused(self, kind):
        """A process connects in plain text or with another CA's certificate.

        Guards against messages from outside the fleet through a listener that
        doesn't verify its clients.
        """
        one = await self.rig.start('one', *self.write('one', _CA))
        tls = {
            'plain': [],
            'other_ca': self.write('two', _OTHER_CA, _OTHER_CA),
            'other_certificate': self.write('two', _OTHER_CA),
        }
        seed = f'peers.seeds={one.me.address}'
        two = await self.rig.start('two', seed, *tls[kind])
        await self.rig.steps(15)
        self.assertEqual((names(one), names(two)), ({'one'}, {'two'}))

    async def test_reload_keeps_links_and_serves_new_ones(self):
        """Certificates are renewed while the routers run."""
        files = self.write('one', _CA)
        one = await self.rig.start('one', *files)
        seed = f'peers.seeds={one.me.address}'
        two = await self.rig.start('two', seed, *self.write('two', _CA))
        await self.rig.until(lambda: linked(one) == {'two'})
        await self.rig.until(lambda: linked(two) == {'one'})
        link = one.link_manager.links.preferred('two')
        self.write('one', _OTHER_CA, _OTHER_CA)
        self.assertIsNone(one.reload_tls())
        new = self.write('three', _OTHER_CA, _OTHER_CA)
        await self.rig.start('three', seed, *new)
        await self.rig.until(lambda: linked(one) == {'two', 'three'})
        self.assertIs(one.link_manager.links.preferred('two'), link)
        self.assertIn('one', linked(two))

    async def test_reloaded_router_dials_with_the_new_files(self):
        """All routers get new certificates, one after the other.

        Guards against a reload (SIGHUP) that only the listener applies: a
        router with new files could not connect to others with new files.
        """
        new = self.write('new', _OTHER_CA, _OTHER_CA)
        renewed = await self.rig.start('new', *new)
        one = await self.rig.start('one', *self.write('one', _CA))
        dial = one.link_manager.connector.dial
        self.assertEqual(await dial(renewed.me.address), NOT_CONNECTED)
        self.write('one', _OTHER_CA, _OTHER_CA)
        self.assertIsNone(one.reload_tls())
        link = await dial(renewed.me.address)
        self.addCleanup(link.stream.close)
        self.assertEqual(link.peer.incarnation, 'new')

    @parameterized.expand((('ca',), ('key',)))
    def test_missing_file_is_a_fault(self, missing):
        files = self.write('one', _CA)
        (self.path / f'one.{missing}').unlink()
        cfg = read_settings(None, ('host.zone=zone-a', *files))
        self.assertEqual(load_tls(cfg.peers), BAD_TLS)

    async def test_hanging_handshake_is_closed(self):
        """A router accepts connections and hangs.

        Guards against exceptions in its peers' logs that were never retrieved:
        TLS gets no answer until the dial times out. If the connection were
        handed to another stream for TLS, the stream that is closed would no
        longer own it.
        """
        unretrieved = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: unretrieved.append(context)
        )
        closed = asyncio.Event()
        server = await asyncio.start_server(
            lambda reader, _: _wait_for_end(reader, closed),
            '127.0.0.1',
        )
        self.addCleanup(server.close)
        net = self.rig.make('one', *self.write('one', _CA))
        self.assertIsNone(net.reload_tls())
        host, port = server.sockets[0].getsockname()
        dial = net.link_manager.connector.dial(f'{host}:{port}')
        dialling = asyncio.ensure_future(dial)
        await self.rig.until(dialling.done)
        self.assertEqual(dialling.result(), NOT_CONNECTED)
        await self.rig.until(closed.is_set)
        del dialling
        gc.collect()
        self.assertEqual(unretrieved, [])


async def _wait_for_end(reader, closed):
    """Read without answering until the connection ends."""
    while await reader.read(_CHUNK):
        """Nothing is answered."""
    closed.set()
