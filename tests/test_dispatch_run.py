"""Tests of requests at one router, under each fault of a target."""

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
_DONE_EVENT = b'data: [DONE]\n\n'
_WORD = b'word-'
_NON_IDEMPOTENT = service_call(idempotent=False)


class RunTestCase(unittest.IsolatedAsyncioTestCase):
    """One router, three engines and three workers of a plain service."""

    async def asyncSetUp(self):
        self.clock = QuickClock()
        self.platform = MemoryPlatform.start(self.clock)
        await open_account(self.platform)
        self.targets = FakeUpstream()
        self.router = SmallRouter(
            'router-a', self.platform, self.targets, self.clock
        )

    def plan_all(self, fault):
        """Set the next fault of every target."""
        for name in _ENGINES + _DESKS:
            self.targets.plan(name, fault)

    def check_complete(self, caller, words=5):
        """Check that a stream is complete and arrived once."""
        self.assertTrue(caller.end.is_complete, caller.end)
        self.assertTrue(caller.body.endswith(_DONE_EVENT))
        self.assertEqual(caller.body.count(_DONE_EVENT), 1)
        self.assertEqual(caller.body.count(_WORD), words)


class _BillObserver:
    """Records the caller's body and the pending bills at one moment."""

    def __init__(self, caller, budgets):
        self.caller = caller
        self.budgets = budgets
        self.bodies = []
        self.waiting = []

    def record(self):
        """Record both."""
        self.bodies.append(self.caller.body)
        self.waiting.append(self.budgets.waiting)


class StreamTest(RunTestCase):
    """Streams are complete or end with an explicit fault."""

    @parameterized.expand(
        [
            ('stream', {}),
            ('plain', {'stream': False}),
            ('service', service_call()),
            ('single', _NON_IDEMPOTENT),
        ],
    )
    async def test_whole_answer_waits_for_its_bill(self, _name, changes):
        """Guards against a complete answer that is never billed.

        If the bill were made and copied only after the last byte was passed
        on, a router that died in between would lose it.
        """
        caller = Caller()
        with mock.patch.object(Budgets, 'wait_for_copies') as wait_for_copies:
            observer = _BillObserver(caller, self.router.parts.budgets)
            wait_for_copies.side_effect = observer.record
            call = self.router.request(**changes)
            answer = self.router.dispatcher.submit(call)
            answer.attach(caller)
            caller.end = await answer.wait()
        self.assertEqual(observer.waiting, [1])
        body = observer.bodies.pop()
        self.assertTrue(caller.body.startswith(body))
        self.assertNotEqual(body, caller.body)
        self.assertNotIn(_DONE_EVENT, body)

    async def test_stream_is_passed_on_and_billed_once(self):
        caller = await self.router.call()
        self.check_complete(caller)
        self.assertEqual(self.router.bills(), {'key': 7})

    @parameterized.expand([(number,) for number in range(1, 8)])
    async def test_broken_stream_is_resumed_at_its_engine(self, events):
        """Guards against a resumed stream with lost or repeated events.

        The connection breaks after some events while the engine keeps the
        generation. The offset to resume at must count events as the engine
        does, including those not passed on to the caller.
        """
        self.plan_all(cut(events))
        caller = await self.router.call()
        self.check_complete(caller)
        self.assertEqual(self.targets.runs['key'], 1)
        self.assertEqual(self.router.bills(), {'key': 7})

    async def test_stream_that_breaks_again_is_resumed_again(self):
        self.plan_all(cut(2))
        self.targets.cut_resumes = 2
        caller = await self.router.call()
        self.check_complete(caller)
        self.assertEqual(self.targets.runs['key'], 1)

    async def test_resumed_stream_of_another_generation(self):
        """Guards against the events of another caller in a resumed stream.

        The engine answers an earlier request for a generation once more.
        """
        self.plan_all(cut(2))
        self.targets.foreign_resumes = 1
        caller = await self.router.call()
        self.check_complete(caller)
        self.assertEqual(self.targets.runs['key'], 1)

    async def test_lost_generation_runs_again_and_continues(self):
        """Guards against a repeated beginning when a stream runs again.

        An engine dies during a stream; the second run starts from the
        beginning.
        """
        self._die_after(3)
        caller = await self.router.call()
        self.check_complete(caller)
        self.assertEqual(self.targets.runs['key'], 2)
        self.assertEqual(self.router.bills(), {'key': 7})

    async def test_second_run_with_other_output_ends_the_stream(self):
        """Guards against joining the output of two different runs.

        An engine dies during a stream, and the second run is worded
        differently.
        """
        self._die_after(3)
        for name in _ENGINES:
            self.targets.plan(name, *(fake_upstream.OTHER_WORDS,) * 3)
        caller = await self.router.call()
        self.assertEqual(caller.fault, faults.ANSWER_BROKEN)
        self.assertEqual(caller.fault.ran, faults.MAYBE_RUN)
        self.assertNotIn(b'something', caller.body)

    async def test_broken_non_idempotent_stream_is_not_run_again(self):
        self._die_after(3)
        caller = await self.router.call(idempotent=False)
        self.assertEqual(caller.fault, faults.ANSWER_BROKEN)
        self.assertEqual(self.targets.runs['key'], 1)

    async def test_stream_beyond_its_reservation_is_ended(self):
        """Guards against a stream that exceeds its reservation.

        An engine ignores the limit on the reply's length; only the reserved
        tokens were checked against the team's budget.
        """
        self.plan_all(fake_upstream.ENDLESS)
        caller = await self.router.call()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(caller.fault, faults.RESERVATION_SPENT)
        self.assertLessEqual(self.router.bills()['key'], 100)
        self.assertEqual(len(self.targets.cancelled), 1)

    async def test_caller_without_key_that_leaves_ends_the_generation(self):
        """Guards against engines occupied by replies that nobody reads.

        The caller disconnects during the stream. An engine keeps a broken
        stream for a while unless it is told to cancel it.
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
        self.check_complete(again)
        self.assertEqual(self.targets.runs['key'], 1)
        self.assertEqual(self.router.bills(), {'key': 7})

    async def _start_and_leave(self, key):
        answer = self.router.dispatcher.submit(self.router.request(key=key))
        caller = Caller()
        answer.attach(caller)
        await caller.came.wait()
        answer.detach(caller)
        task = self.router.dispatcher.running[answer]
        self.router.dispatcher.cancel_if_unattended(answer)
        return answer, task

    def _die_after(self, events):
        engine = _DyingEngine(self.targets, events)
        self.targets.plans = dict.fromkeys(_ENGINES, engine)


class _DyingEngine:
    """A plan by which the first target dies and the others answer."""

    def __init__(self, targets, events):
        self.targets = targets
        self.faults = [cut(events)]

    def __len__(self):
        return len(self.faults)

    def extend(self, more):
        """Add faults for the next targets."""
        self.faults.extend(more)

    def popleft(self):
        """Delete all generations, as if the target had died."""
        self.targets.generations = _NoGenerations()
        return self.faults.pop(0)


class _NoGenerations:
    def __len__(self):
        return 1

    def __setitem__(self, name, events):
        """Discard the generation."""

    def get(self, *_name):
        """Return None."""


class RunStatusTest(RunTestCase):
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
        """Guards against a claim that outlives a request that did not run.

        No target takes the request, but the claim was made before one was
        tried. If it stayed, the caller's retry would be told "unknown".
        """
        self.plan_all(fault)
        refused = await self.router.call(**_NON_IDEMPOTENT)
        runs = self.targets.runs['key']
        self.targets.plans.clear()
        again = await self.router.call(**_NON_IDEMPOTENT)
        self.assertEqual(refused.fault, expected)
        self.assertEqual(refused.fault.ran, faults.NOT_RUN)
        self.assertEqual(runs, 0)
        self.assertTrue(again.end.is_complete)
        self.assertEqual(self.targets.runs['key'], 1)

    async def test_broken_non_idempotent_run_stays_unknown(self):
        """Guards against a second run after a lost answer.

        The target runs the request and the connection breaks. The retry must
        not be treated like a request that never arrived: a certificate would
        be sent twice.
        """
        self.plan_all(fake_upstream.BREAK_BEFORE_HEAD)
        first = await self.router.call(**_NON_IDEMPOTENT)
        again = await self.router.call(**_NON_IDEMPOTENT)
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
        self.assertTrue(caller.end.is_complete)
        self.assertEqual(len(self.router.bills()), 1)

    async def test_refusal_after_a_broken_run_is_not_told_as_not_run(self):
        """Guards against "not run" derived from the last attempt alone.

        A target breaks off after running the request; the next ones refuse
        connections.
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
        """Guards against passing on the answer of another attempt.

        A target mixes up its connections; a caller would read another one's
        quote.
        """
        self.plan_all(fake_upstream.FOREIGN)
        caller = await self.router.call(**service_call())
        self.assertEqual(caller.fault, faults.ANSWER_BROKEN)
        self.assertEqual(caller.body, b'')
        counted = self.router.parts.metrics.counted(
            'balsamreach_answers_foreign_total',
        )
        self.assertEqual(counted, 3)

    async def test_foreign_stream_is_not_resumed(self):
        """Guards against resuming or cancelling the stream of another caller.

        A target mixes up its connections, and the headers that it sends name
        the generation of another attempt.
        """
        self.plan_all(fake_upstream.FOREIGN)
        caller = await self.router.call()
        await asyncio.sleep(0)
        self.assertEqual(caller.fault, faults.ANSWER_BROKEN)
        self.assertEqual(caller.body, b'')
        self.assertEqual(self.targets.cancelled, [])

    async def test_foreign_refusal_is_unknown(self):
        """Guards against a second run after the refusal of another request.

        A target mixes up its connections, and refuses another attempt on the
        connection of one that it runs.
        """
        self.plan_all(fake_upstream.FOREIGN_DECLINE)
        caller = await self.router.call(**_NON_IDEMPOTENT)
        await self.router.dispatcher.drain()
        self.assertEqual(caller.fault.ran, faults.MAYBE_RUN)
        # With its claim released, any router would run the request again.
        rows = await self.platform.table.read(('claim/team/key',))
        self.assertIsNotNone(rows[0].value)

    async def test_untrusted_refusal_is_unknown(self):
        self.router.targets.update(
            attrs.evolve(row, trusted_refusals=False) for row in target_rows()
        )
        self.plan_all(fake_upstream.DECLINE)
        caller = await self.router.call(**_NON_IDEMPOTENT)
        self.assertEqual(caller.fault.ran, faults.MAYBE_RUN)


class DrainTest(RunTestCase):
    """A graceful shutdown completes requests in progress."""

    async def test_drain_waits_for_streams_and_releases_claims(self):
        """Guards against truncated streams and unused claims at shutdown.

        A claim that remains would answer every retry with "unknown".
        """
        self.plan_all(fake_upstream.REFUSE)
        await self.router.call(**_NON_IDEMPOTENT)
        self.targets.plans.clear()
        caller = Caller()
        answer = self.router.dispatcher.submit(self.router.request(key='two'))
        answer.attach(caller)
        await self.router.dispatcher.drain()
        caller.end = answer.end
        self.check_complete(caller)
        rows = await self.platform.table.read(('claim/team/key',))
        self.assertIsNone(rows[0].value)


class DeadlineTest(RunTestCase):
    """A deadline ends a request at once."""

    async def test_deadline_while_the_target_is_silent(self):
        self.plan_all(fake_upstream.HANG)
        deadline = self.clock.now() + 0.01
        caller = await self.router.call(
            **service_call(idempotent=False, deadline=deadline),
        )
        self.assertEqual(caller.fault, faults.DEADLINE)
        self.assertEqual(caller.fault.ran, faults.MAYBE_RUN)

    async def test_attempt_is_not_sent_after_its_deadline(self):
        """Guards against sending a request after its deadline.

        The deadline passes while the transport waits for a connection. A
        request sent over it later would run after its caller was told "not
        run".
        """
        transport = _NeverConnects(self.targets)
        attempts = self.router.parts.attempt_parts.attempts
        attempts.upstream = transport
        deadline = self.clock.now() + 0.01
        caller = await self.router.call(
            **service_call(idempotent=False, deadline=deadline),
        )
        self.assertEqual(caller.fault, faults.DEADLINE)
        self.assertEqual(caller.fault.ran, faults.NOT_RUN)
        self.assertFalse(transport.intake.may_send())


class _NeverConnects:
    """A transport that never gets a connection."""

    def __init__(self, targets):
        self.targets = targets
        self.intake = None

    async def send(self, _attempt, intake):
        """Wait forever."""
        self.intake = intake
        await asyncio.Future()
