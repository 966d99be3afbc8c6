"""Golden sessions of targets that crash, leave or fall silent."""

import asyncio
from unittest import mock

import attrs

from balsamreach.standins.engine_http import CacheEventsHandler, LoadHandler
from tests.failure_case import FailureCase, ask
from tests.failure_rig import HELD_MS, Rig, wait
from tests.failure_session import receive
from tests.tcp_fakes import SwallowingProxy

_POISON = 'coil-of-doom'


class CrashTest(FailureCase):
    """One request crashes each engine that runs it."""

    async def test_sent_again_under_new_keys(self):
        """One request takes all engines down.

        Symptom: engines die one after the other. Events: a request crashes
        the engine that runs it, and is sent again under other keys and at
        another router. Cause: each time it is given to a sound engine.
        """
        await self.open(Rig(engines=4), 'request_quarantined')
        await self.rig.start(2)
        # Who breaks off is compared with its next start by what it said of
        # itself before; a request that came first would prove nothing.
        await wait(lambda: all(map(_knows_starts, self.rig.routers)))
        for engine in self.rig.pool:
            engine.core.cfg.crash_mark = _POISON
        sent = ask(_POISON, key='try-0')
        await self.session.say('the request', self.address(0), sent)
        sent = ask(_POISON, key='try-1')
        title = 'the same under another key'
        await self.session.say(title, self.address(0), sent)
        self.count_lost()
        self.session.tell('the engines that crashed start again')
        for engine in self.rig.pool:
            if engine.core.crashed:
                engine.core.cfg.incarnation = 'again'
                engine.core.crashed = False
        await wait(lambda: all(map(self.is_known, self.rig.routers)))
        for number in (0, 1):
            sent = ask(_POISON, key=f'again-{number}')
            title = f'the same under another key at router {number}'
            await self.session.say(title, self.address(number), sent)
        sent = ask('Quote', key='innocent')
        await self.session.say('another request', self.address(1), sent)
        self.count_lost()
        self.check('crashing-request')

    def count_lost(self):
        """Write down how many engines are down."""
        lost = sum(engine.core.crashed for engine in self.rig.pool)
        self.session.write('engines down', f'{lost} of {len(self.rig.pool)}')

    def is_known(self, router):
        """Return whether a router refuses the request for good."""
        suspects = router.parts.routing.quarantine.suspects
        return any(map(suspects.is_quarantined, suspects.by_fingerprint))


class SilentTest(FailureCase):
    """A connection is lost track of; new ones work."""

    async def test_stream_goes_on_over_a_new_connection(self):
        """A caller waits for a stream that will never go on.

        Symptom: half a report, then nothing. Events: a middlebox forgets
        the connection to the engine in the middle of a stream. Cause: an
        open connection that carries nothing looks like a slow engine.
        """
        rig = Rig(overrides=('routing.gap_timeout=1s',))
        await self.open(rig)
        host, port = rig.engine.address.split(':')
        proxy = SwallowingProxy(host, int(port))
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        row = attrs.evolve(rig.rows()[1], address=proxy.address)
        await rig.replace_row(row)
        await rig.start(1)
        engine = rig.engine.core
        engine.cfg.pace_ms = HELD_MS
        sent = ask('Teardown report', 6, 'report-5', stream=True)
        caller = asyncio.create_task(receive(self.address(0), sent))
        await wait(lambda: engine.runs)
        await self.first_word()
        self.session.tell('all connections to the engine fall silent')
        proxy.swallow()
        rig.gate.opened.set()
        self.session.took('report', sent, await caller)
        self.session.runs()
        self.session.counters('balsamreach_streams_')
        await self.session.wait_for_bills(1)
        await rig.routers.pop().leave()
        await self.session.books()
        self.check('silent-connection')

    async def first_word(self):
        """Wait until the router has taken in the first word."""
        answers = self.rig.routers[0].parts.dispatcher.parts.answers
        await wait(
            lambda: (
                answers.get('winders', 'report-5') is not None
                and answers.get('winders', 'report-5').body.size > 300
            ),
        )


class LeavingTest(FailureCase):
    """A target leaves while the host list still shows it as live."""

    async def test_no_new_work_and_nobody_cut_off(self):
        """A host is switched off under a caller, or still gets work.

        Symptom: a stream breaks at scale-down, or requests are sent to a
        host that leaves. Events: an engine with an open stream says that it
        leaves; the platform's list lags by hours; requests go on coming at
        routers of two zones. Cause: the list alone is believed, or the zone
        of the engine keeps the news to itself.
        """
        rig = Rig(engines=2)
        await self.open(rig, 'target_marked_leaving')
        rig.weather.hosts_lag_s = 10_000
        # The second router has no engine in its zone and polls none.
        rig.more['router-1'] = ('host.zone=zone-b',)
        await rig.start(2)
        for started in rig.pool:
            started.core.cfg.pace_ms = HELD_MS
        sent = ask('Lesson plan', 4, 'plan-1', stream=True)
        stream = asyncio.create_task(receive(self.address(0), sent))
        await wait(lambda: self.running())
        leaver = self.running()[0]
        name = f'engine-{rig.pool.index(leaver)}'
        self.session.tell('the engine with the stream says that it leaves')
        leaver.core.cfg.leaving = True
        await wait(
            lambda: all(
                router.parts.targets.by_name[name].leaving
                for router in rig.routers
            ),
        )
        before = len(leaver.core.runs)
        rig.gate.opened.set()
        for number in range(6):
            quote = ask(f'Quote {number}')
            received = await receive(self.address(number % 2), quote)
            self.session.answered(f'answer to quote {number}', received)
        self.session.took('stream', sent, await stream)
        news = len(leaver.core.runs) - before
        others = sum(len(engine.core.runs) for engine in rig.pool) - 1
        text = f'of the leaving engine: {news}, of the other one: {others}'
        self.session.write('requests begun since', text)
        declined = leaver.core.counters['not_run']
        self.session.write('declined by the leaving engine', str(declined))
        self.check('leaving-target')

    async def test_announced_in_an_answer_alone(self):
        """A target that says in its answers that it leaves gets new work.

        Symptom: requests begin at a host that announced its leaving; or a
        host that was started again stays unused. Events: an engine names
        its start in the head of an answer, while its load report and the
        platform's list show nothing; it is started again, and a head still
        names the start before. Cause: heads were not read, or a word was
        taken for that of whatever start is there.
        """
        await self.open(Rig(), 'target_marked_leaving')
        self.rig.weather.hosts_lag_s = 10_000
        self.rig.more['router-1'] = ('host.zone=zone-b',)
        await self.rig.start(2)
        engine = self.rig.engine.core
        engine.cfg.leaving_header = engine.cfg.incarnation
        # A poll between setting the header and the quote would tell the
        # router first, and the quote would be refused.
        with (
            mock.patch.object(LoadHandler, 'announce'),
            mock.patch.object(CacheEventsHandler, 'announce'),
        ):
            sent = ask('Quote', key='quote-1')
            await self.session.say('quote', self.address(0), sent)
            await wait(lambda: all(map(_is_leaving, self.rig.routers)))
        for number in (0, 1):
            sent = ask('Quote', key=f'later-{number}')
            title = f'another at router {number}'
            await self.session.say(title, self.address(number), sent)
        self.session.tell('the engine starts again, its old word goes on')
        engine.cfg.incarnation = 'again'
        await wait(lambda: not any(map(_is_leaving, self.rig.routers)))
        for number in (0, 1):
            sent = ask('Quote', key=f'again-{number}')
            title = f'another at router {number}'
            await self.session.say(title, self.address(number), sent)
        self.session.runs()
        self.check('leaving-header')

    def running(self):
        """Return the engines that have begun a request."""
        return [engine for engine in self.rig.pool if engine.core.runs]


def _is_leaving(router):
    """Return whether a router takes the first engine to be leaving."""
    return router.parts.targets.by_name['engine-0'].leaving


def _knows_starts(router):
    """Return whether a router has read a report of each engine."""
    targets = router.parts.targets
    engines = [
        target
        for name, target in targets.by_name.items()
        if name.startswith('engine-')
    ]
    return all(engine.report.incarnation for engine in engines)
