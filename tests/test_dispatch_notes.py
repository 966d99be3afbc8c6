"""Tests of what a key's home router knows of runs, and how surely."""

import unittest

import attrs

from balsamreach.dispatch.notes import Notes
from balsamreach.wire.runs import RunAsk, RunNote
from tests.fake_net import FakeNet
from tests.support import FakeClock

_NAMES = ('router-a', 'router-b', 'router-c')


class NotesTest(unittest.TestCase):
    """A home is sure only while it cannot have lost a note."""

    def setUp(self):
        self.fabric = FakeNet()
        self.clock = FakeClock()
        self.nets = [self.fabric.join(name) for name in _NAMES]
        self.notes = Notes(self.nets[0].me, 600, self.clock)
        self.see()

    def see(self):
        """Let the home look at the net."""
        net = self.nets[0]
        self.notes.see(net.members(), net.neighbours())

    def test_unsure_after_a_router_was_cut_off(self):
        self.fabric.cut(['router-a'], ['router-b'])
        self.see()
        self.fabric.heal()
        self.see()
        self.assertFalse(self.notes.sure)

    def test_sure_while_nobody_left(self):
        self.assertTrue(self.notes.sure)

    def test_unsure_after_a_router_died_until_its_notes_would_expire(self):
        self.fabric.kill('router-b')
        self.see()
        self.assertFalse(self.notes.sure)
        self.clock.advance(601)
        self.assertTrue(self.notes.sure)

    def test_unsure_after_a_router_that_came_and_went_unseen(self):
        """A request that ran is told "not run".

        Symptom: of two golden runs one said ``no``, the other ``unknown``.
        Sequence: a router joins, runs a request and dies between two looks
        at the members. Cause: only routers seen alive were missed.
        """
        net = self.nets[0]
        passer = attrs.evolve(self.nets[1].me, incarnation='unseen', dead=True)
        self.notes.see(net.members(), net.neighbours(), (passer,))
        self.assertFalse(self.notes.sure)

    def test_unsure_after_joining_routers_that_ran_before(self):
        late = attrs.evolve(self.nets[0].me, started=5000)
        notes = Notes(late, 600, self.clock)
        notes.see((late, self.nets[1].me), (self.nets[1].me,))
        self.assertFalse(notes.sure)

    def test_second_asker_is_told_of_the_first(self):
        ask = RunAsk('team', 'key', 'f')
        first = self.notes.register('router-b', ask)
        second = self.notes.register('router-c', ask)
        self.assertEqual(first.incarnation, '')
        self.assertEqual(second.incarnation, 'router-b')

    def test_refused_request_leaves_no_note(self):
        ask = RunAsk('team', 'key', 'f')
        self.notes.register('router-b', ask)
        self.notes.erase(RunNote('team', 'key', 'f'), 'router-b')
        self.assertEqual(self.notes.register('router-c', ask).incarnation, '')
