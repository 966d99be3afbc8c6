"""Tests of marks, reports and weights of single targets."""

import unittest

import attrs
from parameterized import parameterized

from balsamreach.table.rows import TargetRow
from balsamreach.targets.holds import LEAVING, OFF, STARTING, STOPPING, Hold
from balsamreach.targets.registry import Target, Targets
from balsamreach.targets.reports import LoadReport

_ROW = TargetRow(
    name='engine-0',
    address='127.0.0.1:9000',
    zone='zone-a',
    service='llm',
)


def _report(start, taken_at, **more):
    return LoadReport(incarnation=start, taken_at=taken_at, **more)


class LeavingTest(unittest.TestCase):
    """A mark holds for one start, and for good."""

    def test_late_report_of_the_earlier_start_does_not_bring_it_back(self):
        """A host stays unused after its restart.

        Symptom: a host that was restarted gets no work.
        Sequence: start a leaves; start b reports; a report of a, held up on
        its way and seemingly newer, arrives.
        Cause: without a memory of past starts the newest report wins.
        """
        target = Target(_ROW)
        target.take_report(_report('a', 10, leaving=True), 10)
        self.assertTrue(target.leaving)
        self.assertTrue(target.take_report(_report('b', 20), 20))
        self.assertFalse(target.leaving)
        late = _report('a', 30, leaving=True)
        self.assertFalse(target.take_report(late, 30))
        self.assertFalse(target.mark_leaving('a'))
        self.assertFalse(target.leaving)

    @parameterized.expand((('first', ''), ('same', 'a'), ('later', 'b')))
    def test_back_off_of_a_start(self, name, start):
        """A restarted target was left alone for what it had asked before."""
        target = Target(_ROW)
        if start:
            target.take_report(_report('a', 10), 10)
        target.retry_at = 99
        target.take_report(_report(start or 'a', 20), 20)
        self.assertEqual(target.retry_at, 0 if name == 'later' else 99)

    def test_a_mark_is_not_undone_by_a_report_without_it(self):
        """A leaving host gets new work again.

        Symptom: requests reach a host that is about to be switched off.
        Sequence: the host list marks start a; a's own report does not yet
        say so.
        Cause: the sources lag behind each other; a mark is one way.
        """
        target = Target(_ROW)
        target.take_report(_report('a', 10), 10)
        target.mark_leaving('a')
        target.take_report(_report('a', 11), 11)
        target.take_report(_report('a', 12, leaving=True), 12)
        target.take_report(_report('a', 13), 13)
        self.assertTrue(target.leaving)

    def test_marks_without_a_report_keep_work_away(self):
        target = Target(_ROW)
        target.mark_leaving('a')
        self.assertTrue(target.leaving)
        target.take_report(_report('b', 5), 5)
        self.assertFalse(target.leaving)

    @parameterized.expand(
        (
            ('off', Hold(OFF, 'a'), 'b', True),
            ('stopping', Hold(STOPPING, 'a'), 'b', True),
            ('old start', Hold(STARTING, 'a'), 'a', True),
            ('no start', Hold(STARTING, 'a'), '', True),
            ('new start', Hold(STARTING, 'a'), 'b', False),
            ('not loaded', Hold(STARTING, 'a', ('model-b',)), 'b', True),
            ('other start', Hold(LEAVING, 'a'), 'b', False),
        )
    )
    def test_hold(self, _name, hold, start, leaving):
        target = Target(_ROW, hold=hold)
        target.take_report(_report(start, 1, models=('model-a',)), 1)
        self.assertEqual(target.leaving, leaving)

    def test_rewritten_row_keeps_marks_and_counts(self):
        """A request is cut although its host was found idle.

        Symptom: a host is switched off under a running request.
        Sequence: a request runs; the operators delete the target's row and
        write it again; the new entry counts no requests and has no marks.
        Cause: the count lived in the entry that was thrown away.
        """
        targets = Targets()
        targets.update([_ROW])
        old = targets.by_name['engine-0']
        old.in_flight = 1
        old.mark_leaving('a')
        targets.update([])
        targets.update([_ROW])
        new = targets.by_name['engine-0']
        self.assertIsNot(new, old)
        self.assertIn('a', new.left)
        self.assertEqual(targets.in_flight_at(_ROW.address), 1)
        moved = attrs.evolve(_ROW, address='127.0.0.1:9001')
        targets.update([moved])
        self.assertEqual(targets.by_name['engine-0'].left, set())


class WeightTest(unittest.TestCase):
    """A new start's share grows; the first report leaves it whole."""

    def test_weight(self):
        target = Target(attrs.evolve(_ROW, weight=2), warm_time=10)
        target.take_report(_report('a', 0), 0)
        self.assertEqual(target.effective_weight(0), 2)
        target.take_report(_report('b', 100), 100)
        grown = [target.effective_weight(100 + age) for age in (0, 5, 10, 20)]
        self.assertEqual(grown, [0.2, 1, 2, 2])
