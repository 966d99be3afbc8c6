"""Test of the last look at a target before a request is sent to it."""

import unittest
from unittest import mock

from balsamreach.dispatch import faults
from balsamreach.dispatch.attempts import Attempts
from balsamreach.dispatch.upstream import Attempt
from balsamreach.routing.slot import Slot, Verdict
from balsamreach.table.rows import TargetRow
from balsamreach.targets.registry import Target
from balsamreach.targets.reports import LoadReport


class LastLookTest(unittest.IsolatedAsyncioTestCase):
    """A request whose target began to leave while it waited is not sent."""

    async def test_target_that_left_while_a_claim_was_recorded(self):
        """A request is cut by a switch-off although routers were idle.

        Symptom: a request ends broken as its host goes off.
        Sequence: a slot is granted; the claim takes seconds; the target is
        marked; this router answers that nothing runs there; the claim is
        recorded and the request sent.
        Cause: only requests already sent are counted.
        """
        row = TargetRow(name='t', address='127.0.0.1:1', zone='z', service='s')
        target = Target(row, report=LoadReport(incarnation='a'))
        attempts = Attempts(mock.Mock(), mock.Mock(), mock.Mock())
        slot = Slot(mock.Mock(target=target), mock.Mock(), mock.Mock(), 0)
        target.mark_leaving('a')
        outcome = await attempts.send(
            Attempt('attempt', mock.Mock(), target), mock.Mock(), slot
        )
        self.assertEqual(outcome, faults.OVERLOADED)
        self.assertEqual(outcome.ran, faults.NOT_RUN)
        self.assertEqual(slot.verdict, Verdict.UNUSED)
        attempts.upstream.send.assert_not_called()
