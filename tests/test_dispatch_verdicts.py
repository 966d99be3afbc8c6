"""Tests of what the end of an exchange tells about its target."""

import unittest

from parameterized import parameterized

from balsamreach.dispatch import upstream
from balsamreach.dispatch.verdicts import routing_verdict
from balsamreach.routing.slot import Verdict


class RoutingVerdictTest(unittest.TestCase):
    """Verdicts on targets."""

    @parameterized.expand(
        (
            (upstream.NO_MEMORY, Verdict.ABANDONED),
            (upstream.REJECTED, Verdict.FAILED),
            (upstream.BROKEN, Verdict.BROKEN),
        )
    )
    def test_verdict(self, outcome, verdict):
        """Guards against suspending targets as this router lacks memory."""
        self.assertEqual(routing_verdict(None, None, outcome), verdict)


if __name__ == '__main__':
    unittest.main()
