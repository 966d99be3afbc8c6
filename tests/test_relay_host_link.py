"""Tests of the estimated load on a host's link."""

import unittest

import attrs
from parameterized import parameterized

from balsamreach.relay.host_link import HostLink
from tests import relay_samples
from tests.relay_harness import RelayHarness
from tests.relay_samples import PLAIN
from tests.relay_scripts import answer
from tests.support import FakeClock

_MBIT = 10
_BYTES_A_SECOND = 1_250_000


class HostLinkTest(unittest.TestCase):
    """The backlog is estimated from the counted bytes."""

    @parameterized.expand(
        (
            ('idle', _MBIT, 0, 0, False),
            ('small backlog', _MBIT, 100_000, 0, False),
            ('large backlog', _MBIT, 110_000, 0, True),
            ('backlog has drained', _MBIT, 110_000, 0.05, False),
            ('fast link', 200, 110_000, 0, False),
            ('unknown', 0, 10**9, 0, False),
        ),
    )
    def test_is_full(self, _, mbit, size, seconds, expected):
        clock = FakeClock()
        link = HostLink(mbit, clock)
        link.add(size)
        clock.advance(seconds)
        self.assertEqual(link.is_full(), expected)


class RelayedBytesTest(unittest.TestCase):
    """Requests and responses are counted each time they cross the link."""

    def test_requests_and_responses_are_counted(self):
        harness = RelayHarness()
        harness.link.mbit = _MBIT
        body = b'a' * 30_000
        call = attrs.evolve(relay_samples.call(PLAIN), body=body)
        harness.run(call, answer(200, body))
        self.assertGreater(
            harness.link.backlog_seconds(), 4 * len(body) / _BYTES_A_SECOND
        )


if __name__ == '__main__':
    unittest.main()
