"""Tests of admission: fair queues, limits, deadlines and cancellation."""

import asyncio
import unittest
from collections import Counter

from balsamreach.routing.faults import (
    DEADLINE_UNMEETABLE,
    NO_TARGET,
    QUEUE_FULL,
    TARGETS_BACK_OFF,
)
from balsamreach.routing.slot import Slot
from tests.routing_node import Node, make_rows


async def _settle():
    """Let all tasks run until they wait for something."""
    for _ in range(8):
        await asyncio.sleep(0)


class QueueCase(unittest.IsolatedAsyncioTestCase):
    """A router with one target that has two slots."""

    def setUp(self):
        self.node = Node(
            make_rows(1, concurrency=2),
            options=('routing.queue_limit=8',),
        )
        self.outcomes = []

    async def fill(self):
        """Take both slots."""
        return [await self.node.send(fingerprint=f'f{n}') for n in range(2)]

    async def queue(self, team, count=1, **fields):
        """Start requests of a team that have to wait."""
        tasks = [
            asyncio.create_task(self._enter(team, fields)) for _ in range(count)
        ]
        await _settle()
        return tasks

    async def serve(self, slots, count):
        """End requests one by one and return the teams served, in order."""
        served = []
        for _ in range(count):
            self.node.end(slots.pop(0))
            await _settle()
            team, slot = self.outcomes.pop(0)
            served.append(team)
            slots.append(slot)
        return served

    async def _enter(self, team, fields):
        ask = self.node.ask(team, team, **fields)
        outcome = await self.node.routing.acquire_slot(ask)
        self.outcomes.append((team, outcome))
        return outcome


class FairQueueTest(QueueCase):
    """The order of waiting requests, by teams' weights."""

    async def test_backlog_does_not_delay_other_teams(self):
        """A team's backlog does not delay another team's request.

        Seven requests of one team wait when one of another team arrives. In a
        queue ordered by arrival, all teams would be delayed.
        """
        slots = await self.fill()
        await self.queue('flood', 7)
        await self.queue('quiet', 1)
        served = await self.serve(slots, 3)
        self.assertIn('quiet', served[:2])

    async def test_order_follows_the_weights(self):
        slots = await self.fill()
        await self.queue('light', 4, weight=1)
        await self.queue('heavy', 4, weight=3)
        served = Counter(await self.serve(slots, 4))
        self.assertEqual(served, {'heavy': 3, 'light': 1})

    async def test_idle_team_accumulates_no_turns(self):
        slots = await self.fill()
        await self.queue('busy', 7)
        await self.serve(slots, 3)
        await self.queue('late', 4)
        served = Counter(await self.serve(slots, 4))
        self.assertEqual(served, {'busy': 2, 'late': 2})

    async def test_full_queue_evicts_from_the_longest_backlog(self):
        """A full queue evicts a request of the team with the longest backlog.

        Otherwise a team that fills the queue causes refusals of other teams
        with hardly any requests, as the newest request would always be
        refused.
        """
        await self.fill()
        await self.queue('flood', 8)
        await self.queue('quiet', 1)
        self.assertEqual(self.outcomes, [('flood', QUEUE_FULL)])
        await self.queue('flood', 1)
        self.assertEqual(self.outcomes[1:], [('flood', QUEUE_FULL)])


class DeadlineTest(QueueCase):
    """Refusals come early and carry a retry time."""

    async def set_hold_time(self):
        """Set the pool's hold time to one second."""
        for _ in range(4):
            slot = await self.node.send()
            self.node.clock.advance(1)
            self.node.end(slot)

    async def test_request_that_cannot_be_in_time_is_refused_at_once(self):
        """A request that can't be answered in time is refused at once.

        A request with two seconds left arrives at a queue of four. If the hold
        times were not taken into account, its caller would wait until the
        deadline and be refused then.
        """
        await self.set_hold_time()
        await self.fill()
        await self.queue('team', 4)
        deadline = self.node.clock.now() + 2
        await self.queue('team', 1, deadline=deadline)
        refusal = self.outcomes[0][1]
        self.assertEqual(refusal, DEADLINE_UNMEETABLE)
        self.assertAlmostEqual(refusal.retry_after, 4 / 2)

    async def test_waiting_request_with_too_little_time_gets_no_slot(self):
        """A waiting request with too little time left gets no slot.

        Its turn comes half a second before its deadline. A slot would be
        wasted on an answer that comes too late; under overload few would be in
        time.
        """
        await self.set_hold_time()
        slots = await self.fill()
        deadline = self.node.clock.now() + 3
        await self.queue('late', 1, deadline=deadline)
        await self.queue('team', 1)
        self.node.clock.advance(2.5)
        self.node.end(slots[0])
        await _settle()
        self.assertEqual(self.outcomes[0], ('late', DEADLINE_UNMEETABLE))
        self.assertIsInstance(self.outcomes[1][1], Slot)

    async def test_waiting_requests_are_refused_when_target_backs_off(self):
        """Waiting requests are refused when their only target backs off.

        Otherwise they would stay in the queue of a target that takes none.
        """
        slots = await self.fill()
        await self.queue('team', 3)
        target = next(iter(self.node.targets.by_name.values()))
        target.retry_at = self.node.clock.now() + 5
        self.node.end(slots[0])
        await _settle()
        waits = [outcome.retry_after for _team, outcome in self.outcomes]
        self.assertEqual(waits, [5, 5, 5])
        self.assertEqual(self.outcomes[0][1], TARGETS_BACK_OFF)

    async def test_retry_time_is_that_of_the_first_target(self):
        self.node = Node(make_rows(3))
        now = self.node.clock.now()
        targets = list(self.node.targets.by_name.values())
        for target, seconds in zip(targets, (9, 4, 1), strict=True):
            target.retry_at = now + seconds
        targets[2].mark_leaving('start')
        refusal = await self.node.routing.acquire_slot(self.node.ask())
        self.assertEqual(refusal, TARGETS_BACK_OFF)
        self.assertEqual(refusal.retry_after, 4)
        self.node.clock.advance(4)
        slot = await self.node.routing.acquire_slot(self.node.ask())
        self.assertIs(slot.target, targets[1])

    async def test_refused_if_own_zone_leaves_and_other_backs_off(self):
        """A request is refused if the own zone leaves and the other backs off.

        Otherwise it would be queued although no target of any zone takes it.
        """
        away = make_rows(2, zone='zone-b')
        self.node = Node([*make_rows(2), *away])
        now = self.node.clock.now()
        for target in self.node.targets.by_name.values():
            if target.row.zone == 'zone-a':
                target.mark_leaving('start')
            else:
                target.retry_at = now + 4
        refusal = await self.node.routing.acquire_slot(self.node.ask())
        self.assertEqual(refusal, TARGETS_BACK_OFF)
        self.assertEqual(refusal.retry_after, 4)

    async def test_unknown_model_is_refused(self):
        self.node.targets.update(())
        refusal = await self.node.routing.acquire_slot(self.node.ask())
        self.assertEqual(refusal, NO_TARGET)


class CapacityTest(QueueCase):
    """Requests that are cancelled while they wait, and freed capacity."""

    async def test_slot_granted_to_a_cancelled_request_is_released(self):
        """A slot granted to a cancelled request is released.

        The request is cancelled after the grant and before its task runs. If
        the slot stayed taken, the target would look ever fuller until it got
        nothing.
        """
        slots = await self.fill()
        cancelled = (await self.queue('gone'))[0]
        await self.queue('next')
        self.node.end(slots[0])
        cancelled.cancel()
        await _settle()
        self.assertTrue(cancelled.cancelled())
        self.assertEqual([team for team, _slot in self.outcomes], ['next'])
        self.assertEqual(slots[0].state.slots_held, 2)

    async def test_cancelled_request_leaves_the_queue(self):
        slots = await self.fill()
        cancelled = (await self.queue('gone'))[0]
        cancelled.cancel()
        await _settle()
        admission = self.node.routing.admission
        pool_queue = admission.pool_queues[self.node.ask().pool]
        self.assertEqual((pool_queue.queue.waiting, pool_queue.grants), (0, {}))
        for slot in slots:
            self.node.end(slot)

    async def test_number_waiting_for_a_service(self):
        """The number of requests waiting for a service is available.

        Power management needs it: targets' own queues alone don't show that
        requests wait at the router, and hosts would stay off.
        """
        await self.fill()
        await self.queue('team', 3)
        waiting = self.node.routing.waiting_count
        self.assertEqual((waiting('llm'), waiting('desk')), (3, 0))

    async def test_new_target_serves_waiting_requests(self):
        """A target that is added serves waiting requests.

        If the queue were served only when a request ends, requests would wait
        although a new target has room.
        """
        await self.fill()
        await self.queue('team')
        self.node.targets.update(make_rows(2, concurrency=2))
        self.node.routing.tick()
        await _settle()
        self.assertIsInstance(self.outcomes[0][1], Slot)
