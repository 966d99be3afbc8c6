"""Tests of a complete router with a stand-in store."""

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.testing import AsyncHTTPTestCase, gen_test

from balsamreach.config.reader import read_settings
from balsamreach.platform.router import make_router
from balsamreach.standins.row_store import RowStoreState, make_row_store
from tests.deployment import until

_ROUTE = {
    'name': 'old',
    'host': 'host.example',
    'prefix': '/old/',
    'service': 'desk',
    'route_type': 'idempotent',
}
_CONFIGURATION = {
    'version': 3,
    'routes': [_ROUTE],
    'services': [{'name': 'desk'}],
    'tenants': [{'name': 'team-a', 'api_keys': ['key-a']}],
}
_NEWER_CONFIGURATION = {
    'version': 4,
    'routes': [_ROUTE, _ROUTE | {'name': 'new', 'prefix': '/new/'}],
    'services': [{'name': 'desk'}],
    'tenants': [{'name': 'team-a', 'api_keys': ['key-a', 'key-b']}],
}
_ADDED_LATER = (('/new/x', 'key-a', 404), ('/old/x', 'key-b', 401))


class DenialTest(AsyncHTTPTestCase):
    """Answers for unknown routes and keys."""

    def get_app(self):
        self.state = RowStoreState()
        self.state.write('op', 'config', _CONFIGURATION)
        return make_row_store(self.state)

    async def start(self):
        """Start a router and wait until it has its configuration."""
        store = f'http://127.0.0.1:{self.get_http_port()}'
        places = [
            f'{section}.{key}={value}'
            for section in ('callers', 'probes', 'peers')
            for key, value in (('address', '127.0.0.1'), ('port', 0))
        ]
        places.append('peers.forwarding_port=0')
        cfg = read_settings(
            None,
            (
                'host.zone=zone-a',
                'host.address=127.0.0.1',
                f'platform.table={store}',
                'peers.fleet=platform',
                *places,
            ),
        )
        self.router = make_router(cfg)
        self.parts = self.router.parts
        await self.router.start()
        await until(lambda: self.parts.view.version == 3)

    async def get_status(self, path, key):
        """Send a request and return the status of the answer."""
        request = HTTPRequest(
            f'http://{self.router.callers.address}{path}',
            headers={
                'Host': 'host.example',
                'Authorization': f'Bearer {key}',
                'Attempt-Id': 'request-1',
            },
        )
        client = AsyncHTTPClient(force_instance=True)
        answer = await client.fetch(request, raise_error=False)
        client.close()
        return answer.code

    async def lose_store(self):
        """Make the store fail and wait until the router notices."""
        self.state.status = 503
        await until(self.parts.holdings.book.is_away)

    @gen_test(timeout=60)
    async def test_unconfirmed_configuration(self):
        """Guards against 404 for a route added during an outage."""
        await self.start()
        await self.lose_store()
        self.state.write('op', 'config', _NEWER_CONFIGURATION)
        for path, key, denial in _ADDED_LATER:
            with self.subTest(denial=denial):
                self.assertEqual(await self.get_status(path, key), 503)
        await self.router.leave()

    @gen_test(timeout=60)
    async def test_confirmed_configuration(self):
        await self.start()
        for path, key, denial in _ADDED_LATER:
            with self.subTest(denial=denial):
                self.assertEqual(await self.get_status(path, key), denial)
        await self.router.leave()
