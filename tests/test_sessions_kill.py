"""Golden sessions of routers that are killed or shut down under load."""

import asyncio
from unittest import mock

from balsamreach.daemon import router
from tests.failure_case import FailureCase, ask, certificate
from tests.failure_rig import (
    HELD_MS,
    Rig,
    RouterProcess,
    free_port,
    wait,
    wait_ready,
)
from tests.failure_session import receive


class KillTest(FailureCase):
    """One router is a process and is killed, the other one stays."""

    async def begin(self, *events, more=()):
        """Start the router that stays and the process to be killed."""
        await self.open(Rig(), *events)
        await self.rig.start(1)
        port = free_port()
        self.rig.more['victim'] = (f'peers.port={port}', *more)
        self.victim = await self.rig.add_process('victim')
        await self.rig.meet()

    async def replace(self) -> RouterProcess:
        """Start a new router on the address of the killed one."""
        self.session.tell('a new router starts on the address of the killed')
        self.rig.more['victim'] = self.rig.more['victim'][:1]
        return await self.rig.add_process('victim')

    def sees(self):
        """Return how many routers the one that stays holds to be alive."""
        return len(self.rig.routers[0].parts.net.members())

    async def end(self, name, successor):
        """Let both routers leave and compare the session."""
        self.session.tell('both routers leave')
        await self.rig.routers.pop().leave()
        await successor.leave()
        await self.session.books(exact=False)
        self.check(name, *successor.events())

    async def test_stream_is_taken_up_by_another_router(self):
        """A caller gets half a report, or pays for it twice.

        Symptom: the report breaks off, or there are two runs and two bills.
        Events: a stream is open at a router; the router is killed; the
        caller asks again at another one under the same key. Cause: the
        other router knows nothing of the run that goes on at the engine.
        """
        await self.begin('allotment_taken_over')
        engine = self.rig.engine.core
        engine.cfg.pace_ms = HELD_MS
        sent = ask('Teardown report', 6, 'report-5', stream=True)
        first = asyncio.create_task(receive(self.victim.address, sent))
        directory = self.rig.routers[
            0
        ].parts.dispatcher.parts.remote_runs.directory
        await wait(lambda: engine.runs)
        await wait(lambda: _generation(directory, 'report-5'))
        self.session.tell('the router is killed while its stream is open')
        await self.victim.kill()
        self.session.took('report', sent, await first)
        await wait(lambda: self.sees() == 1)
        again = asyncio.create_task(receive(self.address(0), sent))
        await wait(lambda: _reads(engine))
        self.rig.gate.opened.set()
        self.session.took('the report again, elsewhere', sent, await again)
        self.session.runs()
        await self.session.wait_for_bills(1)
        await self.session.books(
            'books before the killed one is replaced',
            exact=False,
        )
        successor = await self.replace()
        await self.wait_until_closed()
        self.session.counters('balsamreach_streams_resumed_total')
        await self.end('kill-open-stream', successor)

    async def test_bills_of_a_killed_router_while_the_store_is_down(self):
        """Work is done and never billed.

        Symptom: fewer bills than answers. Events: the platform is down, so
        that a router's bills wait; the router is killed; the platform comes
        back. Cause: the bills were in that router's memory alone.
        """
        await self.begin('allotment_taken_over')
        warm = ask('Quote', 3, 'before')
        await self.session.say('quote', self.victim.address, warm)
        await self.session.wait_for_bills(1)
        self.session.tell('the platform goes down')
        self.rig.weather.down = True
        for key in ('quote-1', 'quote-2'):
            sent = ask('Quote', 3, key)
            await self.session.say('quote', self.victim.address, sent)
        keeper = self.rig.routers[0].parts.budgets.maintenance.peers.keeper
        await wait(lambda: keeper.kept == 2)
        self.session.tell('the router is killed with two bills in memory')
        await self.victim.kill()
        await wait(lambda: self.sees() == 1)
        await self.session.say('quote, asked again', self.address(0), sent)
        self.session.tell('the platform is back')
        self.rig.weather.down = False
        successor = await self.replace()
        await self.session.wait_for_bills(3)
        await self.wait_until_closed()
        sent = ask('Quote', 3, 'after')
        await self.session.say_until('quote', self.address(0), sent)
        self.session.runs()
        await self.end('kill-store-down', successor)

    async def test_certificate_of_a_killed_router(self):
        """A certificate is issued twice.

        Symptom: the service was called twice under one key. Events: a
        router calls the service and is killed before the answer comes; the
        caller asks again at another one. Cause: nobody else knows that the
        call was made.
        """
        await self.begin()
        desk = self.rig.service.core
        desk.cfg.delay_ms = HELD_MS
        sent = certificate('certificate-m-17')
        first = asyncio.create_task(receive(self.victim.address, sent))
        await wait(lambda: desk.runs['certificate-m-17'])
        self.session.tell('the router is killed while the service works')
        await self.victim.kill()
        self.session.took('certificate', sent, await first)
        await wait(lambda: self.sees() == 1)
        self.rig.gate.opened.set()
        title = 'the certificate again, elsewhere'
        await self.session.say(title, self.address(0), sent)
        await self.session.say('and once more', self.address(0), sent)
        self.session.runs('certificate-m-17')
        successor = await self.replace()
        await self.wait_until_closed()
        await self.end('kill-certificate', successor)

    async def wait_until_closed(self):
        """Wait until nothing is held in the name of the killed router."""
        stays = self.rig.routers[0].parts.net.me.incarnation
        await self.session.wait_until_closed(besides=stays)


class ShutdownTest(FailureCase):
    """A router is shut down while requests are in progress."""

    async def begin(self, *events):
        """Open two streams at one of two routers and let it leave."""
        await self.open(Rig(), *events)
        await self.rig.start(2)
        engine = self.rig.engine.core
        engine.cfg.pace_ms = HELD_MS
        self.streams = [
            (sent, asyncio.create_task(receive(self.address(0), sent)))
            for sent in (
                ask('Lesson plan', 4, 'plan-1', stream=True),
                ask('Wetsuit sizes', 4, 'sizes-1', stream=True),
            )
        ]
        await wait(lambda: len(engine.runs) == 2)
        self.session.tell('the router is told to leave, two streams are open')
        first = self.rig.routers[0]
        self.leaving = asyncio.create_task(first.leave())
        await wait_ready(first.operators.address, 'leaving')
        # One that does not wait for its streams is gone by then.
        await asyncio.wait({self.leaving}, timeout=1)
        gone = 'yes' if self.leaving.done() else 'no'
        self.session.write('it is gone before they end', gone)
        self.rig.routers.remove(first)

    async def finish(self):
        """Let the streams end and write them down."""
        self.rig.gate.opened.set()
        for sent, stream in self.streams:
            self.session.took('stream', sent, await stream)

    async def test_streams_are_whole_and_bills_recorded(self):
        """A shutdown cuts a guest's answer off or loses its bill.

        Symptom: a stream without its end, or without a bill. Events: a
        router has open streams and is told to leave. Cause: it ends before
        they do, or before their bills are recorded.
        """
        await self.begin('requests_cut_off', 'router_leaving', 'router_left')
        await self.finish()
        await self.leaving
        self.session.runs()
        await self.session.books('books after it left')
        self.check('shutdown-streams')

    async def test_bills_are_handed_over_while_the_store_is_down(self):
        """A shutdown during an outage loses what was not recorded.

        Symptom: answers without a bill after an outage. Events: the
        platform is down; a router has open streams and is told to leave;
        the platform comes back. Cause: its bills ended with it.
        """
        await self.begin('bills_handed_over', 'bills_left_behind')
        self.session.tell('the platform goes down')
        self.rig.weather.down = True
        with mock.patch.object(router, '_FLUSH_PAUSE_S', 0.01):
            await self.finish()
            await self.leaving
        self.session.tell('it has left; the platform is back')
        self.rig.weather.down = False
        await self.session.wait_for_bills(2)
        await self.rig.routers.pop().leave()
        await self.session.books('books after the other one left as well')
        self.check('shutdown-store-down')


def _generation(directory, key):
    """Return whether a router was told which generation answers a request."""
    entry = directory.notes._notes.get(('winders', key))
    return entry is not None and bool(entry[1].generation)


def _reads(engine):
    """Return whether somebody reads a generation of the engine."""
    held = engine.generations._held.values()
    return any(generation.readers for generation in held)
