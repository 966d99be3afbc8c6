"""Golden sessions of targets that crash, leave or stop responding."""

import asyncio
from unittest import mock

import attrs

from balsamreach.standins.engine_http import CacheEventsHandler, LoadHandler
from tests.failure_case import FailureCase, chat_request
from tests.failure_deployment import (
    ENDLESS_PACE_MS,
    FailureDeployment,
    wait_until,
)
from tests.failure_session import send_and_receive
from tests.tcp_fakes import SwallowingProxy

_CRASHING_PROMPT = 'coil-of-doom'


class CrashingRequestTest(FailureCase):
    """A request crashes every engine that runs it."""

    async def test_crashing_request_is_quarantined_under_any_key(self):
        """A request that crashes engines is quarantined under any key.

        Guards against engines that crash one after the other: a request
        crashes its engine and is sent again under other keys and at another
        router, and each time a router sends it to a working engine.
        """
        await self.open_session(
            FailureDeployment(engines=4), 'request_quarantined'
        )
        await self.deployment.start(2)
        # A crash is recognised by the change of incarnation, so the routers
        # must know that of each engine before the first request; otherwise
        # the test would prove nothing.
        await wait_until(
            lambda: all(map(_knows_incarnations, self.deployment.routers))
        )
        for engine in self.deployment.running_engines:
            engine.core.cfg.crash_mark = _CRASHING_PROMPT
        sent = chat_request(_CRASHING_PROMPT, key='try-0')
        await self.session.send('the request', self.address(0), sent)
        sent = chat_request(_CRASHING_PROMPT, key='try-1')
        title = 'the same under another key'
        await self.session.send(title, self.address(0), sent)
        self.add_engines_down()
        self.session.add_step('the engines that crashed start again')
        for engine in self.deployment.running_engines:
            if engine.core.crashed:
                engine.core.cfg.incarnation = 'again'
                engine.core.crashed = False
        await wait_until(
            lambda: all(map(self.has_quarantined, self.deployment.routers))
        )
        for number in (0, 1):
            sent = chat_request(_CRASHING_PROMPT, key=f'again-{number}')
            title = f'the same under another key at router {number}'
            await self.session.send(title, self.address(number), sent)
        sent = chat_request('Quote', key='innocent')
        await self.session.send('another request', self.address(1), sent)
        self.add_engines_down()
        self.check_session('crashing-request')

    def add_engines_down(self):
        """Write the number of engines that are down."""
        down_count = sum(
            engine.core.crashed for engine in self.deployment.running_engines
        )
        self.session.add_section(
            'engines down',
            f'{down_count} of {len(self.deployment.running_engines)}',
        )

    def has_quarantined(self, router):
        """Return whether a router has quarantined a request."""
        suspects = router.parts.routing.quarantine.suspects
        return any(map(suspects.is_quarantined, suspects.by_fingerprint))


class SilentConnectionTest(FailureCase):
    """Established connections go silent, new ones work."""

    async def test_stream_is_resumed_over_new_connection(self):
        """A stream on a silent connection is resumed over a new one.

        Guards against a caller who waits forever after half a report: a
        middlebox drops the state of the connection to the engine during a
        stream, and the open connection without data looks like a slow
        engine.
        """
        deployment = FailureDeployment(overrides=('routing.gap_timeout=1s',))
        await self.open_session(deployment)
        host, port = deployment.engine.address.split(':')
        proxy = SwallowingProxy(host, int(port))
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        row = attrs.evolve(deployment.rows()[1], address=proxy.address)
        await deployment.replace_row(row)
        await deployment.start(1)
        engine = deployment.engine.core
        engine.cfg.pace_ms = ENDLESS_PACE_MS
        sent = chat_request('Teardown report', 6, 'report-5', stream=True)
        caller = asyncio.create_task(send_and_receive(self.address(0), sent))
        await wait_until(lambda: engine.runs)
        await self.wait_for_first_word()
        self.session.add_step('all connections to the engine fall silent')
        proxy.swallow()
        deployment.clock.resumed.set()
        self.session.add_exchange('report', sent, await caller)
        self.session.add_runs()
        self.session.add_counters('balsamreach_streams_')
        await self.session.wait_for_bills(1)
        await deployment.routers.pop().leave()
        await self.session.add_audit()
        self.check_session('silent-connection')

    async def wait_for_first_word(self):
        """Wait until the router has received the first word."""
        answers = self.deployment.routers[0].parts.dispatcher.parts.answers
        await wait_until(
            lambda: (
                answers.get('winders', 'report-5') is not None
                and answers.get('winders', 'report-5').body.size > 300
            ),
        )


class LeavingTargetTest(FailureCase):
    """A target leaves while the host list still shows it as live."""

    async def test_leaving_target_finishes_stream_and_gets_no_requests(self):
        """A leaving target finishes its stream and gets no new requests.

        Guards against a stream that breaks at scale-down, or requests to a
        leaving host: an engine with an open stream announces that it leaves,
        the host list of the platform lags by hours, and routers in two zones
        get requests. Either only the list is used, or the announcement does
        not reach the other zone.
        """
        deployment = FailureDeployment(engines=2)
        await self.open_session(deployment, 'target_marked_leaving')
        deployment.failures.hosts_lag_s = 10_000
        # The second router has no engine in its zone, so it polls none.
        deployment.router_overrides['router-1'] = ('host.zone=zone-b',)
        await deployment.start(2)
        for running in deployment.running_engines:
            running.core.cfg.pace_ms = ENDLESS_PACE_MS
        sent = chat_request('Lesson plan', 4, 'plan-1', stream=True)
        stream = asyncio.create_task(send_and_receive(self.address(0), sent))
        await wait_until(lambda: self.busy_engines())
        leaving_engine = self.busy_engines()[0]
        name = f'engine-{deployment.running_engines.index(leaving_engine)}'
        self.session.add_step('the engine with the stream says that it leaves')
        leaving_engine.core.cfg.leaving = True
        await wait_until(
            lambda: all(
                router.parts.targets.by_name[name].leaving
                for router in deployment.routers
            ),
        )
        earlier_runs = len(leaving_engine.core.runs)
        deployment.clock.resumed.set()
        for number in range(6):
            quote = chat_request(f'Quote {number}')
            received = await send_and_receive(self.address(number % 2), quote)
            self.session.add_answer(f'answer to quote {number}', received)
        self.session.add_exchange('stream', sent, await stream)
        new_runs = len(leaving_engine.core.runs) - earlier_runs
        other_runs = (
            sum(len(engine.core.runs) for engine in deployment.running_engines)
            - 1
        )
        text = (
            f'of the leaving engine: {new_runs}, of the other one: {other_runs}'
        )
        self.session.add_section('requests begun since', text)
        declined = leaving_engine.core.counters['not_run']
        self.session.add_section(
            'declined by the leaving engine', str(declined)
        )
        self.check_session('leaving-target')

    async def test_leaving_header_applies_to_one_incarnation(self):
        """An answer's leaving header applies to one incarnation.

        Guards against requests to a host that announced its leaving, or a
        restarted host that stays unused: an engine names its incarnation as
        leaving in a header of an answer, while its load report and the host
        list show nothing. It restarts, and the header still names the former
        incarnation. Either headers are not read, or the announcement is
        applied to the incarnation that is running.
        """
        await self.open_session(FailureDeployment(), 'target_marked_leaving')
        self.deployment.failures.hosts_lag_s = 10_000
        self.deployment.router_overrides['router-1'] = ('host.zone=zone-b',)
        await self.deployment.start(2)
        engine = self.deployment.engine.core
        engine.cfg.leaving_header = engine.cfg.incarnation
        # A poll between setting the header and the quote would announce the
        # leaving first, and the quote would be refused.
        with (
            mock.patch.object(LoadHandler, 'announce'),
            mock.patch.object(CacheEventsHandler, 'announce'),
        ):
            sent = chat_request('Quote', key='quote-1')
            await self.session.send('quote', self.address(0), sent)
            await wait_until(
                lambda: all(map(_is_leaving, self.deployment.routers))
            )
        for number in (0, 1):
            sent = chat_request('Quote', key=f'later-{number}')
            title = f'another at router {number}'
            await self.session.send(title, self.address(number), sent)
        self.session.add_step('the engine starts again, its old word goes on')
        engine.cfg.incarnation = 'again'
        await wait_until(
            lambda: not any(map(_is_leaving, self.deployment.routers))
        )
        for number in (0, 1):
            sent = chat_request('Quote', key=f'again-{number}')
            title = f'another at router {number}'
            await self.session.send(title, self.address(number), sent)
        self.session.add_runs()
        self.check_session('leaving-header')

    def busy_engines(self):
        """Return the engines that have started a request."""
        return [
            engine
            for engine in self.deployment.running_engines
            if engine.core.runs
        ]


def _is_leaving(router):
    """Return whether a router has marked the first engine as leaving."""
    return router.parts.targets.by_name['engine-0'].leaving


def _knows_incarnations(router):
    """Return whether a router has a load report of each engine."""
    targets = router.parts.targets
    engines = [
        target
        for name, target in targets.by_name.items()
        if name.startswith('engine-')
    ]
    return all(engine.report.incarnation for engine in engines)
