"""Tests of a request's way at one router, under each fault of a target."""

import asyncio
import unittest
from unittest import mock

import attrs
from parameterized import parameterized

from balsamreach.budget.budgets import Budgets
from balsamreach.dispatch import faults
from balsamreach.dispatch.run import UNKNOWN_OUTCOMES
from balsamreach.standins.memory import MemoryPlatform
from tests import fake_upstream
from tests.fake_upstream import FakeUpstream, cut
from tests.small_router import (
    Caller,
    QuickClock,
    SmallRouter,
    open_account,
    service_call,
    target_rows,
)

_ENGINES = ('engine-0', 'engine-1', 'engine-2')
_DESKS = ('desk-0', 'desk-1', 'desk-2')
_LAST = b'data: [DONE]\n\n'
_WORDS = b'word-'
_ONCE = service_call(idempotent=False)


class RunCase(unittest.IsolatedAsyncioTestCase):
    """One router, three engines, three workers of a service."""

    async def asyncSetUp(self):
        self.clock = QuickClock()
        self.platform = MemoryPlatform.start(self.clock)
        await open_account(self.platform)
        self.targets = FakeUpstream()
        self.router = SmallRouter(
            'router-a', self.platform, self.targets, self.clock
        )

    def plan_all(self, fault):
        """Let every target meet its next request with a fault."""
        for name in _ENGINES + _DESKS:
            self.targets.plan(name, fault)

    def check_whole(self, caller, words=5):
        """Check that a stream came whole and once."""
        self.assertTrue(caller.end.whole, caller.end)
        self.assertTrue(caller.body.endswith(_LAST))
        self.assertEqual(caller.body.count(_LAST), 1)
        self.assertEqual(caller.body.count(_WORDS), words)


class _Watched:
    """Notes what a caller has, and which bills wait, at a moment."""

    def __init__(self, caller, budgets):
        self.caller = caller
        self.budgets = budgets
        self.bodies = []
        self.waiting = []

    def note(self):
        """Note both."""
        self.bodies.append(self.caller.body)
        self.waiting.append(self.budgets.waiting)


class StreamTest(RunCase):
    """Streams come whole, or end with an explicit fault."""

    @parameterized.expand(
        [
            ('stream', {}),
            ('plain', {'stream': False}),
            ('service', service_call()),
            ('single', _ONCE),
        ],
    )
    async def test_whole_answer_waits_for_its_bill(self, _name, changes):
        """Symptom: a caller has a whole answer that nobody ever bills.

        Sequence: a router dies right after the last byte. Cause: the bill
        is made and copied after that.
        """
        caller = Caller()
        with mock.patch.object(Budgets, 'secure') as secure:
            watched = _Watched(caller, self.router.parts.budgets)
            secure.side_effect = watched.note
            call = self.router.request(**changes)
            answer = self.router.dispatcher.submit(call)
            answer.attach(caller)
            caller.end = await answer.wait()
        self.assertEqual(watched.waiting, [1])
        body = watched.bodies.pop()
        self.assertTrue(caller.body.startswith(body))
        self.assertNotEqual(body, caller.body)
        self.assertNotIn(_LAST, body)

    async def test_stream_is_passed_on_and_billed_once(self):
        caller = await self.router.call()
        self.check_whole(caller)
        self.assertEqual(self.router.bills(), {'key': 7})

    @parameterized.expand([(number,) for number in range(1, 8)])
    async def test_broken_stream_is_resumed_at_its_engine(self, events):
        """The caller sees no seam, whichever event was the last.

        Symptom: a stream ends early, repeats or leaves out a part.
        Sequence: the connection breaks after some events; the engine still
        has the generation.
        Cause: the place to resume at counts events as the engine does,
        those included that are not passed on to the caller.
        """
        self.plan_all(cut(events))
        caller = await self.router.call()
        self.check_whole(caller)
        self.assertEqual(self.targets.runs['key'], 1)
        self.assertEqual(self.router.bills(), {'key': 7})

    async def test_stream_that_breaks_again_is_resumed_again(self):
        self.plan_all(cut(2))
        self.targets.cut_resumes = 2
        caller = await self.router.call()
        self.check_whole(caller)
        self.assertEqual(self.targets.runs['key'], 1)

    async def test_lost_generation_runs_again_behind_the_sent_prefix(self):
        """An idempotent stream goes on at another engine.

        Symptom: the caller gets the beginning twice, or only an error.
        Sequence: an engine dies in the middle of a stream.
        Cause: a second run starts from the beginning.
        """
        self._die_after(3)
        caller = await self.router.call()
        self.check_whole(caller)
        self.assertEqual(self.targets.runs['key'], 2)
        self.assertEqual(self.router.bills(), {'key': 7})

    async def test_second_run_that_says_something_else_ends_the_stream(self):
        """Two replies are never joined to one.

        Symptom: the caller gets an answer that no run gave.
        Sequence: an engine dies in a stream; the second run differs.
        Cause: models do not word a reply twice alike.
        """
        self._die_after(3)
        for name in _ENGINES:
            self.targets.plan(name, *(fake_upstream.OTHER_WORDS,) * 3)
        caller = await self.router.call()
        self.assertEqual(caller.fault, faults.ANSWER_BROKEN)
        self.assertEqual(caller.fault.ran, faults.MAYBE_RUN)
        self.assertNotIn(b'something', caller.body)

    async def test_broken_stream_of_a_single_run_is_not_run_again(self):
        self._die_after(3)
        caller = await self.router.call(idempotent=False)
        self.assertEqual(caller.fault, faults.ANSWER_BROKEN)
        self.assertEqual(self.targets.runs['key'], 1)

    async def test_stream_beyond_its_reservation_is_ended(self):
        """A target that goes on and on cannot spend what is not paid for.

        Symptom: a team's spend passes its budget.
        Sequence: an engine ignores the bound on the reply's length.
        Cause: only the reservation was checked against the budget.
        """
        self.plan_all(fake_upstream.ENDLESS)
        caller = await self.router.call()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(caller.fault, faults.RESERVATION_SPENT)
        self.assertLessEqual(self.router.bills()['key'], 100)
        self.assertEqual(len(self.targets.cancelled), 1)

    async def test_caller_without_key_that_leaves_ends_the_generation(self):
        """Nobody can come back for the answer, so its slot is freed.

        Symptom: engines are busy with replies that nobody reads.
        Sequence: the caller closes its connection in the stream.
        Cause: the engine keeps a broken stream for a while.
        """
        answer, task = await self._start_and_leave(None)
        await asyncio.wait((task,))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(answer.end.fault, faults.CANCELLED)
        self.assertEqual(len(self.targets.cancelled), 1)
        self.assertEqual(len(self.router.bills()), 1)

    async def test_caller_with_key_that_leaves_finds_the_answer_later(self):
        answer, _task = await self._start_and_leave('key')
        await answer.wait()
        again = await self.router.call()
        self.check_whole(again)
        self.assertEqual(self.targets.runs['key'], 1)
        self.assertEqual(self.router.bills(), {'key': 7})

    async def _start_and_leave(self, key):
        answer = self.router.dispatcher.submit(self.router.request(key=key))
        caller = Caller()
        answer.attach(caller)
        await caller.came.wait()
        answer.detach(caller)
        task = self.router.dispatcher.running[answer]
        self.router.dispatcher.abandon(answer)
        return answer, task

    def _die_after(self, events):
        engine = _Dying(self.targets, events)
        self.targets.plans = dict.fromkeys(_ENGINES, engine)


class _Dying:
    """A plan by which the first target dies and the others go on."""

    def __init__(self, targets, events):
        self.targets = targets
        self.faults = [cut(events)]

    def __len__(self):
        return len(self.faults)

    def extend(self, more):
        """Add to the plan of whoever is next."""
        self.faults.extend(more)

    def popleft(self):
        """Forget all generations, as a target that dies does."""
        self.targets.generations = _Forgetful()
        return self.faults.pop(0)


class _Forgetful:
    def __len__(self):
        return 1

    def __setitem__(self, name, events):
        """Forget at once."""

    def get(self, *_name):
        """Know nothing."""


class TruthTest(RunCase):
    """What callers are told about whether their request ran."""

    @parameterized.expand(
        [
            ('refuse', fake_upstream.REFUSE, faults.OVERLOADED),
            ('decline', fake_upstream.DECLINE, faults.OVERLOADED),
        ]
    )
    async def test_not_run_is_told_and_the_key_is_free_again(
        self,
        _name,
        fault,
        expected,
    ):
        """A caller that was told "not run" can ask again.

        Symptom: the retry of a request that did not run gets "unknown".
        Sequence: no target takes the request; the caller sends it again.
        Cause: the claim was made before a target was reached.
        """
        self.plan_all(fault)
        refused = await self.router.call(**_ONCE)
        runs = self.targets.runs['key']
        self.targets.plans.clear()
        again = await self.router.call(**_ONCE)
        self.assertEqual(refused.fault, expected)
        self.assertEqual(refused.fault.ran, faults.NOT_RUN)
        self.assertEqual(runs, 0)
        self.assertTrue(again.end.whole)
        self.assertEqual(self.targets.runs['key'], 1)

    async def test_single_run_that_broke_stays_unknown(self):
        """A lost answer is neither "not run" nor a reason to run again.

        Symptom: a certificate is sent twice.
        Sequence: the target runs the request, the connection breaks, the
        caller retries.
        Cause: a retry looks like a request that never arrived.
        """
        self.plan_all(fake_upstream.BREAK_BEFORE_HEAD)
        first = await self.router.call(**_ONCE)
        again = await self.router.call(**_ONCE)
        self.assertEqual(first.fault.ran, faults.MAYBE_RUN)
        self.assertEqual(again.fault.ran, faults.MAYBE_RUN)
        self.assertEqual(self.targets.runs['key'], 1)
        self.assertEqual(self.router.bills(), {})
        metrics = self.router.parts.metrics
        self.assertEqual(
            metrics.counted(UNKNOWN_OUTCOMES, code='answer_broken'),
            1,
        )

    async def test_idempotent_request_is_answered_by_another_target(self):
        for name in _DESKS[:2]:
            self.targets.plan(name, fake_upstream.BREAK_BEFORE_HEAD)
        caller = await self.router.call(**service_call())
        self.assertTrue(caller.end.whole)
        self.assertEqual(len(self.router.bills()), 1)

    async def test_refusal_after_a_broken_run_is_not_told_as_not_run(self):
        """What the last target said does not speak for the first one.

        Symptom: "not run" although a target ran the request.
        Sequence: a target breaks off; the next ones refuse connections.
        Cause: only the last attempt was looked at.
        """
        self.targets.plan('desk-0', fake_upstream.BREAK_BEFORE_HEAD)
        for name in _DESKS:
            self.targets.plan(name, *(fake_upstream.REFUSE,) * 3)
        caller = await self.router.call(**service_call())
        while self.targets.runs['key'] == 0:
            caller = await self.router.call(**service_call())
        self.assertEqual(caller.fault.ran, faults.MAYBE_RUN)

    @parameterized.expand([('idempotent', True), ('single', False)])
    async def test_error_of_a_service_is_its_own_answer(self, _name, again):
        self.plan_all(fake_upstream.FAIL)
        caller = await self.router.call(**service_call(idempotent=again))
        self.assertEqual(caller.status, 500)
        self.assertIn(b'fail', caller.body)
        self.assertEqual(self.targets.runs['key'], 3 if again else 1)
        self.assertEqual(self.router.bills(), {'key': 0})

    async def test_foreign_answer_is_dropped_and_counted(self):
        """A target that mixes up its connections harms nobody.

        Symptom: a caller reads another's quote.
        Sequence: a target answers with another attempt's answer.
        Cause: its connections were mixed up.
        """
        self.plan_all(fake_upstream.FOREIGN)
        caller = await self.router.call(**service_call())
        self.assertEqual(caller.fault, faults.ANSWER_BROKEN)
        self.assertEqual(caller.body, b'')
        counted = self.router.parts.metrics.counted(
            'balsamreach_answers_foreign_total',
        )
        self.assertEqual(counted, 3)

    async def test_untrusted_refusal_is_unknown(self):
        self.router.targets.update(
            attrs.evolve(row, trusted_refusals=False) for row in target_rows()
        )
        self.plan_all(fake_upstream.DECLINE)
        caller = await self.router.call(**_ONCE)
        self.assertEqual(caller.fault.ran, faults.MAYBE_RUN)


class LeavingTest(RunCase):
    """A graceful shutdown ends what is in progress."""

    async def test_drain_waits_for_streams_and_releases_claims(self):
        """Nothing is cut off, and no unused claim stays behind.

        Symptom: a stream is cut, or a retry is told "unknown" for good.
        Sequence: the router is told to leave with requests in progress.
        Cause: a claim that was not used waits for its release.
        """
        self.plan_all(fake_upstream.REFUSE)
        await self.router.call(**_ONCE)
        self.targets.plans.clear()
        caller = Caller()
        answer = self.router.dispatcher.submit(self.router.request(key='two'))
        answer.attach(caller)
        await self.router.dispatcher.drain()
        caller.end = answer.end
        self.check_whole(caller)
        rows = await self.platform.table.read(('claim/team/key',))
        self.assertIsNone(rows[0].value)


class DeadlineTest(RunCase):
    """A deadline ends a request with its final answer at once."""

    async def test_deadline_while_the_target_is_silent(self):
        self.plan_all(fake_upstream.HANG)
        deadline = self.clock.now() + 0.01
        caller = await self.router.call(
            **service_call(idempotent=False, deadline=deadline),
        )
        self.assertEqual(caller.fault, faults.DEADLINE)
        self.assertEqual(caller.fault.ran, faults.MAYBE_RUN)

    async def test_attempt_that_waits_past_its_end_may_not_leave(self):
        """A request told "not run" must not be sent late.

        Symptom: "not run" is told, and the request runs after all.
        Sequence: the deadline passes while the attempt waits for a
        connection; the connection comes after that.
        Cause: the wait goes on in the transport.
        """
        late = _Late(self.targets)
        attempts = self.router.parts.tries.attempts
        attempts.upstream = late
        deadline = self.clock.now() + 0.01
        caller = await self.router.call(
            **service_call(idempotent=False, deadline=deadline),
        )
        self.assertEqual(caller.fault, faults.DEADLINE)
        self.assertEqual(caller.fault.ran, faults.NOT_RUN)
        self.assertFalse(late.intake.before_send())


class _Late:
    """A transport that never gets its connection."""

    def __init__(self, targets):
        self.targets = targets
        self.intake = None

    async def send(self, _attempt, intake):
        """Wait for good."""
        self.intake = intake
        await asyncio.Future()
