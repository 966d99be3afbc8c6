"""Tests of which attempts give samples of an engine's speed."""

import unittest

import attrs
from parameterized import parameterized

from balsamreach.placement.prompts import Part, Prompt
from balsamreach.relay.call import RelayCall
from tests.relay_harness import RelayHarness
from tests.relay_samples import PLAIN, STREAM, call, event
from tests.relay_scripts import Script, answer
from tests.support import FakeClock

_OK = answer(200, event(0), event(1))
_SHED = answer(503, not_executed='1')
_FAILED = answer(500)
_PROMPT = Prompt(
    model='m',
    tokens=9000,
    max_output_tokens=50,
    parts=(Part('a', 8000), Part('own', 1000)),
)

_OWN = attrs.evolve(_PROMPT, parts=(Part('own', 9000),))


@attrs.frozen
class _Delayed:
    """A target that responds after some time."""

    clock: FakeClock
    seconds: float
    script: Script

    def __call__(self, outgoing, intake):
        """Let time pass, then respond."""
        self.clock.advance(self.seconds)
        return self.script(outgoing, intake)


def _call(route=STREAM, **fields) -> RelayCall:
    return attrs.evolve(call(route), **fields)


class SpeedSamplesTest(unittest.TestCase):
    """Only successful streams with long prompts count, from their sending."""

    def setUp(self):
        self.harness = RelayHarness()
        engines = self.harness.chooser.engines
        engines.shares_speeds = lambda: True
        self.speeds = engines.costs.speeds

    def after(self, seconds, script):
        return _Delayed(self.harness.clock, seconds, script)

    def samples(self):
        gathered = self.speeds.take_gathered(9)
        return [(round(one.speed), round(one.tokens)) for one in gathered]

    def test_time_of_earlier_attempt_is_left_out(self):
        """The first engine rejects the request after 400 ms.

        Counted at the second engine, that time would make it look five times
        slower than it is.
        """
        first, second = self.after(0.4, _SHED), self.after(0.13, _OK)
        self.harness.run(_call(prompt=_OWN), first, second)
        self.assertEqual(self.samples(), [(90, 9000)])

    def test_queue_is_counted(self):
        for place in self.harness.chooser.places:
            place.others_unread = 3000
        self.harness.run(_call(prompt=_OWN), self.after(0.15, _OK))
        self.assertEqual(self.samples(), [(100, 12_000)])

    @parameterized.expand(
        (
            ('failed', STREAM, _PROMPT, _FAILED),
            ('rejected', STREAM, _PROMPT, _SHED),
            ('short', STREAM, None, _OK),
            ('not a stream', PLAIN, _PROMPT, answer(200, b'done')),
        )
    )
    def test_no_sample(self, _, route, prompt, script):
        """Guards against speeds learned from failures and short prompts."""
        request = _call(route, prompt=prompt or _call().prompt)
        scripts = (self.after(0.1, script), self.after(0.1, script))
        self.harness.run(request, *scripts)
        self.assertEqual(self.samples(), [])

    def test_saturated_link_gives_no_sample(self):
        """A host whose link is saturated would make engines look slow."""
        attempts = self.harness.parts.attempt_parts
        attempts.classifier.link_delayed = lambda: True
        self.harness.run(_call(prompt=_OWN), self.after(0.9, _OK))
        self.assertEqual(self.samples(), [])

    def test_cached_prompt_gives_no_sample(self):
        """An engine that caches nearly all of a prompt isn't a fast one."""
        self.harness.run(_call(prompt=_PROMPT), self.after(0.05, _OK))
        self.speeds.take_gathered(9)
        self.harness.run(_call(prompt=_PROMPT), self.after(0.05, _OK))
        self.assertEqual(self.samples(), [])
