"""Tests of what bounds requests at targets that have backed off."""

import heapq
import itertools
import random
import unittest
from unittest import mock

import attrs
from parameterized import parameterized

from balsamreach.placement import notices, windows
from balsamreach.placement.notices import TargetNotice
from balsamreach.placement.places import Place
from balsamreach.placement.standings import Window
from tests import relay_samples
from tests.relay_samples import DESK, PLAIN, entry
from tests.relay_world import RelayWorld
from tests.support import FakeClock

_ROUTERS = 3
_TARGETS = 4
_SLOTS = 8
_WORK_S = 0.4
_BACK_OFF_S = 3
_SECONDS = 120


class WindowTest(unittest.TestCase):
    """How far a window is shut, and how it opens."""

    @parameterized.expand(
        (
            # Requests in progress, the most of late, limit, fast part.
            ('of_its_load', 9, 9, 6, 6),
            ('of_another_reason', 3, 9, 1.5, 4.5),
            ('alone', 1, 1, 1, 1),
        )
    )
    def test_narrow(self, _, running, most, limit, fast_until):
        place = Place(entry('one', DESK), running=running, most_running=most)
        window = windows.narrow(place, None, 3, 100)
        self.assertEqual(window.limit, limit)
        self.assertEqual(window.fast_until, fast_until)

    def test_target_that_rejected_everything_for_a_while(self):
        """A target stayed almost unused once it took requests again."""
        place = Place(entry('one', DESK), running=9, most_running=20)
        window = windows.narrow(place, None, 3, 100)
        place.running = 1
        for now in (103, 106):
            window = windows.narrow(place, window, 3, now)
        self.assertEqual(window.limit, 1)
        for _ in range(9):
            window = windows.widen(window, 109)
        self.assertEqual(window.limit, 10)

    def test_widen(self):
        window = Window(limit=1, fast_until=3, step=30, opened_at=100)
        limits = []
        for now in (101, 102, 117, 132):
            window = windows.widen(window, now)
            limits.append(window.limit)
        self.assertEqual(limits, [2, 3, 3.5, 4])

    def test_request_over_the_window(self):
        """A target that had backed off got as many requests as before."""
        world = RelayWorld()
        first, other = world.chooser.places.of(DESK)
        call = relay_samples.call(PLAIN, seconds=60)
        for place in (first, other):
            for _ in range(4):
                world.chooser.begin(call, place)
            notice = TargetNotice(retry_after=3)
            world.parts.tries.notices.take(place, notice)
        world.clock.advance(3)
        outlet = world.run(call)
        self.assertEqual(outlet.status, 503)
        self.assertIn(b'targets_full', outlet.body)
        first.running = 2
        self.assertIs(world.chooser.choose(call, set()), first)


@attrs.define
class _Target:
    running: int = 0


class _Overload:
    """Routers before targets that reject what is over their slots."""

    def __init__(self, seed, load):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.rate = load * _TARGETS * _SLOTS / _WORK_S
        self.routers = [self._make_router() for _ in range(_ROUTERS)]
        names = [f'target-{number}' for number in range(_TARGETS)]
        self.targets = {name: _Target() for name in names}
        self.ends = []
        self.order = itertools.count()
        self.sent = 0
        self.served = 0

    def run(self):
        """Return the part of the requests that was served."""
        began = self.clock.now()
        while self.clock.now() < began + _SECONDS:
            pause = self.rng.expovariate(self.rate)
            self._end_until(self.clock.now() + pause)
            self._send(self.rng.choice(self.routers))
        return self.served / self.sent

    def _make_router(self):
        world = RelayWorld(clock=self.clock)
        places = world.chooser.places
        for place in tuple(places):
            places.remove(place.entry.target_id)
        for number in range(_TARGETS):
            places.put(entry(f'target-{number}', DESK, slots=_SLOTS))
        return world

    def _end_until(self, moment):
        while self.ends and self.ends[0][0] <= moment:
            at, _order, target, in_flight = heapq.heappop(self.ends)
            self.clock.advance(at - self.clock.now())
            target.running -= 1
            in_flight.end()
        self.clock.advance(moment - self.clock.now())

    def _send(self, router):
        self.sent += 1
        call = relay_samples.call(PLAIN, seconds=10 * _SECONDS)
        place = router.chooser.choose(call, set())
        if place is None:
            return
        target = self.targets[place.entry.target_id]
        in_flight = router.chooser.begin(call, place)
        heeded = router.parts.tries.notices
        if target.running >= _SLOTS:
            heeded.take(place, TargetNotice(retry_after=_BACK_OFF_S))
            in_flight.end()
            return
        heeded.accepted(place)
        target.running += 1
        self.served += 1
        at = self.clock.now() + _WORK_S
        end = (at, next(self.order), target, in_flight)
        heapq.heappush(self.ends, end)


class OverloadTest(unittest.TestCase):
    """Back-offs must not go round among targets that could bear the load."""

    @parameterized.expand(
        [(seed, load) for seed in (1, 2, 3) for load in (0.7, 0.9, 1.2)]
    )
    def test_most_targets_back_off(self, seed, load):
        """Requests were refused while most capacity was idle."""
        with_windows = _Overload(seed, load).run()
        with mock.patch.object(notices, 'narrow', return_value=None):
            without = _Overload(seed, load).run()
        self.assertGreater(with_windows, without)
