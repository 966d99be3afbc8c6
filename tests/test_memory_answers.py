"""Tests of which answers are received while the memory lasts."""

import random
import unittest

import attrs
from parameterized import parameterized

from balsamreach.memory.answers import (
    LARGEST_BYTES,
    AnswerMemory,
    HeldAnswer,
)

_MIB = 1 << 20
_CAPACITY = 32 * _MIB
#: Share of it that larger answers may fill.
_LARGE = 24 * _MIB
_SMALL = 60_000
_SEEDS = 20


@attrs.define(eq=False)
class Answers:
    """Answers that are received, by name."""

    memory: AnswerMemory = attrs.Factory(lambda: AnswerMemory(_CAPACITY))
    held: dict[str, HeldAnswer] = attrs.field(factory=dict)
    given_up: list[str] = attrs.field(factory=list)

    def grow(self, name, size, *, has_length=False):
        """Receive an answer up to a size, unless it was given up."""
        if name not in self.held:
            self.held[name] = HeldAnswer(
                lambda: self.given_up.append(name), has_length
            )
        if name not in self.given_up:
            self.memory.resize(self.held[name], size)


class AnswerMemoryTest(unittest.TestCase):
    """Answers that grow at the same time."""

    def setUp(self):
        self.answers = Answers()

    def test_largest_answer(self):
        """Guards against refusing a single answer that is allowed."""
        for capacity in (_MIB, _CAPACITY):
            answers = Answers(AnswerMemory(capacity))
            answers.grow('one', LARGEST_BYTES)
            self.assertEqual(answers.given_up, [])

    def test_crowd_without_end(self):
        """Guards against answers that take all memory together."""
        for size in range(0, LARGEST_BYTES + 1, _MIB // 8):
            for number in range(120):
                self.answers.grow(f'endless-{number}', size)
                self.assertLessEqual(self.answers.memory.used, _LARGE)
        self.assertEqual(len(self.answers.given_up), 120 - 3)

    def test_small_answers(self):
        """Guards against losing ordinary answers beside those without end."""
        self.answers.grow('small', 1)
        for number in range(10):
            self.answers.grow(f'endless-{number}', 4 * _MIB)
            self.answers.grow(f'small-{number}', _SMALL)
        self.answers.grow('small', _SMALL)
        self.assertTrue(self.answers.given_up)
        for name in self.answers.given_up:
            self.assertTrue(name.startswith('endless'))

    def test_announced_size(self):
        """Guards against losing an answer that has an end to one without."""
        self.answers.grow('sound', 7 * _MIB, has_length=True)
        for number in range(10):
            self.answers.grow(f'endless-{number}', 5 * _MIB)
        self.assertNotIn('sound', self.answers.given_up)
        self.assertEqual(len(self.answers.given_up), 10 - 3)

    def test_largest_first(self):
        self.answers.grow('large', 8 * _MIB)
        self.answers.grow('middle', 7 * _MIB)
        self.answers.grow('other', 7 * _MIB)
        self.answers.grow('last', 6 * _MIB)
        self.assertEqual(self.answers.given_up, ['large'])

    def test_slow_callers(self):
        """Guards against answers that pile up for callers that don't read."""
        self.answers.memory.waiting = lambda: _LARGE
        self.answers.grow('small', _SMALL)
        self.answers.grow('large', _MIB, has_length=True)
        self.answers.grow('other', _SMALL)
        self.assertEqual(self.answers.given_up, ['large'])

    @parameterized.expand([(seed,) for seed in range(_SEEDS)])
    def test_nothing_is_left(self, seed):
        """Guards against bytes that are counted forever."""
        rng = random.Random(seed)
        sizes = (0, 1, _SMALL, _MIB, LARGEST_BYTES)
        for _ in range(500):
            self.answers.grow(str(rng.randrange(40)), rng.choice(sizes))
            held = sum(one.size for one in self.answers.held.values())
            self.assertEqual(self.answers.memory.used, held)
            self.assertLessEqual(held, _CAPACITY)
        for one in self.answers.held.values():
            self.answers.memory.end(one)
            self.answers.memory.end(one)
        self.assertEqual(self.answers.memory.used, 0)


if __name__ == '__main__':
    unittest.main()
