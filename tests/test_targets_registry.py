"""Tests of marks, reports and weights of single targets."""

import unittest

import attrs
from parameterized import parameterized

from balsamreach.table.rows import TargetRow
from balsamreach.targets.power_holds import (
    LEAVING,
    OFF,
    STARTING,
    STOPPING,
    PowerHold,
)
from balsamreach.targets.registry import Target, Targets
from balsamreach.targets.reports import LoadReport

_ROW = TargetRow(
    name='engine-0',
    address='127.0.0.1:9000',
    zone='zone-a',
    service='llm',
)


def _report(start, taken_at, **more):
    return LoadReport(incarnation=start, valid_at=taken_at, **more)


class LeavingTest(unittest.TestCase):
    """A mark is permanent, and applies to one incarnation."""

    def test_late_report_of_earlier_incarnation_is_ignored(self):
        """A restarted host is used again.

        Incarnation a leaves; incarnation b reports; a delayed report of a
        arrives and looks newer. If past incarnations were not remembered, it
        would replace the report of b.
        """
        target = Target(_ROW)
        target.apply_report(_report('a', 10, leaving=True), 10)
        self.assertTrue(target.leaving)
        self.assertTrue(target.apply_report(_report('b', 20), 20))
        self.assertFalse(target.leaving)
        late = _report('a', 30, leaving=True)
        self.assertFalse(target.apply_report(late, 30))
        self.assertFalse(target.mark_leaving('a'))
        self.assertFalse(target.leaving)

    @parameterized.expand((('first', ''), ('same', 'a'), ('later', 'b')))
    def test_back_off_of_incarnation(self, name, start):
        """The back-off of the earlier incarnation ends with a restart."""
        target = Target(_ROW)
        if start:
            target.apply_report(_report('a', 10), 10)
        target.retry_at = 99
        target.apply_report(_report(start or 'a', 20), 20)
        self.assertEqual(target.retry_at, 0 if name == 'later' else 99)

    def test_report_does_not_undo_mark(self):
        """A leaving host gets no new requests before it is switched off.

        The host list marks incarnation a, whose own report doesn't show its
        leaving yet. Each source may be outdated, so a mark is permanent.
        """
        target = Target(_ROW)
        target.apply_report(_report('a', 10), 10)
        target.mark_leaving('a')
        target.apply_report(_report('a', 11), 11)
        target.apply_report(_report('a', 12, leaving=True), 12)
        target.apply_report(_report('a', 13), 13)
        self.assertTrue(target.leaving)

    def test_mark_without_report(self):
        target = Target(_ROW)
        target.mark_leaving('a')
        self.assertTrue(target.leaving)
        target.apply_report(_report('b', 5), 5)
        self.assertFalse(target.leaving)

    @parameterized.expand(
        (
            ('off', PowerHold(OFF, 'a'), 'b', True),
            ('stopping', PowerHold(STOPPING, 'a'), 'b', True),
            ('old incarnation', PowerHold(STARTING, 'a'), 'a', True),
            ('no incarnation', PowerHold(STARTING, 'a'), '', True),
            ('new incarnation', PowerHold(STARTING, 'a'), 'b', False),
            ('not loaded', PowerHold(STARTING, 'a', ('model-b',)), 'b', True),
            ('other incarnation', PowerHold(LEAVING, 'a'), 'b', False),
        )
    )
    def test_hold(self, _name, hold, start, leaving):
        target = Target(_ROW, hold=hold)
        target.apply_report(_report(start, 1, models=('model-a',)), 1)
        self.assertEqual(target.leaving, leaving)

    def test_rewritten_row_keeps_marks_and_counts(self):
        """A host isn't switched off under a running request.

        A request runs; the operators delete the target's row and write it
        again. The new target has no count and no marks of its own, so those
        of the old one must still count.
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
        self.assertIn('a', new.leaving_incarnations)
        self.assertEqual(targets.in_flight_at(_ROW.address), 1)
        moved = attrs.evolve(_ROW, address='127.0.0.1:9001')
        targets.update([moved])
        self.assertEqual(
            targets.by_name['engine-0'].leaving_incarnations, set()
        )


class WeightTest(unittest.TestCase):
    """A new incarnation warms up; the first report has full weight."""

    def test_weight(self):
        target = Target(attrs.evolve(_ROW, weight=2), warm_time=10)
        target.apply_report(_report('a', 0), 0)
        self.assertEqual(target.effective_weight(0), 2)
        target.apply_report(_report('b', 100), 100)
        grown = [target.effective_weight(100 + age) for age in (0, 5, 10, 20)]
        self.assertEqual(grown, [0.2, 1, 2, 2])
