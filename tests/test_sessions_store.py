"""Golden sessions of table service outages, lost answers and races."""

import asyncio

from balsamreach.services.base import Scan
from tests.deployment import OPERATOR_SECRET, exchange, request
from tests.failure_case import FailureCase, ask, certificate
from tests.failure_rig import TEAM, HeldCommit, Rig, wait

_NO_ROUNDS = 'budget.flush_interval=1h'
_SEEN = (
    'balsamreach_budget_refusals_total',
    'balsamreach_requests_total',
    'balsamreach_claims_total',
)


class DownTest(FailureCase):
    """The platform is down for a long time."""

    async def begin(self, *overrides):
        """Start a router, let it draw tokens and take the platform down."""
        await self.open(Rig(overrides=overrides))
        await self.rig.start(1)
        sent = ask('Quote', 20, 'before')
        await self.session.say('quote', self.address(0), sent)
        await self.session.wait_for_bills(1)
        self.session.tell('the platform goes down')
        self.rig.weather.down = True

    async def back(self, bills):
        """Bring the platform back, wait for the bills and stop the router."""
        self.session.tell('the platform is back')
        self.rig.weather.down = False
        await self.session.wait_for_bills(bills)
        sent = ask('Quote', 20, 'after')
        await self.session.say_until('quote', self.address(0), sent)
        await self.rig.routers.pop().leave()
        self.session.tell('the router has left')
        self.session.runs('certificate-m-17')
        await self.session.books()

    async def test_serves_from_its_allotment_then_refuses(self):
        """During an outage a router spends its allotment, then refuses.

        Guards against requests that are refused although the router holds
        tokens, served although it holds none, or left without an answer:
        the platform is down for a long time, and the router asks it for each
        request or continues without tokens.
        """
        await self.begin()
        for number in range(4):
            sent = ask('Quote', 20)
            title = f'quote {number}'
            await self.session.say(title, self.address(0), sent)
        sent = certificate('certificate-m-17')
        await self.session.say('certificate', self.address(0), sent)
        self.session.counters(*_SEEN)
        await self.back(bills=3)
        self.check('store-down')

    async def test_bills_that_wait_are_bounded(self):
        """The number of unrecorded bills is limited.

        Guards against a router that runs out of memory: the platform is
        down, the allotment is large, and unrecorded bills pile up without a
        limit.
        """
        await self.begin('budget.bills_limit=2', 'budget.least_draw=1000')
        for number in range(3):
            sent = ask('Quote', 20)
            title = f'quote {number}'
            await self.session.say(title, self.address(0), sent)
        self.session.counters(*_SEEN)
        await self.back(bills=3)
        self.check('store-down-bills-bounded')


class LostAnswerTest(FailureCase):
    """A write takes effect, but its answer is lost."""

    async def begin(self):
        """Start a router that records bills only on an explicit flush."""
        await self.open(Rig(overrides=(_NO_ROUNDS,)))
        await self.rig.start(1)

    async def lose(self, what):
        """Drop the next answer of the table service."""
        self.session.tell(f'the answer to {what} will be lost')
        self.rig.weather.lose_answers = 1

    async def rows(self, title, prefix):
        """Write the rows whose keys have a prefix."""
        page = await self.rig.store.scan(Scan(prefix))
        shown = [f'{row.key} {_shown(row.value)}' for row in page.rows]
        lost = self.rig.weather.lose_answers
        lines = (*shown, f'answers still to be lost: {lost}')
        self.session.write(title, '\n'.join(lines))

    async def test_draw_and_settlement(self):
        """A draw and a settlement with lost answers count once.

        Guards against an account that shows more tokens taken than are held,
        or a bill that counts twice: a commit takes effect, its answer is
        lost, and the repeated commit counts as a new one.
        """
        await self.begin()
        await self.lose('the draw')
        sent = ask('Quote', 20, 'quote-1')
        await self.session.say('quote', self.address(0), sent)
        await self.rows('account', 'account/')
        await self.rows('allotment', 'allotment/')
        await self.lose('the record of the bill')
        await self.rig.routers[0].parts.budgets.flush()
        await self.rows('allotment', 'allotment/')
        await self.session.books()
        self.check('lost-answer-draw-settle')

    async def test_claim(self):
        """A call whose claim was recorded without an answer runs once.

        Guards against two certificates or a permanent refusal: the claim is
        recorded and the answer is lost, and the router takes its own claim
        for that of another router, or the reverse.
        """
        await self.begin()
        warm = ask('Quote', 20, 'before')
        await self.session.say('quote', self.address(0), warm)
        await self.lose('the claim')
        sent = certificate('certificate-m-17')
        await self.session.say('certificate', self.address(0), sent)
        await self.session.say('the same again', self.address(0), sent)
        await self.rows('claims', 'claim/')
        self.session.runs('certificate-m-17')
        await self.rig.routers.pop().leave()
        await self.session.books()
        self.check('lost-answer-claim')

    async def test_edit(self):
        """A repeated top-up counts once.

        Guards against more prepaid tokens than were paid for: the top-up
        takes effect, its answer is lost, and the repetition counts as
        another top-up.
        """
        await self.begin()
        await self.lose('the top-up')
        operators = self.rig.routers[0].operators.address
        sent = request(
            f'PATCH /table/team/{TEAM}',
            b'{"top_up": 500, "edit_id": "receipt-31"}',
            OPERATOR_SECRET,
        )
        await self.session.say('top-up', operators, sent)
        await self.session.say('the same again', operators, sent)
        await self.rows('account', 'account/')
        self.check('lost-answer-edit')


class RaceTest(FailureCase):
    """Two operators edit one row at the same time."""

    async def test_one_wins_and_the_other_is_told(self):
        """Of two concurrent edits one is accepted and one refused.

        Guards against an accepted edit that an operator overwrites without
        having seen it: both operators read a row, the commit of one takes
        effect while that of the other is in progress, and writes do not
        depend on the version that was read.
        """
        await self.open(Rig())
        await self.rig.start(2)
        slow, quick = (router.operators.address for router in self.rig.routers)
        held = HeldCommit('table/team/', applied=False)
        rows = await self.rig.store.read((f'table/team/{TEAM}',))
        with held.hold():
            sent = _edit(rows[0].version, 'anna', 2)
            late = asyncio.create_task(exchange(slow, sent))
            await held.came.wait()
            self.session.tell('the edit of anna is under way')
            other = _edit(rows[0].version, 'bela', 3)
            await self.session.say('edit of bela', quick, other)
            held.go_on.set()
            self.session.took('edit of anna', sent, await late)
        await wait(lambda: len(set(self.weights())) == 1)
        self.session.write('weight in force', str(self.weights()))
        title = 'history'
        sent = request(f'GET /history?key=team/{TEAM}', b'', OPERATOR_SECRET)
        await self.session.say(title, quick, sent)
        self.check('operators-race')

    def weights(self):
        """Return the team's weight at each router."""
        return [
            router.parts.table.view.teams[TEAM].weight
            for router in self.rig.routers
        ]


def _edit(version, author, weight):
    return request(
        f'PATCH /table/team/{TEAM}',
        b'{"version": %d, "author": "%s", "fields": {"weight": %d}}'
        % (version, author.encode(), weight),
        OPERATOR_SECRET,
    )


def _shown(fields):
    hidden = ('at', 'attempt', 'holder', 'fingerprint')
    return {name: fields[name] for name in fields if name not in hidden}
