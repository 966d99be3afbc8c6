"""Tests of duplicate requests sent to several routers."""

import asyncio
import unittest

import attrs
from parameterized import parameterized

from balsamreach.dispatch import faults
from balsamreach.dispatch.not_run_confirmer import CONFIRMATIONS
from balsamreach.dispatch.run_directory import LOOKUPS, RunLookup
from balsamreach.standins.memory import MemoryPlatform
from balsamreach.wire.runs import RunAsk, RunNote, RunsAsk
from tests import fake_upstream
from tests.fake_net import FakeNet
from tests.fake_upstream import FakeUpstream
from tests.passing_table import PassingTable
from tests.small_router import (
    Caller,
    QuickClock,
    SmallRouter,
    open_account,
    service_call,
)

_NAMES = ('router-a', 'router-b', 'router-c')
_KEYS = tuple(f'key-{number}' for number in range(6))
_DONE_EVENT = b'data: [DONE]\n\n'
_WORD = b'word-'
_NON_IDEMPOTENT = service_call(idempotent=False)
_UNKNOWN_RUN = RunLookup()


class SeveralRoutersCase(unittest.IsolatedAsyncioTestCase):
    """Three routers with one platform and the same targets."""

    async def asyncSetUp(self):
        self.clock = QuickClock()
        self.platform = MemoryPlatform.start(self.clock)
        await open_account(self.platform)
        self.targets = FakeUpstream()
        self.fabric = FakeNet()
        nets = [self.fabric.join(name) for name in _NAMES]
        self.routers = [
            SmallRouter(
                net.me.incarnation, self.platform, self.targets, self.clock, net
            )
            for net in nets
        ]
        self.router_a = self.routers[0]
        self.router_b = self.routers[1]
        self.router_c = self.routers[2]

    def check_complete(self, caller):
        """Check that a stream is complete and arrived once."""
        self.assertTrue(caller.end.is_complete, caller.end)
        self.assertEqual(caller.body.count(_DONE_EVENT), 1)
        self.assertEqual(caller.body.count(_WORD), 5)

    async def start(self, router, **changes):
        """Send a request and return its caller after its first bytes."""
        caller = Caller()
        answer = router.dispatcher.submit(router.request(**changes))
        answer.attach(caller)
        await caller.came.wait()
        return caller, answer

    def pause_streams(self, events):
        """Make the next stream of each engine pause after some events."""
        for number in range(3):
            self.targets.plan(f'engine-{number}', fake_upstream.pause(events))

    def kill(self, router):
        """Cancel a router's tasks and remove it from the net."""
        self.fabric.kill(router.name)
        attempts = router.parts.attempt_parts.attempts
        attempts.upstream = _DeadUpstream()
        for task in tuple(router.dispatcher.running.values()):
            task.cancel()

    async def all_bills(self):
        """Record the bills of all routers and return their keys."""
        for router in self.routers:
            await router.parts.budgets.flush()
        page = self.platform.table._rows
        return [key for key in page if key.startswith('bill/')]


class _DeadUpstream:
    """Transport of a router that died."""

    async def send(self, _attempt, _intake):
        """Send nothing."""
        await asyncio.Future()


@attrs.frozen
class _PausedTable(PassingTable):
    """Delays the result of making a claim until `wake` is set."""

    claimed: asyncio.Event = attrs.field(factory=asyncio.Event)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def commit(self, change):
        """Commit; delay the answer for a claim."""
        outcome = await super().commit(change)
        if change.writes[0].key.startswith('claim/'):
            self.claimed.set()
            await self.wake.wait()
        return outcome


class DuplicateTest(SeveralRoutersCase):
    """Duplicates at other routers get the answer of the only run."""

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_duplicate_elsewhere_gets_the_kept_answer(self, key):
        """Guards against a second run for a retry at another router.

        The load balancer sends the retry to a router that doesn't have the
        answer. Any router may be the key's home.
        """
        first = await self.router_a.call(key=key)
        again = await self.router_b.call(key=key)
        self.assertEqual(again.body, first.body)
        self.assertEqual(again.status, first.status)
        self.assertEqual(self.targets.runs[key], 1)
        self.assertEqual(await self.all_bills(), [f'bill/team/{key}'])

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_duplicate_elsewhere_joins_the_answer_in_progress(self, key):
        self.pause_streams(3)
        first, answer = await self.start(self.router_a, key=key)
        again, joined = await self.start(self.router_b, key=key)
        self.targets.go_on.set()
        await answer.wait()
        again.end = await joined.wait()
        self.check_complete(again)
        self.assertEqual(again.body, first.body)
        self.assertEqual(self.targets.runs[key], 1)

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_other_body_under_the_key_is_refused_elsewhere(self, key):
        await self.router_a.call(key=key)
        other = await self.router_b.call(key=key, mark='other')
        self.assertEqual(other.fault, faults.KEY_REUSED)
        self.assertEqual(self.targets.runs[key], 1)

    async def test_duplicate_of_a_non_idempotent_request_gets_its_answer(self):
        first = await self.router_a.call(**_NON_IDEMPOTENT)
        again = await self.router_b.call(**_NON_IDEMPOTENT)
        self.assertEqual(again.body, first.body)
        self.assertEqual(self.targets.runs['key'], 1)

    async def test_claim_without_a_note_leads_to_the_answer(self):
        """The home has no note; the claim names the router with the answer."""
        first = await self.router_a.call(**_NON_IDEMPOTENT)
        for router in self.routers:
            directory = router.parts.remote_runs.directory
            directory.notes._notes.clear()
        again = await self.router_b.call(**_NON_IDEMPOTENT)
        self.assertEqual(again.body, first.body)
        self.assertEqual(self.targets.runs['key'], 1)

    async def test_routers_told_of_each_other_do_not_wait(self):
        """Guards against two routers that wait for each other.

        Each of two routers is told that the other one runs the request. If an
        answer that is being copied were served to others, both callers would
        wait until their deadlines.
        """
        for router, other in (
            (self.router_a, self.router_b),
            (self.router_b, self.router_a),
        ):
            note = RunNote('team', 'key', 'f', other.name)
            remote_runs = attrs.evolve(
                router.parts.remote_runs,
                directory=_FixedDirectory(router.name, note),
            )
            router.dispatcher.parts = attrs.evolve(
                router.parts,
                remote_runs=remote_runs,
            )
        callers = await asyncio.gather(
            self.router_a.call(), self.router_b.call()
        )
        for caller in callers:
            self.check_complete(caller)
        self.assertLess(self.clock.now(), 1010)


@attrs.frozen
class _FixedDirectory:
    me: str
    note: RunNote

    def publish_generation(self, *_anything):
        """Discard the generation."""

    async def look_up(self, _req):
        """Return the fixed note."""
        return attrs.evolve(_UNKNOWN_RUN, note=self.note)


class DeadRouterTest(SeveralRoutersCase):
    """A router dies with streams in progress; callers retry elsewhere."""

    @parameterized.expand(
        [(key, again) for key in _KEYS for again in (True, False)]
    )
    async def test_generation_is_resumed_without_a_second_run(
        self,
        key,
        idempotent,
    ):
        """Guards against a second run of a stream after a router died.

        The retry goes to another router. If only the dead router knew the
        generation, the quote would be computed and billed twice, or lost.
        """
        changes = {'key': key, 'idempotent': idempotent}
        self.pause_streams(3)
        await self.start(self.router_a, **changes)
        await self.fabric.settle()
        self.kill(self.router_a)
        again = await self.router_b.call(**changes)
        self.check_complete(again)
        self.assertEqual(self.targets.runs[key], 1)
        self.assertEqual(len(await self.all_bills()), 1)

    async def test_non_idempotent_run_of_a_dead_router_is_unknown(self):
        """Guards against a second run, or "not run", after a router died.

        The router claims and sends the request and dies before the answer, so
        the retry's router cannot ask the claim's holder. A wrong guess doubles
        a certificate or a booking.
        """
        for name in ('desk-0', 'desk-1', 'desk-2'):
            self.targets.plan(name, fake_upstream.HANG)
        self.router_a.dispatcher.submit(
            self.router_a.request(**_NON_IDEMPOTENT)
        )
        await self.targets.began.wait()
        self.kill(self.router_a)
        self.targets.plans.clear()
        again = await self.router_b.call(**_NON_IDEMPOTENT)
        self.assertEqual(again.fault, faults.OUTCOME_UNKNOWN)
        self.assertEqual(again.fault.ran, faults.MAYBE_RUN)
        self.assertEqual(self.targets.runs['key'], 1)

    @parameterized.expand([('short', 30, 1), ('past_deadline', 3600, 0)])
    async def test_holder_that_pauses_between_claim_and_dispatch(
        self,
        _name,
        pause,
        runs,
    ):
        """Guards against a second run if the claim's holder is paused.

        A router makes a claim and is paused; the caller retries at another
        one; the first router resumes and sends the request. If a claim could
        be taken over after some time, a certificate would be issued twice:
        nobody can know that a holder will never resume.
        """
        paused = _PausedTable(self.platform.table)
        platform = attrs.evolve(self.platform, table=paused)
        net = self.fabric.join('router-d')
        holder = SmallRouter(
            'router-d', platform, self.targets, self.clock, net
        )
        late = asyncio.ensure_future(holder.call(**_NON_IDEMPOTENT))
        await paused.claimed.wait()
        self.fabric.cut(['router-d'], _NAMES)
        self.clock.advance(pause)
        again = await self.router_b.call(**_NON_IDEMPOTENT)
        paused.wake.set()
        first = await late
        self.assertEqual(again.fault, faults.OUTCOME_UNKNOWN)
        self.assertEqual(first.end.is_complete, bool(runs))
        self.assertEqual(self.targets.runs['key'], runs)

    async def test_refusal_after_a_dead_run_is_not_told_as_not_run(self):
        """Guards against "not run" after a run at a router that died.

        At the next router all targets refuse. If it only considered its own
        attempts, a guest would be told "not run", book by phone and have two
        lessons.
        """
        self.pause_streams(3)
        await self.start(self.router_a)
        await self.fabric.settle()
        self.kill(self.router_a)
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        again = await self.router_b.call()
        self.assertEqual(again.fault.ran, faults.MAYBE_RUN)

    async def test_refusal_of_a_new_request_is_told_as_not_run(self):
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        refused = await self.router_b.call()
        self.assertEqual(refused.fault.ran, faults.NOT_RUN)

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_run_unknown_to_its_home(self, key):
        """Guards against "not run" after a run that the home never heard of.

        A connection loss too short to be noticed separates a router from the
        others while it runs the request; the retry is refused elsewhere. The
        home router missed no heartbeat, so it considers its notes complete.
        The guest would book by phone and have two lessons.
        """
        self.fabric.interrupt('router-a', 'router-b')
        self.fabric.interrupt('router-a', 'router-c')
        self.check_complete(await self.router_a.call(key=key))
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        await self.fabric.settle()
        again = await self.router_b.call(key=key)
        self.assertEqual(again.fault.ran, faults.MAYBE_RUN)

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_run_before_its_home_started(self, key):
        """Guards against "not run" after a run before the home started.

        Routers start a moment after one that already serves, so none of them
        counts as late. They become home of keys that they have no notes on.
        """
        self.check_complete(await self.router_a.call(key=key))
        late = [self.fabric.join(f'late-{number}') for number in range(5)]
        late_routers = [
            SmallRouter(
                net.me.incarnation, self.platform, self.targets, self.clock, net
            )
            for net in late
        ]
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        again = await late_routers[0].call(key=key)
        copied = again.end.is_complete
        self.assertTrue(copied or again.fault.ran == faults.MAYBE_RUN)

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_refusal_of_a_second_run_leaves_the_note_of_the_first(
        self,
        key,
    ):
        """Guards against "not run" after a refused retry.

        The router that ran the request drops the answer for lack of memory. It
        refuses the retry, which must not delete the note of the first run, and
        another router refuses the next retry.
        """
        self.check_complete(await self.router_a.call(key=key))
        self.router_a.parts.answers.allocate(10**9)
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        outcomes = []
        for router in (self.router_a, self.router_b, self.router_a):
            caller = await router.call(key=key)
            outcomes.append(caller.fault.ran)
            await self.fabric.settle()
        self.assertEqual(len(outcomes), 3)
        self.assertEqual(set(outcomes), {faults.MAYBE_RUN})

    async def test_refusal_after_all_routers_were_replaced(self):
        """Guards against "not run" after all routers were restarted.

        All routers are killed and start again at the same time, so none of
        them has notes on earlier runs.
        """
        for router in self.routers:
            router.parts.remote_runs.directory.is_new_address = bool
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        outcomes = [(await self.router_b.call()).fault.ran]
        self.clock.advance(601)
        outcomes.append((await self.router_b.call(key='new')).fault.ran)
        self.assertEqual(outcomes, [faults.MAYBE_RUN, faults.NOT_RUN])

    async def test_refusals_share_a_query(self):
        """Many refusals share one query per round trip."""
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        self.fabric.held.add(RunsAsk)
        directory = self.router_b.parts.remote_runs.directory
        directory.cfg = attrs.evolve(directory.cfg, ask_timeout=60)
        calls = [
            asyncio.ensure_future(self.router_b.call(key=f'k{number}'))
            for number in range(50)
        ]
        for _ in range(200):
            await asyncio.sleep(0)
        self.fabric.release()
        outcomes = {caller.fault.ran for caller in await asyncio.gather(*calls)}
        asks = [one for one in self.fabric.sent if isinstance(one, RunsAsk)]
        self.assertEqual(outcomes, {faults.NOT_RUN})
        self.assertLess(len(asks), 10)
        metrics = self.router_b.parts.metrics
        counted = metrics.counted(CONFIRMATIONS, outcome='confirmed')
        self.assertEqual(counted, len(calls))

    async def test_unreachable_home_makes_refusals_unknown(self):
        """Guards against wrong answers if a key's home is unreachable.

        Without the home nobody knows whether the request ran: requests run
        anyway, maybe twice, must not hang, and refusals are reported as
        unknown.
        """
        self.fabric.lost[RunAsk] = 100
        callers = await asyncio.gather(
            *(
                router.call(key=key)
                for key in _KEYS
                for router in (self.router_a, self.router_b)
            ),
        )
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        refused = [await self.router_c.call(key=f'new-{key}') for key in _KEYS]
        for answered in callers:
            self.check_complete(answered)
        outcomes = {caller.fault.ran for caller in refused}
        self.assertIn(faults.MAYBE_RUN, outcomes)
        bills = await self.all_bills()
        self.assertEqual(len(bills), len(_KEYS))
        metrics = self.router_c.parts.metrics
        self.assertGreater(metrics.counted(LOOKUPS, outcome='unreachable'), 0)

    async def test_holder_lost_while_its_answer_is_copied(self):
        """Guards against lost or repeated events if a copied stream breaks.

        A router copies another one's stream and loses the connection to it.
        The rest must come from a run of its own, checked against what was
        copied.
        """
        self.pause_streams(3)
        first, answer = await self.start(self.router_a)
        again, followed = await self.start(self.router_b)
        self.fabric.cut(['router-a'], ['router-b', 'router-c'])
        self.targets.go_on.set()
        first.end = await answer.wait()
        again.end = await followed.wait()
        self.check_complete(first)
        self.check_complete(again)
        self.assertEqual(self.targets.runs['key'], 2)
        self.assertEqual(len(await self.all_bills()), 1)
