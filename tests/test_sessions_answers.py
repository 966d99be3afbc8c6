"""Golden sessions of duplicate requests and of misdirected answers."""

import asyncio
from unittest import mock

import attrs

from balsamreach.standins.engine_handler import EngineHandler
from tests.failure_case import FailureCase, ask, certificate
from tests.failure_rig import HELD_MS, Rig, wait
from tests.failure_session import receive


class AnswerTest(FailureCase):
    """Every caller gets the complete answer to its own request."""

    async def begin(self, engines=1):
        """Start the targets and two routers."""
        await self.open(Rig(engines=engines))
        await self.rig.start(2)

    def send(self, number, sent):
        """Send a request to a router without waiting for the answer."""
        return asyncio.create_task(receive(self.address(number), sent))

    async def end(self, name, *keys):
        """Stop the routers and compare the session."""
        for router in self.rig.routers:
            await router.leave()
        self.rig.routers.clear()
        self.session.runs(*keys)
        await self.session.books()
        self.check(name)

    async def test_duplicates_at_two_routers(self):
        """Duplicates at two routers share one run and one bill.

        Guards against several runs and bills for one report: a tablet sends
        the same request to two routers, and again while the answer is being
        generated, and each router knows only its own runs.
        """
        await self.begin()
        engine = self.rig.engine.core
        engine.cfg.pace_ms = HELD_MS
        sent = ask('Teardown report', 4, 'report-5', stream=True)
        first = self.send(0, sent)
        await wait(lambda: engine.runs)
        others = [self.send(number, sent) for number in (1, 0)]
        joined = 'balsamreach_requests_joined_total'
        await wait(lambda: self.is_followed())
        self.rig.gate.opened.set()
        for title, answer in zip(
            ('report', 'at the other router', 'at the first router again'),
            (first, *others),
            strict=True,
        ):
            self.session.took(title, sent, await answer)
        await self.session.say('and afterwards', self.address(1), sent)
        self.session.counters(joined)
        await self.end('duplicates')

    def is_followed(self):
        """Return whether the second router receives the first one's answer."""
        answers = self.rig.routers[1].parts.dispatcher.parts.answers
        known = answers.get('winders', 'report-5')
        return known is not None and known.body.size > 0

    async def test_doubled_certificate_at_two_routers(self):
        """A non-idempotent call at two routers runs once.

        Guards against two certificates: both routers get the call while the
        service processes it, and no claim decides which of them sends it.
        """
        await self.begin()
        desk = self.rig.service.core
        desk.cfg.delay_ms = HELD_MS
        sent = certificate('certificate-m-17')
        first = self.send(0, sent)
        await wait(lambda: desk.runs['certificate-m-17'])
        second = self.send(1, sent)
        await wait(lambda: self.is_known_to_second())
        self.rig.gate.opened.set()
        self.session.took('certificate', sent, await first)
        self.session.took('at the other router', sent, await second)
        await self.end('certificate-at-two-routers', 'certificate-m-17')

    def is_known_to_second(self):
        """Return whether the second router has accepted the call."""
        answers = self.rig.routers[1].parts.dispatcher.parts.answers
        return answers.get('winders', 'certificate-m-17') is not None

    async def test_answers_out_of_order(self):
        """Answers that finish out of order go to the right callers.

        Guards against a guest who gets the lesson plan of another: at one
        router and engine, the second request is answered before the first,
        and answers are matched to requests by their order.
        """
        await self.begin()
        engine = self.rig.engine.core
        engine.cfg.pace_ms = HELD_MS
        slow = ask('Lesson plan of Nikos', key='plan-nikos')
        late = self.send(0, slow)
        await wait(lambda: engine.runs)
        engine.cfg.pace_ms = 0
        quick = ask('Lesson plan of Eleni', key='plan-eleni')
        await self.session.say('plan of Eleni', self.address(0), quick)
        self.session.tell('the engine goes on with the first one')
        self.rig.gate.opened.set()
        self.session.took('plan of Nikos', slow, await late)
        await self.end('answers-out-of-order')

    async def test_foreign_answer(self):
        """An answer that names another attempt is rejected.

        Guards against a caller who gets the answer to another request: an
        engine confuses two requests and names the other attempt in its
        answer, and the router does not check the attempt.
        """
        await self.begin(engines=2)
        mixed = _MixedUp(EngineHandler.read_by)
        sent = ask('Lesson plan of Nikos', key='plan-nikos')
        with mock.patch.object(
            EngineHandler,
            'read_by',
            lambda handler, generation: mixed.read_by(handler, generation),
        ):
            await self.session.say('plan of Nikos', self.address(0), sent)
        self.session.counters('balsamreach_answers_foreign_total')
        await self.end('foreign-answer')


@attrs.define
class _MixedUp:
    """Replaces the attempt id in the first answer of an engine."""

    plain: object
    done: bool = False

    def read_by(self, handler, generation):
        """Stand in for ``EngineHandler.read_by``."""
        if not self.done:
            self.done = True
            generation.headers['X-Attempt-Id'] = 'of-another-request'
        self.plain(handler, generation)
