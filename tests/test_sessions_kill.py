"""Golden sessions of routers that are killed or shut down under load."""

import asyncio
from unittest import mock

from balsamreach.daemon import router
from tests.failure_case import FailureCase, certificate_request, chat_request
from tests.failure_deployment import (
    ENDLESS_PACE_MS,
    FailureDeployment,
    RouterProcess,
    free_port,
    wait_for_state,
    wait_until,
)
from tests.failure_session import send_and_receive


class KillTest(FailureCase):
    """A router in a separate process is killed, another one keeps running."""

    async def start_routers(self, *events, overrides=()):
        """Start the router that keeps running and the process to kill."""
        await self.open_session(FailureDeployment(), *events)
        await self.deployment.start(1)
        port = free_port()
        self.deployment.router_overrides['victim'] = (
            f'peers.port={port}',
            *overrides,
        )
        self.killed_router = await self.deployment.add_router_process('victim')
        await self.deployment.wait_until_connected()

    async def start_successor(self) -> RouterProcess:
        """Start a new router on the peers' address of the killed one."""
        self.session.add_step(
            'a new router starts on the address of the killed'
        )
        self.deployment.router_overrides['victim'] = (
            self.deployment.router_overrides['victim'][:1]
        )
        return await self.deployment.add_router_process('victim')

    def member_count(self):
        """Return the number of routers alive, seen by the one still running."""
        return len(self.deployment.routers[0].parts.net.members())

    async def leave_and_check(self, name, successor):
        """Stop both routers and compare the session."""
        self.session.add_step('both routers leave')
        await self.deployment.routers.pop().leave()
        await successor.leave()
        await self.session.add_audit(exact=False)
        self.check_session(name, *successor.events())

    async def test_stream_of_killed_router_is_resumed(self):
        """Another router resumes the stream of a killed router.

        Guards against half a report, or two runs and two bills: a router is
        killed while a stream is open, the caller repeats the request at
        another router under the same key, and that router does not know the
        run that continues at the engine.
        """
        await self.start_routers('allotment_taken_over')
        engine = self.deployment.engine.core
        engine.cfg.pace_ms = ENDLESS_PACE_MS
        sent = chat_request('Teardown report', 6, 'report-5', stream=True)
        first = asyncio.create_task(
            send_and_receive(self.killed_router.address, sent)
        )
        directory = self.deployment.routers[
            0
        ].parts.dispatcher.parts.remote_runs.directory
        await wait_until(lambda: engine.runs)
        await wait_until(lambda: _knows_generation(directory, 'report-5'))
        self.session.add_step('the router is killed while its stream is open')
        await self.killed_router.kill()
        self.session.add_exchange('report', sent, await first)
        await wait_until(lambda: self.member_count() == 1)
        second = asyncio.create_task(send_and_receive(self.address(0), sent))
        await wait_until(lambda: _has_reader(engine))
        self.deployment.clock.resumed.set()
        self.session.add_exchange(
            'the report again, elsewhere', sent, await second
        )
        self.session.add_runs()
        await self.session.wait_for_bills(1)
        await self.session.add_audit(
            'books before the killed one is replaced',
            exact=False,
        )
        successor = await self.start_successor()
        await self.wait_until_closed()
        self.session.add_counters('balsamreach_streams_resumed_total')
        await self.leave_and_check('kill-open-stream', successor)

    async def test_bills_of_killed_router_during_outage_are_recorded(self):
        """Unrecorded bills of a killed router are recorded by its peer.

        Guards against fewer bills than answers: a router can't record its
        bills because the platform is down, and is killed before the
        platform is back, and the bills exist only in its memory.
        """
        await self.start_routers('allotment_taken_over')
        first_request = chat_request('Quote', 3, 'before')
        await self.session.send(
            'quote', self.killed_router.address, first_request
        )
        await self.session.wait_for_bills(1)
        self.session.add_step('the platform goes down')
        self.deployment.failures.down = True
        for key in ('quote-1', 'quote-2'):
            sent = chat_request('Quote', 3, key)
            await self.session.send('quote', self.killed_router.address, sent)
        peer_bills = self.deployment.routers[
            0
        ].parts.budgets.maintenance.peers.keeper
        await wait_until(lambda: peer_bills.kept == 2)
        self.session.add_step('the router is killed with two bills in memory')
        await self.killed_router.kill()
        await wait_until(lambda: self.member_count() == 1)
        await self.session.send('quote, asked again', self.address(0), sent)
        self.session.add_step('the platform is back')
        self.deployment.failures.down = False
        successor = await self.start_successor()
        await self.session.wait_for_bills(3)
        await self.wait_until_closed()
        sent = chat_request('Quote', 3, 'after')
        await self.session.send_until('quote', self.address(0), sent)
        self.session.add_runs()
        await self.leave_and_check('kill-store-down', successor)

    async def test_non_idempotent_call_of_killed_router_is_not_repeated(self):
        """A non-idempotent call of a killed router is not sent again.

        Guards against two certificates under one key: a router sends the
        call and is killed before the answer arrives, the caller repeats it
        at another router, and that router does not know that it was sent.
        """
        await self.start_routers()
        service = self.deployment.service.core
        service.cfg.delay_ms = ENDLESS_PACE_MS
        sent = certificate_request('certificate-m-17')
        first = asyncio.create_task(
            send_and_receive(self.killed_router.address, sent)
        )
        await wait_until(lambda: service.runs['certificate-m-17'])
        self.session.add_step('the router is killed while the service works')
        await self.killed_router.kill()
        self.session.add_exchange('certificate', sent, await first)
        await wait_until(lambda: self.member_count() == 1)
        self.deployment.clock.resumed.set()
        title = 'the certificate again, elsewhere'
        await self.session.send(title, self.address(0), sent)
        await self.session.send('and once more', self.address(0), sent)
        self.session.add_runs('certificate-m-17')
        successor = await self.start_successor()
        await self.wait_until_closed()
        await self.leave_and_check('kill-certificate', successor)

    async def wait_until_closed(self):
        """Wait until all allotments of the killed router are closed."""
        survivor = self.deployment.routers[0].parts.net.me.incarnation
        await self.session.wait_until_closed(except_incarnation=survivor)


class ShutdownTest(FailureCase):
    """A router is shut down while requests are in progress."""

    async def start_routers(self, *events):
        """Open two streams at one of two routers and shut it down."""
        await self.open_session(FailureDeployment(), *events)
        await self.deployment.start(2)
        engine = self.deployment.engine.core
        engine.cfg.pace_ms = ENDLESS_PACE_MS
        self.streams = [
            (sent, asyncio.create_task(send_and_receive(self.address(0), sent)))
            for sent in (
                chat_request('Lesson plan', 4, 'plan-1', stream=True),
                chat_request('Wetsuit sizes', 4, 'sizes-1', stream=True),
            )
        ]
        await wait_until(lambda: len(engine.runs) == 2)
        self.session.add_step(
            'the router is told to leave, two streams are open'
        )
        first = self.deployment.routers[0]
        self.shutdown = asyncio.create_task(first.leave())
        await wait_for_state(first.operators.address, 'leaving')
        # A router that does not wait for its streams has stopped within 1 s.
        await asyncio.wait({self.shutdown}, timeout=1)
        has_stopped = 'yes' if self.shutdown.done() else 'no'
        self.session.add_section('it is gone before they end', has_stopped)
        self.deployment.routers.remove(first)

    async def finish_streams(self):
        """Let the streams end and write their answers."""
        self.deployment.clock.resumed.set()
        for sent, stream in self.streams:
            self.session.add_exchange('stream', sent, await stream)

    async def test_streams_are_completed_and_billed(self):
        """A shutdown waits for open streams and their bills.

        Guards against a stream without its end or without a bill: a router
        with open streams is shut down and stops before the streams end, or
        before their bills are recorded.
        """
        await self.start_routers(
            'requests_cut_off', 'router_leaving', 'router_left'
        )
        await self.finish_streams()
        await self.shutdown
        self.session.add_runs()
        await self.session.add_audit('books after it left')
        self.check_session('shutdown-streams')

    async def test_bills_are_handed_over_during_outage(self):
        """A shutdown during an outage hands unrecorded bills to a peer.

        Guards against answers without a bill after an outage: a router with
        open streams is shut down while the platform is down, and its bills
        exist only in its memory. The tokens that it could not return come back
        by the other router.
        """
        await self.start_routers('bills_handed_over', 'bills_left_behind')
        self.session.add_step('the platform goes down')
        self.deployment.failures.down = True
        with mock.patch.object(router, '_FLUSH_PAUSE_S', 0.01):
            await self.finish_streams()
            await self.shutdown
        self.session.add_step('it has left; the platform is back')
        self.deployment.failures.down = False
        await self.session.wait_for_bills(2)
        other = self.deployment.routers.pop()
        await self.session.wait_until_closed(other.parts.net.me.incarnation)
        await self.session.wait_until_reclaimed()
        await other.leave()
        await self.session.add_audit('books after the other one left as well')
        self.check_session('shutdown-store-down')


def _knows_generation(directory, key):
    """Return whether a run directory has the generation of a request."""
    entry = directory.notes._notes.get(('winders', key))
    return entry is not None and bool(entry[1].generation)


def _has_reader(engine):
    """Return whether a generation of the engine has a reader."""
    generations = engine.generations._held.values()
    return any(generation.readers for generation in generations)
