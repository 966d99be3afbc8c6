"""Whole routers before stand-ins of the users' platform, under load."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Iterator
from http import HTTPStatus

import attrs
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from balsamreach.clock import Clock, SystemClock
from balsamreach.config.reader import read_settings
from balsamreach.daemon.relay_router import RelayRouter
from balsamreach.platform.router import make_router
from balsamreach.standins.listed_target import (
    SENDER,
    Arrival,
    ListedTarget,
    make_listed_target,
)
from balsamreach.standins.row_store import RowStoreState, make_row_store
from tests.deployment import until

LLM = 'llm'
DESK = 'desk'
#: Requests to a target after it asked for none, from half a second after
#: that on, which the users allow a router.
_MOST_WHILE_BACKING_OFF = 2
_BACK_OFF_GRACE_S = 0.5
#: Seconds after its start in which a router hears what the others know.
_START_S = 2.0
_ROUTE = {'host': 'host.example', 'max_attempts': 2, 'timeout_ms': 5000}
_CONFIGURATION = {
    'version': 3,
    'routes': [
        _ROUTE
        | {
            'name': LLM,
            'prefix': f'/{LLM}/',
            'service': LLM,
            'route_type': 'streaming',
            'stream_resume': True,
        },
        _ROUTE
        | {
            'name': DESK,
            'prefix': f'/{DESK}/',
            'service': DESK,
            'route_type': 'idempotent',
        },
    ],
    'services': [
        {'name': LLM, 'engine': {'slots': 64, 'kv_capacity': 100_000}},
        {'name': DESK},
    ],
    'tenants': [{'name': 'team-a', 'api_keys': ['key-a']}],
}


@attrs.frozen
class PassedOn:
    """An answer that a router passed on to a caller.

    Parameters
    ----------
    router : str
        The router.
    target_id : str
        The target that signed it.
    at : float
        Monotonic seconds at which the caller had it.
    """

    router: str
    target_id: str
    at: float


@attrs.define(eq=False)
class ListedFleet:
    """Routers, targets of two services, and a store.

    Parameters
    ----------
    seed : int
        Source of what callers ask for, and when.
    routers : list of RelayRouter
        All routers; callers know them by their places here.
    targets : dict of str to ListedTarget
        All targets by their ids.
    asked_at : dict of str to float
        Monotonic seconds at which each request was sent by its caller.
    leaving : list of PassedOn
        Answers that said that their targets leave.
    statuses : Counter
        What callers got, by service and status.
    refused : set of str
        Requests of which callers were told that they did not run.
    ready_at : dict of str to float
        Monotonic seconds at which each router began to serve.
    """

    seed: int
    clock: Clock = attrs.field(factory=SystemClock)
    store: RowStoreState = attrs.field(factory=RowStoreState)
    routers: list[RelayRouter] = attrs.field(factory=list)
    targets: dict[str, ListedTarget] = attrs.field(factory=dict)
    asked_at: dict[str, float] = attrs.field(factory=dict)
    leaving: list[PassedOn] = attrs.field(factory=list)
    statuses: Counter = attrs.field(factory=Counter)
    refused: set[str] = attrs.field(factory=set)
    ready_at: dict[str, float] = attrs.field(factory=dict)
    _live: list[int] = attrs.field(factory=list)
    rng: random.Random = attrs.field(init=False)
    _servers: list[HTTPServer] = attrs.field(factory=list)
    _ids: Iterator[int] = attrs.field(factory=itertools.count)
    _client: AsyncHTTPClient = attrs.field(init=False)
    _store_url: str = ''

    def __attrs_post_init__(self) -> None:
        """Open nothing but the callers' client."""
        self.rng = random.Random(self.seed)
        self._client = AsyncHTTPClient(force_instance=True, max_clients=500)

    async def start(self, routers: int, **targets: int) -> None:
        """Start everything and wait until all routers serve.

        Parameters
        ----------
        routers : int
            How many routers.
        **targets : int
            How many targets of each service.
        """
        self.store.write('op', 'config', _CONFIGURATION)
        app = make_row_store(self.store)
        self._store_url = f'http://{self._serve(app)}'
        for service, count in targets.items():
            for number in range(count):
                self.add_target(f'{service}-{number}', service)
        for _ in range(routers):
            await self.add_router()

    def add_target(self, target_id: str, service: str) -> ListedTarget:
        """Start a target and list it."""
        target = ListedTarget(target_id=target_id, clock=self.clock)
        self.targets[target_id] = target
        address = self._serve(make_listed_target(target))
        self.list_target(target_id, service, address)
        return target

    def list_target(self, target_id: str, service: str, address: str) -> None:
        """Write a target's entry, as one that takes requests."""
        fields = {
            'service': service,
            'address': address,
            'zone': 'zone-a',
            'state': 'ready',
            'slots': 64,
        }
        self.store.write('servers', target_id, fields)

    async def add_router(self) -> RelayRouter:
        """Start a router and wait until it serves and knows the others."""
        known = [self.routers[number].parts.net for number in self._live]
        seeds = ', '.join(net.me.address for net in known)
        router = make_router(
            read_settings(
                None,
                (
                    'host.zone=zone-a',
                    'host.address=127.0.0.1',
                    f'platform.table={self._store_url}',
                    'peers.fleet=platform',
                    'peers.address=127.0.0.1',
                    'peers.port=0',
                    f'peers.seeds={seeds}',
                    'callers.address=127.0.0.1',
                    'callers.port=0',
                    'probes.address=127.0.0.1',
                    'probes.port=0',
                    # A loop that stands still must not count as a dead target.
                    'relay.connect_timeout=30s',
                ),
            ),
        )
        await router.start()
        number = len(self.routers)
        self.routers.append(router)
        assert await until(lambda: router.state == 'ready')
        net = router.parts.net
        others = len(self._live)
        assert await until(lambda: len(net.neighbours()) >= others)
        self.ready_at[f'router-{number}'] = self.clock.now()
        self._live.append(number)
        return router

    async def replace_router(self) -> None:
        """Let a router leave, and start another one in its place."""
        number = self._live.pop(self.rng.randrange(len(self._live)))
        leaving = asyncio.ensure_future(self.routers[number].leave())
        await self.add_router()
        await leaving

    async def stop(self) -> None:
        """Stop everything."""
        self.store.answer()
        routers = (self.routers[number] for number in self._live)
        await asyncio.gather(*(router.leave() for router in routers))
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
        self._client.close()

    async def load(self, seconds: float, rate: float) -> None:
        """Send requests at random times until their callers have answers.

        Parameters
        ----------
        seconds : float
            How long requests are sent.
        rate : float
            Requests a second.
        """
        until_at = self.clock.now() + seconds
        sending = []
        while self.clock.now() < until_at:
            router = self.rng.choice(self._live)
            service = self.rng.choice((LLM, DESK))
            sending.append(asyncio.ensure_future(self.send(router, service)))
            await self.clock.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*sending)

    async def send(self, number: int, service: str) -> HTTPResponse:
        """Send one request to one router and return its answer."""
        sender, request_id = f'router-{number}', f'request-{next(self._ids)}'
        router = self.routers[number]
        headers = {
            'Host': 'host.example',
            'Authorization': 'Bearer key-a',
            'Attempt-Id': request_id,
            SENDER: sender,
        }
        if service == LLM:
            prompt = self.rng.randrange(20)
            headers['Model-Name'] = 'model-a'
            headers['Token-Counts'] = '100,50'
            headers['Prompt-Prefix'] = f'{prompt:x}:60,{prompt + 100:x}:40'
        self.asked_at[request_id] = self.clock.now()
        answer = await self._client.fetch(
            HTTPRequest(
                f'http://{router.callers.address}/{service}/x',
                headers=headers,
                request_timeout=30,
            ),
            raise_error=False,
        )
        self.statuses[service, answer.code] += 1
        if answer.code == HTTPStatus.SERVICE_UNAVAILABLE:
            self.refused.add(request_id)
        if answer.headers.get('Server-Leaving'):
            target_id = answer.headers['Response-Stamp']
            now = self.clock.now()
            self.leaving.append(PassedOn(sender, target_id, now))
        return answer

    def back_off_breaches(self) -> list[str]:
        """Return where a target got requests after it had asked for none."""
        breaches = []
        for target in self.targets.values():
            for arrival in target.arrivals:
                late = _count_late(target, arrival)
                if late > _MOST_WHILE_BACKING_OFF:
                    told = f'{late} requests of {arrival.sender}'
                    breaches.append(f'{target.target_id}: {told}')
        return breaches

    def leaving_breaches(self, bound: float) -> list[str]:
        """Return requests that reached a target after it had said it leaves.

        Parameters
        ----------
        bound : float
            Seconds after which none may have been sent by a caller whose
            router, or any other one, has passed such an answer on.
        """
        first = {}
        for passed in self.leaving:
            first.setdefault(passed.target_id, passed.at)
        return [
            f'{target_id}: {arrival.request_id} of {arrival.sender}'
            for target_id, at in first.items()
            for arrival in self.targets[target_id].arrivals
            if self._is_late(arrival, at + bound)
        ]

    def untrue_refusals(self) -> list[str]:
        """Return requests that ran though their callers were told not."""
        ran = {
            arrival.request_id
            for target in self.targets.values()
            for arrival in target.arrivals
            if arrival.ran
        }
        return sorted(ran & self.refused)

    def _is_late(self, arrival: Arrival, ends: float) -> bool:
        # A router that has just started may hear it from its peers last.
        ready_at = self.ready_at[arrival.sender]
        asked_at = self.asked_at[arrival.request_id]
        return asked_at > max(ends, ready_at + _START_S)

    def _serve(self, app: Application) -> str:
        listener, port = bind_unused_port()
        server = HTTPServer(app)
        server.add_socket(listener)
        self._servers.append(server)
        return f'127.0.0.1:{port}'


def _count_late(target: ListedTarget, rejected: Arrival) -> int:
    begins = rejected.at + _BACK_OFF_GRACE_S
    ends = rejected.at + rejected.retry_after
    return sum(
        begins < arrival.at < ends and arrival.sender == rejected.sender
        for arrival in target.arrivals
    )
