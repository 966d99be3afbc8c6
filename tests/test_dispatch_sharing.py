"""Tests of duplicates that reach several routers."""

import asyncio
import unittest

import attrs
from parameterized import parameterized

from balsamreach.dispatch import faults
from balsamreach.dispatch.confirming import CONFIRMED
from balsamreach.dispatch.sharing import LOOKUPS, Whereabouts
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
_LAST = b'data: [DONE]\n\n'
_WORDS = b'word-'
_ONCE = service_call(idempotent=False)
_ELSEWHERE = Whereabouts()


class SeveralRouters(unittest.IsolatedAsyncioTestCase):
    """Three routers on one platform, before the same targets."""

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
        self.ours = self.routers[0]
        self.theirs = self.routers[1]
        self.third = self.routers[2]

    def check_whole(self, caller):
        """Check that a stream came whole and once."""
        self.assertTrue(caller.end.whole, caller.end)
        self.assertEqual(caller.body.count(_LAST), 1)
        self.assertEqual(caller.body.count(_WORDS), 5)

    async def start(self, router, **changes):
        """Send a request and return its caller once it has some of it."""
        caller = Caller()
        answer = router.dispatcher.submit(router.request(**changes))
        answer.attach(caller)
        await caller.came.wait()
        return caller, answer

    def pause_streams(self, events):
        """Let the next stream of each engine wait after some events."""
        for number in range(3):
            self.targets.plan(f'engine-{number}', fake_upstream.pause(events))

    def kill(self, router):
        """End a router's tasks and let it vanish from the net."""
        self.fabric.kill(router.name)
        attempts = router.parts.tries.attempts
        attempts.upstream = _Gone()
        for task in tuple(router.dispatcher.running.values()):
            task.cancel()

    async def all_bills(self):
        """Return the bills of all routers once they are recorded."""
        for router in self.routers:
            await router.parts.budgets.flush()
        page = self.platform.table._rows
        return [key for key in page if key.startswith('bill/')]


class _Gone:
    """What is left of the transport of a router that died."""

    async def send(self, _attempt, _intake):
        """Send nothing."""
        await asyncio.Future()


@attrs.frozen
class _PausedTable(PassingTable):
    """Pauses whoever made a claim until the test wakes it."""

    claimed: asyncio.Event = attrs.field(factory=asyncio.Event)
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def commit(self, change):
        """Commit; a claim's answer comes late."""
        outcome = await super().commit(change)
        if change.writes[0].key.startswith('claim/'):
            self.claimed.set()
            await self.wake.wait()
        return outcome


class DuplicateTest(SeveralRouters):
    """Duplicates at other routers get the answer of the one run."""

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_duplicate_elsewhere_gets_the_kept_answer(self, key):
        """Whichever router is the key's home.

        Symptom: each tablet's retry costs a run of its own.
        Sequence: the balancer sends a retry to another router.
        Cause: only the first router has the answer.
        """
        first = await self.ours.call(key=key)
        again = await self.theirs.call(key=key)
        self.assertEqual(again.body, first.body)
        self.assertEqual(again.status, first.status)
        self.assertEqual(self.targets.runs[key], 1)
        self.assertEqual(await self.all_bills(), [f'bill/team/{key}'])

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_duplicate_elsewhere_joins_the_answer_in_progress(self, key):
        self.pause_streams(3)
        first, answer = await self.start(self.ours, key=key)
        again, joined = await self.start(self.theirs, key=key)
        self.targets.go_on.set()
        await answer.wait()
        again.end = await joined.wait()
        self.check_whole(again)
        self.assertEqual(again.body, first.body)
        self.assertEqual(self.targets.runs[key], 1)

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_other_body_under_the_key_is_refused_elsewhere(self, key):
        await self.ours.call(key=key)
        other = await self.theirs.call(key=key, mark='other')
        self.assertEqual(other.fault, faults.KEY_REUSED)
        self.assertEqual(self.targets.runs[key], 1)

    async def test_duplicate_of_a_single_run_gets_its_answer(self):
        first = await self.ours.call(**_ONCE)
        again = await self.theirs.call(**_ONCE)
        self.assertEqual(again.body, first.body)
        self.assertEqual(self.targets.runs['key'], 1)

    async def test_claim_alone_leads_to_the_answer(self):
        """The home knows nothing; the claim names who has the answer."""
        first = await self.ours.call(**_ONCE)
        for router in self.routers:
            sharing = router.parts.others.sharing
            sharing.notes._notes.clear()
        again = await self.theirs.call(**_ONCE)
        self.assertEqual(again.body, first.body)
        self.assertEqual(self.targets.runs['key'], 1)

    async def test_two_that_follow_each_other_do_not_wait(self):
        """Notes that contradict each other cost work, not time.

        Symptom: both callers wait until their deadlines.
        Sequence: each of two routers is told that the other one runs it.
        Cause: an answer that is being fetched was served to others.
        """
        for router, other in (
            (self.ours, self.theirs),
            (self.theirs, self.ours),
        ):
            note = RunNote('team', 'key', 'f', other.name)
            others = attrs.evolve(
                router.parts.others,
                sharing=_Told(router.name, note),
            )
            router.dispatcher.parts = attrs.evolve(
                router.parts,
                others=others,
            )
        callers = await asyncio.gather(self.ours.call(), self.theirs.call())
        for caller in callers:
            self.check_whole(caller)
        self.assertLess(self.clock.now(), 1010)


@attrs.frozen
class _Told:
    me: str
    note: RunNote

    def tell(self, *_anything):
        """Drop it."""

    async def look_up(self, _req):
        """Return what the home would say."""
        return attrs.evolve(_ELSEWHERE, note=self.note)


class DeadRouterTest(SeveralRouters):
    """A router dies with its streams open, and callers retry elsewhere."""

    @parameterized.expand(
        [(key, again) for key in _KEYS for again in (True, False)]
    )
    async def test_generation_is_taken_up_without_a_second_run(
        self,
        key,
        idempotent,
    ):
        """The caller's retry gets the whole answer of the first run.

        Symptom: a quote is computed and billed twice, or lost.
        Sequence: a router dies in a stream; the caller sends its request
        again, to another router.
        Cause: only the dead router knew the generation.
        """
        changes = {'key': key, 'idempotent': idempotent}
        self.pause_streams(3)
        await self.start(self.ours, **changes)
        await self.fabric.settle()
        self.kill(self.ours)
        again = await self.theirs.call(**changes)
        self.check_whole(again)
        self.assertEqual(self.targets.runs[key], 1)
        self.assertEqual(len(await self.all_bills()), 1)

    async def test_single_run_of_a_dead_router_is_unknown(self):
        """Nobody runs it again, and nobody says that it did not run.

        Symptom: a doubled certificate, or a guest booked twice.
        Sequence: a router claims, dispatches and dies before the answer;
        the caller retries elsewhere.
        Cause: the claim's holder cannot be asked any more.
        """
        for name in ('desk-0', 'desk-1', 'desk-2'):
            self.targets.plan(name, fake_upstream.HANG)
        self.ours.dispatcher.submit(self.ours.request(**_ONCE))
        await self.targets.began.wait()
        self.kill(self.ours)
        self.targets.plans.clear()
        again = await self.theirs.call(**_ONCE)
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
        """A late dispatch to a target that checks nothing is the only one.

        Symptom: a doubled certificate.
        Sequence: a router claims and is paused; the caller retries at
        another one; the first one wakes up and dispatches.
        Cause: whoever takes a claim over by time cannot know that its
        holder will never wake up.
        """
        paused = _PausedTable(self.platform.table)
        platform = attrs.evolve(self.platform, table=paused)
        net = self.fabric.join('router-d')
        holder = SmallRouter(
            'router-d', platform, self.targets, self.clock, net
        )
        late = asyncio.ensure_future(holder.call(**_ONCE))
        await paused.claimed.wait()
        self.fabric.cut(['router-d'], _NAMES)
        self.clock.advance(pause)
        again = await self.theirs.call(**_ONCE)
        paused.wake.set()
        first = await late
        self.assertEqual(again.fault, faults.OUTCOME_UNKNOWN)
        self.assertEqual(first.end.whole, bool(runs))
        self.assertEqual(self.targets.runs['key'], runs)

    async def test_refusal_after_a_dead_run_is_not_told_as_not_run(self):
        """What "not run" means is the request, not this router.

        Symptom: a guest is told "not run", books by phone, and has two
        lessons.
        Sequence: a router dies in a run; at the next one all targets
        refuse.
        Cause: the second router looked only at what it did itself.
        """
        self.pause_streams(3)
        await self.start(self.ours)
        await self.fabric.settle()
        self.kill(self.ours)
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        again = await self.theirs.call()
        self.assertEqual(again.fault.ran, faults.MAYBE_RUN)

    async def test_refusal_of_a_new_request_is_told_as_not_run(self):
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        refused = await self.theirs.call()
        self.assertEqual(refused.fault.ran, faults.NOT_RUN)

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_run_that_its_home_never_heard_of(self, key):
        """Nobody is told "not run" of it, wherever the key's home is.

        Symptom: a guest is told "not run", books by phone, and has two
        lessons.
        Sequence: a cut too short to be noticed keeps a router from the
        others; it runs a request; the retry is refused elsewhere.
        Cause: the home, which missed no heartbeat, is sure of all keys.
        """
        self.fabric.interrupt('router-a', 'router-b')
        self.fabric.interrupt('router-a', 'router-c')
        self.check_whole(await self.ours.call(key=key))
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        await self.fabric.settle()
        again = await self.theirs.call(key=key)
        self.assertEqual(again.fault.ran, faults.MAYBE_RUN)

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_run_before_its_home_started(self, key):
        """A router that has just started is home of keys it knows nothing of.

        Symptom and cause as above. Sequence: routers start a moment after
        one that serves already, and none of them takes itself for late.
        """
        self.check_whole(await self.ours.call(key=key))
        late = [self.fabric.join(f'late-{number}') for number in range(5)]
        fresh = [
            SmallRouter(
                net.me.incarnation, self.platform, self.targets, self.clock, net
            )
            for net in late
        ]
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        again = await fresh[0].call(key=key)
        copied = again.end.whole
        self.assertTrue(copied or again.fault.ran == faults.MAYBE_RUN)

    @parameterized.expand([(key,) for key in _KEYS])
    async def test_refusal_of_a_second_run_leaves_the_note_of_the_first(
        self,
        key,
    ):
        """Symptom and cause as above.

        Sequence: a router runs a request and drops the answer for want of
        memory; it refuses the retry, and another router the one after.
        """
        self.check_whole(await self.ours.call(key=key))
        self.ours.parts.answers.grow(10**9)
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        told = []
        for router in (self.ours, self.theirs, self.ours):
            caller = await router.call(key=key)
            told.append(caller.fault.ran)
            await self.fabric.settle()
        self.assertEqual(len(told), 3)
        self.assertEqual(set(told), {faults.MAYBE_RUN})

    async def test_refusal_after_all_routers_were_replaced(self):
        """Symptom and cause as above.

        Sequence: all routers are killed and start anew at the same time.
        """
        for router in self.routers:
            router.parts.others.sharing.is_first = bool
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        told = [(await self.theirs.call()).fault.ran]
        self.clock.advance(601)
        told.append((await self.theirs.call(key='new')).fault.ran)
        self.assertEqual(told, [faults.MAYBE_RUN, faults.NOT_RUN])

    async def test_refusals_share_an_ask(self):
        """A flood of refusals costs a message a round trip, not each."""
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        self.fabric.held.add(RunsAsk)
        sharing = self.theirs.parts.others.sharing
        sharing.cfg = attrs.evolve(sharing.cfg, ask_timeout=60)
        calls = [
            asyncio.ensure_future(self.theirs.call(key=f'k{number}'))
            for number in range(50)
        ]
        for _ in range(200):
            await asyncio.sleep(0)
        self.fabric.release()
        told = {caller.fault.ran for caller in await asyncio.gather(*calls)}
        asks = [one for one in self.fabric.sent if isinstance(one, RunsAsk)]
        self.assertEqual(told, {faults.NOT_RUN})
        self.assertLess(len(asks), 10)
        metrics = self.theirs.parts.metrics
        counted = metrics.counted(CONFIRMED, outcome='confirmed')
        self.assertEqual(counted, len(calls))

    async def test_home_cut_off_costs_a_run_and_makes_refusals_unsure(self):
        """A wrong or missing home costs work, never correctness.

        Symptom: requests hang, or "not run" is told of one that ran.
        Sequence: the key's home is cut off.
        Cause: nobody else knows whether the request ran.
        """
        self.fabric.lost[RunAsk] = 100
        callers = await asyncio.gather(
            *(
                router.call(key=key)
                for key in _KEYS
                for router in (self.ours, self.theirs)
            ),
        )
        self.targets.dead.update(f'engine-{number}' for number in range(3))
        refused = [await self.third.call(key=f'new-{key}') for key in _KEYS]
        for answered in callers:
            self.check_whole(answered)
        told = {caller.fault.ran for caller in refused}
        self.assertIn(faults.MAYBE_RUN, told)
        bills = await self.all_bills()
        self.assertEqual(len(bills), len(_KEYS))
        metrics = self.third.parts.metrics
        self.assertGreater(metrics.counted(LOOKUPS, outcome='unreachable'), 0)

    async def test_holder_cut_off_in_the_middle_of_an_answer(self):
        """What came so far is checked against the run that goes on.

        Symptom: the caller gets a part twice, or an end too early.
        Sequence: a router follows another one's stream and loses it.
        Cause: the rest must come from a run of its own.
        """
        self.pause_streams(3)
        first, answer = await self.start(self.ours)
        again, followed = await self.start(self.theirs)
        self.fabric.cut(['router-a'], ['router-b', 'router-c'])
        self.targets.go_on.set()
        first.end = await answer.wait()
        again.end = await followed.wait()
        self.check_whole(first)
        self.check_whole(again)
        self.assertEqual(self.targets.runs['key'], 2)
        self.assertEqual(len(await self.all_bills()), 1)
