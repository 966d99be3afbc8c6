"""Test of the last check of a target before a request is sent to it."""

import unittest
from unittest import mock

from balsamreach.dispatch import faults
from balsamreach.dispatch.attempt_sender import AttemptSender
from balsamreach.dispatch.upstream import Attempt
from balsamreach.routing.slot import Slot, Verdict
from balsamreach.table.rows import TargetRow
from balsamreach.targets.registry import Target
from balsamreach.targets.reports import LoadReport


class LastCheckTest(unittest.IsolatedAsyncioTestCase):
    """A request isn't sent if its target began to leave while it waited."""

    async def test_target_leaves_while_claim_is_recorded(self):
        """A request isn't cut off by the power-off of its host.

        A slot is granted, and recording the claim takes seconds. Meanwhile
        the target is marked, and this router reports that it has no requests
        there, since only requests already sent are counted. The request must
        not be sent once the claim is recorded.
        """
        row = TargetRow(name='t', address='127.0.0.1:1', zone='z', service='s')
        target = Target(row, report=LoadReport(incarnation='a'))
        attempts = AttemptSender(mock.Mock(), mock.Mock(), mock.Mock())
        slot = Slot(mock.Mock(target=target), mock.Mock(), mock.Mock(), 0)
        target.mark_leaving('a')
        outcome = await attempts.send(
            Attempt('attempt', mock.Mock(), target), mock.Mock(), slot
        )
        self.assertEqual(outcome, faults.OVERLOADED)
        self.assertEqual(outcome.ran, faults.NOT_RUN)
        self.assertEqual(slot.verdict, Verdict.UNUSED)
        attempts.upstream.send.assert_not_called()
