"""Tests of the bound on requests at targets that have backed off."""

import heapq
import itertools
import random
import unittest
from unittest import mock

import attrs
from parameterized import parameterized

from balsamreach.placement import notices, windows
from balsamreach.placement.notices import TargetNotice
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.placement.restrictions import Window
from tests import relay_samples
from tests.relay_harness import RelayHarness
from tests.relay_samples import DESK, PLAIN, entry
from tests.support import FakeClock

_ROUTERS = 3
_TARGETS = 4
_SLOTS = 8
_SERVICE_TIME_S = 0.4
_BACK_OFF_S = 3
_DURATION_S = 120


class WindowTest(unittest.TestCase):
    """How far a window narrows, and how it widens."""

    @parameterized.expand(
        (
            # Requests in progress, their peak, limit, fast limit.
            ('rejects_for_load', 9, 9, 6, 6),
            ('rejects_for_other_reason', 3, 9, 1.5, 4.5),
            ('single_request', 1, 1, 1, 1),
        )
    )
    def test_narrow(self, _, running, peak, limit, fast_until):
        place = RelayTarget(
            entry('one', DESK), running=running, peak_running=peak
        )
        window = windows.narrow(place, None, 3, 100)
        self.assertEqual(window.limit, limit)
        self.assertEqual(window.fast_until, fast_until)

    def test_target_that_rejected_everything(self):
        """A target that takes requests again is soon in full use."""
        place = RelayTarget(entry('one', DESK), running=9, peak_running=20)
        window = windows.narrow(place, None, 3, 100)
        place.running = 1
        for now in (103, 106):
            window = windows.narrow(place, window, 3, now)
        self.assertEqual(window.limit, 1)
        for _ in range(9):
            window = windows.widen(window, 109)
        self.assertEqual(window.limit, 10)

    def test_widen(self):
        window = Window(limit=1, fast_until=3, step=30, widened_at=100)
        limits = []
        for now in (101, 102, 117, 132):
            window = windows.widen(window, now)
            limits.append(window.limit)
        self.assertEqual(limits, [2, 3, 3.5, 4])

    def test_request_beyond_window(self):
        """A target that has backed off gets fewer requests than before."""
        harness = RelayHarness()
        first, other = harness.chooser.places.of_service(DESK)
        call = relay_samples.call(PLAIN, seconds=60)
        for place in (first, other):
            for _ in range(4):
                harness.chooser.begin(call, place)
            notice = TargetNotice(retry_after=3)
            harness.parts.attempt_parts.notices.apply(place, notice)
        harness.clock.advance(3)
        caller_response = harness.run(call)
        self.assertEqual(caller_response.status, 503)
        self.assertIn(b'targets_full', caller_response.body)
        first.running = 2
        self.assertIs(harness.chooser.choose(call, set()), first)


@attrs.define
class _Target:
    running: int = 0


class _OverloadedFleet:
    """Routers that send to targets which reject what exceeds their slots."""

    def __init__(self, seed, load):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.rate = load * _TARGETS * _SLOTS / _SERVICE_TIME_S
        self.routers = [self._make_router() for _ in range(_ROUTERS)]
        names = [f'target-{number}' for number in range(_TARGETS)]
        self.targets = {name: _Target() for name in names}
        self.pending = []
        self.order = itertools.count()
        self.sent = 0
        self.served = 0

    def run(self):
        """Return the share of the requests that was served."""
        started = self.clock.now()
        while self.clock.now() < started + _DURATION_S:
            pause = self.rng.expovariate(self.rate)
            self._run_until(self.clock.now() + pause)
            self._send(self.rng.choice(self.routers))
        return self.served / self.sent

    def _make_router(self):
        harness = RelayHarness(clock=self.clock)
        places = harness.chooser.places
        for place in tuple(places):
            places.remove(place.entry.target_id)
        for number in range(_TARGETS):
            places.put(entry(f'target-{number}', DESK, slots=_SLOTS))
        return harness

    def _run_until(self, time):
        while self.pending and self.pending[0][0] <= time:
            at, _order, target, in_flight = heapq.heappop(self.pending)
            self.clock.advance(at - self.clock.now())
            target.running -= 1
            in_flight.end()
        self.clock.advance(time - self.clock.now())

    def _send(self, router):
        self.sent += 1
        call = relay_samples.call(PLAIN, seconds=10 * _DURATION_S)
        place = router.chooser.choose(call, set())
        if place is None:
            return
        target = self.targets[place.entry.target_id]
        in_flight = router.chooser.begin(call, place)
        target_notices = router.parts.attempt_parts.notices
        if target.running >= _SLOTS:
            target_notices.apply(place, TargetNotice(retry_after=_BACK_OFF_S))
            in_flight.end()
            return
        target_notices.record_accepted(place)
        target.running += 1
        self.served += 1
        at = self.clock.now() + _SERVICE_TIME_S
        end = (at, next(self.order), target, in_flight)
        heapq.heappush(self.pending, end)


class OverloadTest(unittest.TestCase):
    """Back-offs must not circulate among targets that could take the load."""

    @parameterized.expand(
        [(seed, load) for seed in (1, 2, 3) for load in (0.7, 0.9, 1.2)]
    )
    def test_windows_serve_more_requests(self, seed, load):
        """Without windows, requests are refused while capacity is idle."""
        with_windows = _OverloadedFleet(seed, load).run()
        with mock.patch.object(notices, 'narrow', return_value=None):
            without = _OverloadedFleet(seed, load).run()
        self.assertGreater(with_windows, without)
