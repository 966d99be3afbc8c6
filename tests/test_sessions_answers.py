"""Golden sessions of duplicates and of late and foreign answers."""

import asyncio
from unittest import mock

import attrs

from balsamreach.standins.engine_handler import EngineHandler
from tests.failure_case import FailureCase, ask, certificate
from tests.failure_rig import HELD_MS, Rig, wait
from tests.failure_session import receive


class AnswerTest(FailureCase):
    """Every caller gets its own answer, whole and once."""

    async def begin(self, engines=1):
        """Start two routers."""
        await self.open(Rig(engines=engines))
        await self.rig.start(2)

    def send(self, number, sent):
        """Send a request to a router without waiting for the answer."""
        return asyncio.create_task(receive(self.address(number), sent))

    async def end(self, name, *keys):
        """Let the routers leave and compare the session."""
        for router in self.rig.routers:
            await router.leave()
        self.rig.routers.clear()
        self.session.runs(*keys)
        await self.session.books()
        self.check(name)

    async def test_duplicates_at_two_routers(self):
        """A tablet that asks three times pays three times.

        Symptom: several runs and bills for one report. Events: the tablet
        asks at two routers at once and again while the answer is still
        being made. Cause: each router knows only what it runs itself.
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
        """Return whether the second router copies from the first one."""
        answers = self.rig.routers[1].parts.dispatcher.parts.answers
        known = answers.get('winders', 'report-5')
        return known is not None and known.body.size > 0

    async def test_doubled_certificate_at_two_routers(self):
        """A certificate that is asked for at two routers runs twice.

        Symptom: two certificates. Events: both routers get the call while
        the service works on it. Cause: no claim decides between them.
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
        """Return whether the second router has taken the call."""
        answers = self.rig.routers[1].parts.dispatcher.parts.answers
        return answers.get('winders', 'certificate-m-17') is not None

    async def test_answers_out_of_order(self):
        """An answer that comes late goes to the wrong caller.

        Symptom: a guest reads another one's lesson plan. Events: the first
        request is slow, the second one is answered before it, on the same
        router and engine. Cause: answers are matched by their order.
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
        """A target answers with what belongs to another request.

        Symptom: a caller reads another one's answer. Events: an engine
        mixes two requests up, and names the other attempt in its answer.
        Cause: whatever comes back is taken for the answer.
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
    """Names another attempt in the first answer of an engine."""

    plain: object
    done: bool = False

    def read_by(self, handler, generation):
        """Take the part of the engine's own method."""
        if not self.done:
            self.done = True
            generation.headers['X-Attempt-Id'] = 'of-another-request'
        self.plain(handler, generation)
