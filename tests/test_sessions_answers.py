"""Golden sessions of duplicate requests and of misdirected answers."""

import asyncio
from unittest import mock

import attrs

from balsamreach.standins.engine_handler import EngineHandler
from tests.failure_case import FailureCase, certificate_request, chat_request
from tests.failure_deployment import (
    ENDLESS_PACE_MS,
    FailureDeployment,
    wait_until,
)
from tests.failure_session import send_and_receive


class AnswersTest(FailureCase):
    """Every caller gets the complete answer to its own request."""

    async def start_routers(self, engines=1):
        """Start the targets and two routers."""
        await self.open_session(FailureDeployment(engines=engines))
        await self.deployment.start(2)

    def start_request(self, number, sent):
        """Send a request to a router without waiting for the answer."""
        return asyncio.create_task(send_and_receive(self.address(number), sent))

    async def leave_and_check(self, name, *keys):
        """Stop the routers and compare the session."""
        for router in self.deployment.routers:
            await router.leave()
        self.deployment.routers.clear()
        self.session.add_runs(*keys)
        await self.session.add_audit()
        self.check_session(name)

    async def test_duplicates_at_two_routers_share_one_run(self):
        """Duplicates at two routers share one run and one bill.

        Guards against several runs and bills for one report: a tablet sends
        the same request to two routers, and again while the answer is being
        generated, and each router knows only its own runs.
        """
        await self.start_routers()
        engine = self.deployment.engine.core
        engine.cfg.pace_ms = ENDLESS_PACE_MS
        sent = chat_request('Teardown report', 4, 'report-5', stream=True)
        first = self.start_request(0, sent)
        await wait_until(lambda: engine.runs)
        duplicates = [self.start_request(number, sent) for number in (1, 0)]
        joined = 'balsamreach_requests_joined_total'
        await wait_until(lambda: self.has_received_part())
        self.deployment.clock.resumed.set()
        for title, answer in zip(
            ('report', 'at the other router', 'at the first router again'),
            (first, *duplicates),
            strict=True,
        ):
            self.session.add_exchange(title, sent, await answer)
        await self.session.send('and afterwards', self.address(1), sent)
        self.session.add_counters(joined)
        await self.leave_and_check('duplicates')

    def has_received_part(self):
        """Return whether the second router receives the first one's answer."""
        answers = self.deployment.routers[1].parts.dispatcher.parts.answers
        answer = answers.get('winders', 'report-5')
        return answer is not None and answer.body.size > 0

    async def test_non_idempotent_call_at_two_routers_runs_once(self):
        """A non-idempotent call at two routers runs once.

        Guards against two certificates: both routers get the call while the
        service processes it, and no claim decides which of them sends it.
        """
        await self.start_routers()
        service = self.deployment.service.core
        service.cfg.delay_ms = ENDLESS_PACE_MS
        sent = certificate_request('certificate-m-17')
        first = self.start_request(0, sent)
        await wait_until(lambda: service.runs['certificate-m-17'])
        second = self.start_request(1, sent)
        await wait_until(lambda: self.is_accepted_by_second())
        self.deployment.clock.resumed.set()
        self.session.add_exchange('certificate', sent, await first)
        self.session.add_exchange('at the other router', sent, await second)
        await self.leave_and_check(
            'certificate-at-two-routers', 'certificate-m-17'
        )

    def is_accepted_by_second(self):
        """Return whether the second router has accepted the call."""
        answers = self.deployment.routers[1].parts.dispatcher.parts.answers
        return answers.get('winders', 'certificate-m-17') is not None

    async def test_answers_out_of_order(self):
        """Answers that finish out of order go to the right callers.

        Guards against a guest who gets the lesson plan of another: at one
        router and engine, the second request is answered before the first,
        and answers are matched to requests by their order.
        """
        await self.start_routers()
        engine = self.deployment.engine.core
        engine.cfg.pace_ms = ENDLESS_PACE_MS
        slow_request = chat_request('Lesson plan of Nikos', key='plan-nikos')
        slow_answer = self.start_request(0, slow_request)
        await wait_until(lambda: engine.runs)
        engine.cfg.pace_ms = 0
        fast_request = chat_request('Lesson plan of Eleni', key='plan-eleni')
        await self.session.send('plan of Eleni', self.address(0), fast_request)
        self.session.add_step('the engine goes on with the first one')
        self.deployment.clock.resumed.set()
        self.session.add_exchange(
            'plan of Nikos', slow_request, await slow_answer
        )
        await self.leave_and_check('answers-out-of-order')

    async def test_answer_to_another_attempt_is_rejected(self):
        """An answer that names another attempt is rejected.

        Guards against a caller who gets the answer to another request: an
        engine confuses two requests and names the other attempt in its
        answer, and the router does not check the attempt.
        """
        await self.start_routers(engines=2)
        wrong_id = _WrongAttemptId(EngineHandler.read_by)
        sent = chat_request('Lesson plan of Nikos', key='plan-nikos')
        with mock.patch.object(
            EngineHandler,
            'read_by',
            lambda handler, generation: wrong_id.read_by(handler, generation),
        ):
            await self.session.send('plan of Nikos', self.address(0), sent)
        self.session.add_counters('balsamreach_answers_foreign_total')
        await self.leave_and_check('foreign-answer')


@attrs.define
class _WrongAttemptId:
    """Replaces the attempt id in the first answer of an engine."""

    original: object
    was_replaced: bool = False

    def read_by(self, handler, generation):
        """Stand in for ``EngineHandler.read_by``."""
        if not self.was_replaced:
            self.was_replaced = True
            generation.headers['X-Attempt-Id'] = 'of-another-request'
        self.original(handler, generation)
