"""Golden sessions of a router that is paused and resumed."""

import asyncio
import signal

from balsamreach.budget.budgets import Budgets
from balsamreach.budget.pause_detector import PAUSE_THRESHOLD_S
from balsamreach.clock import SystemClock
from tests.deployment import OPERATOR_SECRET, exchange, request
from tests.failure_case import FailureCase, certificate_request, chat_request
from tests.failure_deployment import (
    TEAM,
    DelayedCommit,
    FailureDeployment,
    free_port,
    wait_until,
)
from tests.failure_session import send_and_receive

_ROUNDS = 8


class PauseTest(FailureCase):
    """A router in a separate process is paused, another keeps running."""

    async def start_routers(self, prepaid=200):
        """Start both routers and let each serve a request and keep tokens."""
        await self.open_session(FailureDeployment(prepaid=prepaid))
        await self.deployment.start(1)
        port = free_port()
        self.deployment.router_overrides['sleeper'] = (f'peers.port={port}',)
        self.paused_router = await self.deployment.add_router_process('sleeper')
        await self.deployment.wait_until_connected()
        for address in (self.paused_router.address, self.address(0)):
            await self.session.send('quote', address, chat_request('Quote', 20))
        await self.session.wait_for_bills(2)
        await self.session.add_audit()

    async def pause(self):
        """Pause the process and wait until the other router sees it as dead."""
        self.session.add_step('the router is paused')
        self.paused_router.signal(signal.SIGSTOP)
        net = self.deployment.routers[0].parts.net
        await wait_until(lambda: len(net.members()) == 1)

    def resume(self):
        """Resume the process."""
        self.session.add_step('the paused router wakes up')
        self.paused_router.signal(signal.SIGCONT)

    async def take_over(self):
        """Close the allotments of the paused router as its successor does.

        A paused process keeps its port, so that no other process can start
        on it. In production the platform assigns the address of a hung host
        to a new one. This makes the same commits as the new one would.
        """
        self.session.add_step('a successor on its address takes over')
        cfg = self.deployment.routers[0].cfg.budget
        successor = Budgets(
            self.deployment.store,
            'successor',
            cfg,
            SystemClock(),
            address=self.paused_router.addresses['peers'],
        )
        for _ in range(_ROUNDS):
            await successor.maintenance.run_round()
        await self.session.add_audit('books after the takeover')

    async def leave_and_check(self, name, *keys):
        """Stop both routers and compare the session."""
        await self.paused_router.leave()
        await self.deployment.routers.pop().leave()
        self.session.add_step('both routers have left')
        self.session.add_runs(*keys)
        await self.session.add_audit()
        self.check_session(name)

    async def test_resumed_router_does_not_spend_taken_over_tokens(self):
        """A resumed router does not spend tokens that were taken over.

        Guards against more recorded use than prepaid tokens: a router is
        paused for long, a successor returns its tokens, another router
        spends them and a top-up, and the paused router resumes and spends
        them again without checking its allotment.
        """
        await self.start_routers()
        await self.pause()
        await self.take_over()
        operators = self.deployment.routers[0].operators.address
        sent = request(
            f'PATCH /table/team/{TEAM}',
            b'{"top_up": 22}',
            OPERATOR_SECRET,
        )
        self.session.add_step('22 tokens are topped up')
        await exchange(operators, sent)
        for number in range(6):
            title = f'quote {number} at the other router'
            sent = chat_request('Quote', 20)
            await self.session.send(title, self.address(0), sent)
        # The process detects the pause by the jump of its clock.
        await asyncio.sleep(PAUSE_THRESHOLD_S + 1)
        self.resume()
        for number in range(2):
            title = f'quote {number} at the router that was paused'
            sent = chat_request('Quote', 20)
            await self.session.send(title, self.paused_router.address, sent)
        await self.leave_and_check('pause-taken-over')

    async def test_call_claimed_by_paused_router_runs_once(self):
        """A call that a paused router has claimed runs once.

        Guards against two certificates: a router claims a call and is paused
        before it sends it, the caller repeats the call at another router,
        the claim lapses so that this router sends it, and the paused router
        resumes and sends it too.
        """
        await self.start_routers(prepaid=1000)
        delayed = DelayedCommit('claim/', applied=True)
        sent = certificate_request('certificate-m-17')
        with delayed.installed():
            first = asyncio.create_task(
                send_and_receive(self.paused_router.address, sent)
            )
            await wait_until(delayed.reached.is_set)
            self.session.add_step('the claim is recorded, its answer under way')
            await self.pause()
            title = 'certificate, asked again elsewhere'
            await self.session.send(title, self.address(0), sent)
            self.session.add_runs('certificate-m-17')
            self.resume()
            delayed.resume.set()
            self.session.add_exchange('certificate', sent, await first)
        self.session.add_runs('certificate-m-17')
        await self.deployment.wait_until_connected()
        title = 'certificate, asked once more elsewhere'
        await self.session.send(title, self.address(0), sent)
        await self.session.wait_for_bills(3)
        await self.leave_and_check('pause-claim', 'certificate-m-17')
