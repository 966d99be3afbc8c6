"""Golden sessions of table service outages, lost answers and races."""

import asyncio

from balsamreach.services.base import Scan
from tests.deployment import OPERATOR_SECRET, exchange, request
from tests.failure_case import FailureCase, certificate_request, chat_request
from tests.failure_deployment import (
    TEAM,
    DelayedCommit,
    FailureDeployment,
    wait_until,
)

_NO_AUTOMATIC_FLUSH = 'budget.flush_interval=1h'
_COUNTERS = (
    'balsamreach_budget_refusals_total',
    'balsamreach_requests_total',
    'balsamreach_claims_total',
)


class OutageTest(FailureCase):
    """The platform is down for a long time."""

    async def start_router(self, *overrides):
        """Start a router, let it draw tokens and take the platform down."""
        await self.open_session(FailureDeployment(overrides=overrides))
        await self.deployment.start(1)
        sent = chat_request('Quote', 20, 'before')
        await self.session.send('quote', self.address(0), sent)
        await self.session.wait_for_bills(1)
        self.session.add_step('the platform goes down')
        self.deployment.failures.down = True

    async def end_outage(self, bills):
        """Bring the platform back, wait for the bills and stop the router."""
        self.session.add_step('the platform is back')
        self.deployment.failures.down = False
        await self.session.wait_for_bills(bills)
        sent = chat_request('Quote', 20, 'after')
        await self.session.send_until('quote', self.address(0), sent)
        await self.deployment.routers.pop().leave()
        self.session.add_step('the router has left')
        self.session.add_runs('certificate-m-17')
        await self.session.add_audit()

    async def test_serves_from_allotment_then_refuses(self):
        """During an outage a router spends its allotment, then refuses.

        Guards against requests that are refused although the router holds
        tokens, served although it holds none, or left without an answer:
        the platform is down for a long time, and the router asks it for each
        request or continues without tokens.
        """
        await self.start_router()
        for number in range(4):
            sent = chat_request('Quote', 20)
            title = f'quote {number}'
            await self.session.send(title, self.address(0), sent)
        sent = certificate_request('certificate-m-17')
        await self.session.send('certificate', self.address(0), sent)
        self.session.add_counters(*_COUNTERS)
        await self.end_outage(bills=3)
        self.check_session('store-down')

    async def test_number_of_unrecorded_bills_is_limited(self):
        """The number of unrecorded bills is limited.

        Guards against a router that runs out of memory: the platform is
        down, the allotment is large, and unrecorded bills pile up without a
        limit.
        """
        await self.start_router(
            'budget.bills_limit=2', 'budget.least_draw=1000'
        )
        for number in range(3):
            sent = chat_request('Quote', 20)
            title = f'quote {number}'
            await self.session.send(title, self.address(0), sent)
        self.session.add_counters(*_COUNTERS)
        await self.end_outage(bills=3)
        self.check_session('store-down-bills-bounded')


class LostAnswerTest(FailureCase):
    """A write takes effect, but its answer is lost."""

    async def start_router(self):
        """Start a router that records bills only on an explicit flush."""
        await self.open_session(
            FailureDeployment(overrides=(_NO_AUTOMATIC_FLUSH,))
        )
        await self.deployment.start(1)

    async def lose_answer(self, operation):
        """Drop the next answer of the table service."""
        self.session.add_step(f'the answer to {operation} will be lost')
        self.deployment.failures.lose_answers = 1

    async def add_rows(self, title, prefix):
        """Write the rows whose keys have a prefix."""
        page = await self.deployment.store.scan(Scan(prefix))
        shown = [f'{row.key} {_stable_fields(row.value)}' for row in page.rows]
        lost = self.deployment.failures.lose_answers
        lines = (*shown, f'answers still to be lost: {lost}')
        self.session.add_section(title, '\n'.join(lines))

    async def test_draw_and_settlement_count_once(self):
        """A draw and a settlement with lost answers count once.

        Guards against an account that shows more tokens taken than are held,
        or a bill that counts twice: a commit takes effect, its answer is
        lost, and the repeated commit counts as a new one.
        """
        await self.start_router()
        await self.lose_answer('the draw')
        sent = chat_request('Quote', 20, 'quote-1')
        await self.session.send('quote', self.address(0), sent)
        await self.add_rows('account', 'account/')
        await self.add_rows('allotment', 'allotment/')
        await self.lose_answer('the record of the bill')
        await self.deployment.routers[0].parts.budgets.flush()
        await self.add_rows('allotment', 'allotment/')
        await self.session.add_audit()
        self.check_session('lost-answer-draw-settle')

    async def test_claimed_call_runs_once(self):
        """A call whose claim was recorded without an answer runs once.

        Guards against two certificates or a permanent refusal: the claim is
        recorded and the answer is lost, and the router takes its own claim
        for that of another router, or the reverse.
        """
        await self.start_router()
        first_request = chat_request('Quote', 20, 'before')
        await self.session.send('quote', self.address(0), first_request)
        await self.lose_answer('the claim')
        sent = certificate_request('certificate-m-17')
        await self.session.send('certificate', self.address(0), sent)
        await self.session.send('the same again', self.address(0), sent)
        await self.add_rows('claims', 'claim/')
        self.session.add_runs('certificate-m-17')
        await self.deployment.routers.pop().leave()
        await self.session.add_audit()
        self.check_session('lost-answer-claim')

    async def test_top_up_counts_once(self):
        """A repeated top-up counts once.

        Guards against more prepaid tokens than were paid for: the top-up
        takes effect, its answer is lost, and the repetition counts as
        another top-up.
        """
        await self.start_router()
        await self.lose_answer('the top-up')
        operators = self.deployment.routers[0].operators.address
        sent = request(
            f'PATCH /table/team/{TEAM}',
            b'{"top_up": 500, "edit_id": "receipt-31"}',
            OPERATOR_SECRET,
        )
        await self.session.send('top-up', operators, sent)
        await self.session.send('the same again', operators, sent)
        await self.add_rows('account', 'account/')
        self.check_session('lost-answer-edit')


class ConcurrentEditsTest(FailureCase):
    """Two operators edit one row at the same time."""

    async def test_one_is_accepted_and_one_refused(self):
        """Of two concurrent edits one is accepted and one refused.

        Guards against an accepted edit that an operator overwrites without
        having seen it: both operators read a row, the commit of one takes
        effect while that of the other is in progress, and writes do not
        depend on the version that was read.
        """
        await self.open_session(FailureDeployment())
        await self.deployment.start(2)
        slow_address, fast_address = (
            router.operators.address for router in self.deployment.routers
        )
        delayed = DelayedCommit('table/team/', applied=False)
        rows = await self.deployment.store.read((f'table/team/{TEAM}',))
        with delayed.installed():
            sent = _weight_edit(rows[0].version, 'anna', 2)
            delayed_answer = asyncio.create_task(exchange(slow_address, sent))
            await delayed.reached.wait()
            self.session.add_step('the edit of anna is under way')
            fast_edit = _weight_edit(rows[0].version, 'bela', 3)
            await self.session.send('edit of bela', fast_address, fast_edit)
            delayed.resume.set()
            self.session.add_exchange(
                'edit of anna', sent, await delayed_answer
            )
        await wait_until(lambda: len(set(self.weights())) == 1)
        self.session.add_section('weight in force', str(self.weights()))
        title = 'history'
        sent = request(f'GET /history?key=team/{TEAM}', b'', OPERATOR_SECRET)
        await self.session.send(title, fast_address, sent)
        self.check_session('operators-race')

    def weights(self):
        """Return the team's weight at each router."""
        return [
            router.parts.table.view.teams[TEAM].weight
            for router in self.deployment.routers
        ]


def _weight_edit(version, author, weight):
    return request(
        f'PATCH /table/team/{TEAM}',
        b'{"version": %d, "author": "%s", "fields": {"weight": %d}}'
        % (version, author.encode(), weight),
        OPERATOR_SECRET,
    )


def _stable_fields(fields):
    omitted = ('at', 'attempt', 'holder', 'fingerprint')
    return {name: fields[name] for name in fields if name not in omitted}
