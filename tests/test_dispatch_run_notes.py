"""Tests of a home router's notes on runs, and their completeness."""

import unittest

import attrs

from balsamreach.dispatch.run_notes import RunNotes
from balsamreach.wire.runs import RunAsk, RunNote
from tests.fake_net import FakeNet
from tests.support import FakeClock

_NAMES = ('router-a', 'router-b', 'router-c')


class NotesTest(unittest.TestCase):
    """Notes count as complete only while none can have been lost."""

    def setUp(self):
        self.fabric = FakeNet()
        self.clock = FakeClock()
        self.nets = [self.fabric.join(name) for name in _NAMES]
        self.notes = RunNotes(self.nets[0].me, 600, self.clock)
        self.update_members()

    def update_members(self):
        """Update the home router's members from the net."""
        net = self.nets[0]
        self.notes.update_members(net.members(), net.neighbours())

    def test_incomplete_after_a_router_was_disconnected(self):
        self.fabric.cut(['router-a'], ['router-b'])
        self.update_members()
        self.fabric.heal()
        self.update_members()
        self.assertFalse(self.notes.is_complete)

    def test_complete_while_no_router_left(self):
        self.assertTrue(self.notes.is_complete)

    def test_incomplete_after_a_death_until_the_notes_would_expire(self):
        self.fabric.kill('router-b')
        self.update_members()
        self.assertFalse(self.notes.is_complete)
        self.clock.advance(601)
        self.assertTrue(self.notes.is_complete)

    def test_incomplete_after_a_router_joined_and_died_unseen(self):
        """Guards against "not run" for a request that ran.

        A router joins, runs a request and dies between two updates of the
        members, so it was never listed as alive.
        """
        net = self.nets[0]
        unseen = attrs.evolve(self.nets[1].me, incarnation='unseen', dead=True)
        self.notes.update_members(net.members(), net.neighbours(), (unseen,))
        self.assertFalse(self.notes.is_complete)

    def test_incomplete_after_joining_a_running_fleet(self):
        late = attrs.evolve(self.nets[0].me, started=5000)
        notes = RunNotes(late, 600, self.clock)
        notes.update_members((late, self.nets[1].me), (self.nets[1].me,))
        self.assertFalse(notes.is_complete)

    def test_second_asker_is_told_of_the_first(self):
        ask = RunAsk('team', 'key', 'f')
        first = self.notes.register('router-b', ask)
        second = self.notes.register('router-c', ask)
        self.assertEqual(first.incarnation, '')
        self.assertEqual(second.incarnation, 'router-b')

    def test_refused_request_leaves_no_note(self):
        ask = RunAsk('team', 'key', 'f')
        self.notes.register('router-b', ask)
        self.notes.remove(RunNote('team', 'key', 'f'), 'router-b')
        self.assertEqual(self.notes.register('router-c', ask).incarnation, '')
