"""Tests of queues: fair turns, bounds, deadlines and callers that leave."""

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
    """Let all tasks run until they wait for something else."""
    for _ in range(8):
        await asyncio.sleep(0)


class QueueCase(unittest.IsolatedAsyncioTestCase):
    """One target with two slots."""

    def setUp(self):
        self.node = Node(
            make_rows(1, concurrency=2),
            options=('routing.queue_limit=8',),
        )
        self.done = []

    async def fill(self):
        """Take both slots."""
        return [await self.node.send(fingerprint=f'f{n}') for n in range(2)]

    async def queue(self, team, count=1, **fields):
        """Let requests of a team wait."""
        tasks = [
            asyncio.create_task(self._enter(team, fields)) for _ in range(count)
        ]
        await _settle()
        return tasks

    async def serve(self, slots, turns):
        """End requests one by one; return the teams served, in order."""
        served = []
        for _ in range(turns):
            self.node.end(slots.pop(0))
            await _settle()
            team, slot = self.done.pop(0)
            served.append(team)
            slots.append(slot)
        return served

    async def _enter(self, team, fields):
        ask = self.node.ask(team, team, **fields)
        outcome = await self.node.routing.enter(ask)
        self.done.append((team, outcome))
        return outcome


class FairTest(QueueCase):
    """Turns by teams' weights."""

    async def test_quiet_team_does_not_wait_behind_a_flood(self):
        """A flood delays the team that floods.

        Symptom: all teams' latency grows when one sends too much.
        Sequence: seven requests of one team wait as one of another comes.
        Cause: one queue in order of arrival.
        """
        slots = await self.fill()
        await self.queue('flood', 7)
        await self.queue('quiet', 1)
        served = await self.serve(slots, 3)
        self.assertIn('quiet', served[:2])

    async def test_turns_follow_the_weights(self):
        slots = await self.fill()
        await self.queue('light', 4, weight=1)
        await self.queue('heavy', 4, weight=3)
        served = Counter(await self.serve(slots, 4))
        self.assertEqual(served, {'heavy': 3, 'light': 1})

    async def test_idle_team_saves_up_no_turns(self):
        slots = await self.fill()
        await self.queue('busy', 7)
        await self.serve(slots, 3)
        await self.queue('late', 4)
        served = Counter(await self.serve(slots, 4))
        self.assertEqual(served, {'busy': 2, 'late': 2})

    async def test_full_queue_gives_way_to_a_team_with_less_waiting(self):
        """The team that fills the queue is the one that is refused.

        Symptom: a team with one request is told that the queue is full.
        Sequence: another team's requests fill the queue.
        Cause: whoever comes last is refused, whatever waits already.
        """
        await self.fill()
        await self.queue('flood', 8)
        await self.queue('quiet', 1)
        self.assertEqual(self.done, [('flood', QUEUE_FULL)])
        await self.queue('flood', 1)
        self.assertEqual(self.done[1:], [('flood', QUEUE_FULL)])


class DeadlineTest(QueueCase):
    """Refusals come early and say when to come back."""

    async def teach_rate(self):
        """Let the pool learn that a request takes a second."""
        for _ in range(4):
            slot = await self.node.send()
            self.node.clock.advance(1)
            self.node.end(slot)

    async def test_hopeless_request_is_refused_at_once(self):
        """Nobody waits for an answer that cannot come in time.

        Symptom: callers wait until their deadline and are refused then.
        Sequence: a request with two seconds left meets a queue of four.
        Cause: the queue is joined without a look at how fast it moves.
        """
        await self.teach_rate()
        await self.fill()
        await self.queue('team', 4)
        deadline = self.node.clock.now() + 2
        await self.queue('team', 1, deadline=deadline)
        refusal = self.done[0][1]
        self.assertEqual(refusal, DEADLINE_UNMEETABLE)
        self.assertAlmostEqual(refusal.retry_after, 4 / 2)

    async def test_request_whose_time_has_passed_gets_no_slot(self):
        """A slot is not spent on an answer that comes too late.

        Symptom: under overload targets are busy, yet few answers count.
        Sequence: a request's turn comes when half a second is left.
        Cause: turns were given without regard to the deadline.
        """
        await self.teach_rate()
        slots = await self.fill()
        deadline = self.node.clock.now() + 3
        await self.queue('late', 1, deadline=deadline)
        await self.queue('team', 1)
        self.node.clock.advance(2.5)
        self.node.end(slots[0])
        await _settle()
        self.assertEqual(self.done[0], ('late', DEADLINE_UNMEETABLE))
        self.assertIsInstance(self.done[1][1], Slot)

    async def test_requests_wait_for_a_target_that_backs_off(self):
        """Requests stayed in the queue of a target that takes none."""
        slots = await self.fill()
        await self.queue('team', 3)
        target = next(iter(self.node.targets.by_name.values()))
        target.retry_at = self.node.clock.now() + 5
        self.node.end(slots[0])
        await _settle()
        waits = [outcome.retry_after for _team, outcome in self.done]
        self.assertEqual(waits, [5, 5, 5])
        self.assertEqual(self.done[0][1], TARGETS_BACK_OFF)

    async def test_return_is_that_of_the_first_target(self):
        self.node = Node(make_rows(3))
        now = self.node.clock.now()
        targets = list(self.node.targets.by_name.values())
        for target, seconds in zip(targets, (9, 4, 1), strict=True):
            target.retry_at = now + seconds
        targets[2].mark_leaving('start')
        refusal = await self.node.routing.enter(self.node.ask())
        self.assertEqual(refusal, TARGETS_BACK_OFF)
        self.assertEqual(refusal.retry_after, 4)
        self.node.clock.advance(4)
        slot = await self.node.routing.enter(self.node.ask())
        self.assertIs(slot.target, targets[1])

    async def test_own_zone_leaves_and_the_other_backs_off(self):
        """A request was queued though no target of any zone takes it."""
        away = make_rows(2, zone='zone-b')
        self.node = Node([*make_rows(2), *away])
        now = self.node.clock.now()
        for target in self.node.targets.by_name.values():
            if target.row.zone == 'zone-a':
                target.mark_leaving('start')
            else:
                target.retry_at = now + 4
        refusal = await self.node.routing.enter(self.node.ask())
        self.assertEqual(refusal, TARGETS_BACK_OFF)
        self.assertEqual(refusal.retry_after, 4)

    async def test_unknown_model_is_refused(self):
        self.node.targets.update(())
        refusal = await self.node.routing.enter(self.node.ask())
        self.assertEqual(refusal, NO_TARGET)


class LeaveTest(QueueCase):
    """Callers that go away while they wait."""

    async def test_slot_granted_to_a_caller_that_left_is_given_on(self):
        """A cancelled request keeps no slot.

        Symptom: a target seems ever fuller until it gets nothing more.
        Sequence: a slot is granted and, before the waiting task runs, its
        caller goes away.
        Cause: nobody gives the slot back.
        """
        slots = await self.fill()
        gone = (await self.queue('gone'))[0]
        await self.queue('next')
        self.node.end(slots[0])
        gone.cancel()
        await _settle()
        self.assertTrue(gone.cancelled())
        self.assertEqual([team for team, _slot in self.done], ['next'])
        self.assertEqual(slots[0].state.held, 2)

    async def test_waiting_request_that_leaves_keeps_no_place(self):
        slots = await self.fill()
        gone = (await self.queue('gone'))[0]
        gone.cancel()
        await _settle()
        admission = self.node.routing.admission
        line = admission.lines[self.node.ask().pool]
        self.assertEqual((line.queue.waiting, line.grants), (0, {}))
        for slot in slots:
            self.node.end(slot)

    async def test_power_learns_how_many_wait_for_a_service(self):
        """Hosts that are off stay off while requests wait.

        Symptom: a full service keeps its number of hosts.
        Sequence: its targets are full, and requests wait at the router.
        Cause: power sees the targets' own queues alone.
        """
        await self.fill()
        await self.queue('team', 3)
        waiting = self.node.routing.waiting
        self.assertEqual((waiting('llm'), waiting('desk')), (3, 0))

    async def test_new_target_serves_those_who_wait(self):
        """Room that no request's end announces is used.

        Symptom: requests wait although a target was added.
        Sequence: the queue is full of work, a row is added.
        Cause: the queue moved only when a request ended.
        """
        await self.fill()
        await self.queue('team')
        self.node.targets.update(make_rows(2, concurrency=2))
        self.node.routing.tick()
        await _settle()
        self.assertIsInstance(self.done[0][1], Slot)
