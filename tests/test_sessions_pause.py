"""Golden sessions of a router that is paused and wakes up."""

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
    """One router is a process that is stopped, the other one runs on."""

    async def begin(self, prepaid=200):
        """Start both; each serves a request and holds the rest."""
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
        """Stop the process until the other one holds it for dead."""
        self.session.tell('the router is paused')
        self.sleeper.signal(signal.SIGSTOP)
        net = self.rig.routers[0].parts.net
        await wait(lambda: len(net.members()) == 1)

    def wake(self):
        """Let the process run on."""
        self.session.tell('the paused router wakes up')
        self.sleeper.signal(signal.SIGCONT)

    async def take_over(self):
        """Close what the paused one holds, as its successor would.

        A process that is only stopped keeps its port, so no other one can
        be started there; in the field the platform gives the address of a
        host that hangs to a new one. What the new one commits is what this
        commits.
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
        """Let both routers leave and compare the session."""
        await self.sleeper.leave()
        await self.rig.routers.pop().leave()
        self.session.tell('both routers have left')
        self.session.runs(*keys)
        await self.session.books()
        self.check(name)

    async def test_holder_was_taken_over_and_the_budget_topped_up(self):
        """A holder that was asleep spends what others have spent since.

        Symptom: the recorded spend passes the prepaid budget. Events: a
        router is paused for long; a successor returns its tokens; another
        router spends them, and a top-up; the paused one wakes up and still
        believes in them. Cause: it does not look before it spends.
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
        # The process finds out by its clock that it did not run.
        await asyncio.sleep(PAUSE_THRESHOLD_S + 1)
        self.wake()
        for number in range(2):
            title = f'quote {number} at the router that was paused'
            sent = ask('Quote', 20)
            await self.session.say(title, self.sleeper.address, sent)
        await self.end('pause-taken-over')

    async def test_claim_of_a_paused_holder(self):
        """A certificate runs at the holder that wakes up, and elsewhere.

        Symptom: two certificates. Events: a router has claimed a call and is
        paused before it dispatches it; the caller asks again at another
        router; the paused one wakes up and goes on. Cause: a claim that
        lapses, so that the other one runs the call too.
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
