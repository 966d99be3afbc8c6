"""Golden sessions of a router that is paused and resumed."""

import asyncio
import signal

from balsamreach.budget.budgets import Budgets
from balsamreach.budget.pause_detector import PAUSE_THRESHOLD_S
from balsamreach.clock import SystemClock
from tests.deployment import OPERATOR_SECRET, exchange, request
from tests.failure_case import FailureCase, ask, certificate
from tests.failure_rig import TEAM, HeldCommit, Rig, free_port, wait
from tests.failure_session import receive

_ROUNDS = 8


class PauseTest(FailureCase):
    """A router in a separate process is paused, another keeps running."""

    async def begin(self, prepaid=200):
        """Start both routers and let each serve a request and keep tokens."""
        await self.open(Rig(prepaid=prepaid))
        await self.rig.start(1)
        port = free_port()
        self.rig.more['sleeper'] = (f'peers.port={port}',)
        self.sleeper = await self.rig.add_process('sleeper')
        await self.rig.meet()
        for address in (self.sleeper.address, self.address(0)):
            await self.session.say('quote', address, ask('Quote', 20))
        await self.session.wait_for_bills(2)
        await self.session.books()

    async def pause(self):
        """Pause the process and wait until the other router sees it as dead."""
        self.session.tell('the router is paused')
        self.sleeper.signal(signal.SIGSTOP)
        net = self.rig.routers[0].parts.net
        await wait(lambda: len(net.members()) == 1)

    def wake(self):
        """Resume the process."""
        self.session.tell('the paused router wakes up')
        self.sleeper.signal(signal.SIGCONT)

    async def take_over(self):
        """Close the allotments of the paused router as its successor does.

        A paused process keeps its port, so that no other process can start
        on it. In production the platform assigns the address of a hung host
        to a new one. This makes the same commits as the new one would.
        """
        self.session.tell('a successor on its address takes over')
        cfg = self.rig.routers[0].cfg.budget
        successor = Budgets(
            self.rig.store,
            'successor',
            cfg,
            SystemClock(),
            address=self.sleeper.started['peers'],
        )
        for _ in range(_ROUNDS):
            await successor.maintenance.run_round()
        await self.session.books('books after the takeover')

    async def end(self, name, *keys):
        """Stop both routers and compare the session."""
        await self.sleeper.leave()
        await self.rig.routers.pop().leave()
        self.session.tell('both routers have left')
        self.session.runs(*keys)
        await self.session.books()
        self.check(name)

    async def test_holder_was_taken_over_and_the_budget_topped_up(self):
        """A resumed router does not spend tokens that were taken over.

        Guards against more recorded use than prepaid tokens: a router is
        paused for long, a successor returns its tokens, another router
        spends them and a top-up, and the paused router resumes and spends
        them again without checking its allotment.
        """
        await self.begin()
        await self.pause()
        await self.take_over()
        operators = self.rig.routers[0].operators.address
        sent = request(
            f'PATCH /table/team/{TEAM}',
            b'{"top_up": 22}',
            OPERATOR_SECRET,
        )
        self.session.tell('22 tokens are topped up')
        await exchange(operators, sent)
        for number in range(6):
            title = f'quote {number} at the other router'
            sent = ask('Quote', 20)
            await self.session.say(title, self.address(0), sent)
        # The process detects the pause by the jump of its clock.
        await asyncio.sleep(PAUSE_THRESHOLD_S + 1)
        self.wake()
        for number in range(2):
            title = f'quote {number} at the router that was paused'
            sent = ask('Quote', 20)
            await self.session.say(title, self.sleeper.address, sent)
        await self.end('pause-taken-over')

    async def test_claim_of_a_paused_holder(self):
        """A call that a paused router has claimed runs once.

        Guards against two certificates: a router claims a call and is paused
        before it sends it, the caller repeats the call at another router,
        the claim lapses so that this router sends it, and the paused router
        resumes and sends it too.
        """
        await self.begin(prepaid=1000)
        held = HeldCommit('claim/', applied=True)
        sent = certificate('certificate-m-17')
        with held.hold():
            first = asyncio.create_task(receive(self.sleeper.address, sent))
            await wait(held.came.is_set)
            self.session.tell('the claim is recorded, its answer under way')
            await self.pause()
            title = 'certificate, asked again elsewhere'
            await self.session.say(title, self.address(0), sent)
            self.session.runs('certificate-m-17')
            self.wake()
            held.go_on.set()
            self.session.took('certificate', sent, await first)
        self.session.runs('certificate-m-17')
        await self.rig.meet()
        title = 'certificate, asked once more elsewhere'
        await self.session.say(title, self.address(0), sent)
        await self.session.wait_for_bills(3)
        await self.end('pause-claim', 'certificate-m-17')
