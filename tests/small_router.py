"""One router's way of requests, on fakes of all that it stands on."""

import asyncio
import random

import attrs

from balsamreach.budget.budgets import Budgets
from balsamreach.config.reader import read_settings
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.dispatcher import Dispatcher
from balsamreach.dispatch.remote_runs import make_remote_run_parts
from balsamreach.dispatch.request_attempts import make_attempt_parts
from balsamreach.dispatch.run import RunParts
from balsamreach.requests.answers import Sink
from balsamreach.requests.claims import Claims
from balsamreach.requests.identity import RequestId, mint_key
from balsamreach.requests.registry import AnswerRegistry
from balsamreach.routing.routing import Routing, make_routing
from balsamreach.services.base import Commit, Write
from balsamreach.table.rows import TargetRow, TeamRow
from balsamreach.targets.registry import Targets
from balsamreach.telemetry.metrics import Metrics
from tests.fake_net import FakeNet
from tests.support import FakeClock

TEAM = TeamRow(name='team', prepaid=10**6)
_ENGINES = 3


class QuickClock(FakeClock):
    """A clock that moves on as soon as somebody waits for it."""

    async def sleep(self, seconds):
        """Let time pass at once."""
        self.advance(seconds)
        await asyncio.sleep(0)


class Caller(Sink):
    """What one caller has received."""

    def __init__(self):
        self.status = 0
        self.body = b''
        self.end = None
        self.came = asyncio.Event()

    def start(self, status, headers):
        """Take the head."""
        self.status = status

    def write(self, chunk):
        """Take a part of the body."""
        self.body += chunk
        self.came.set()

    def abort(self):
        """Never meant to happen here."""
        raise AssertionError('the caller was cut off')

    @property
    def fault(self):
        """Why the answer is not whole."""
        return self.end.fault


async def open_account(platform):
    """Give the team a budget."""
    row = Write('account/team', {'prepaid': 10**6})
    await platform.table.commit(Commit((row,)))


@attrs.define(eq=False)
class SmallRouter:
    """A router without listeners."""

    name: str
    platform: object
    upstream: object
    clock: object
    net: object = None
    seed: int = 7
    engines: int = _ENGINES
    targets: Targets = attrs.field(factory=Targets)
    routing: Routing = attrs.field(init=False)
    dispatcher: Dispatcher = attrs.field(init=False)

    def __attrs_post_init__(self):
        cfg = read_settings(None, ('host.zone=zone-a',))
        metrics = Metrics()
        self.targets.update(target_rows(self.engines))
        net = self.net or FakeNet().join(self.name)
        self.routing = make_routing(
            cfg,
            self.targets,
            self.clock,
            random.Random(self.seed),
            metrics,
            net,
        )
        service = self.platform.table
        answers = AnswerRegistry(cfg.requests, self.clock, metrics)
        attempt_parts = make_attempt_parts(
            cfg.requests, self.routing, self.upstream
        )
        parts = RunParts(
            budgets=Budgets(service, self.name, cfg.budget, self.clock),
            claims=Claims(service, self.name, self.clock, metrics),
            answers=answers,
            attempt_parts=attempt_parts,
            remote_runs=make_remote_run_parts(
                net, answers, attempt_parts, self.targets, cfg
            ),
        )
        self.dispatcher = Dispatcher(parts)

    @property
    def parts(self):
        """What its requests run on."""
        return self.dispatcher.parts

    def bills(self):
        """Return the bills that wait, by request key."""
        ledger = self.parts.budgets.ledgers.get('team')
        waiting = ledger.unrecorded_bills if ledger else ()
        return {bill.key: bill.tokens for bill in waiting}

    async def call(self, **changes):
        """Send a request and return its caller after the end."""
        caller = Caller()
        answer = self.dispatcher.submit(self.request(**changes))
        answer.attach(caller)
        caller.end = await answer.wait()
        return caller

    def request(self, **changes):
        """Return a call; a key of None is minted."""
        key = changes.pop('key', 'key')
        mark = changes.pop('mark', 'f')
        minted = key is None
        made = mint_key() if minted else key
        call = Call(
            req=RequestId('team', made, minted, mark),
            team=TEAM,
            kind='engine',
            name='model-a',
            method='POST',
            path='/v1/chat/completions',
            headers={},
            body=b'{}',
            stream=True,
            idempotent=True,
            reserved_tokens=100,
            max_completion_tokens=50,
            prompt_tokens=2,
            deadline=_in_a_minute(self.clock),
        )
        return attrs.evolve(call, **changes)


def _in_a_minute(clock):
    return clock.now() + 60


def service_call(**changes):
    """Return the changes that make a call one of a plain service."""
    plain = {
        'kind': 'service',
        'name': 'desk',
        'path': '/book',
        'stream': False,
        'reserved_tokens': 1,
        'max_completion_tokens': 0,
    }
    return plain | changes


def target_rows(count=_ENGINES):
    """Yield the rows of engines and of as many workers of a service."""
    for number in range(count):
        yield _row(f'engine-{number}', 'llm', 'engine', number, ['model-a'])
        yield _row(f'desk-{number}', 'desk', 'service', 9 + number, [])


def _row(name, service, kind, number, models):
    return TargetRow(
        name=name,
        address=f'127.0.0.1:{number + 1}',
        zone='zone-a',
        service=service,
        kind=kind,
        models=models,
    )
