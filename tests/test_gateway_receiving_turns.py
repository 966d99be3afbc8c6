"""Tests of answers that come in many small pieces."""

import asyncio
import unittest

from balsamreach.gateway.receiving_turns import ReceivingTurns

_ANSWERS = 5
_MAX_STEPS = 10_000


class ReceivingTurnsTest(unittest.IsolatedAsyncioTestCase):
    """Answers with more pieces than other work can wait for."""

    def setUp(self):
        self.turns = ReceivingTurns()
        self.received = [0 for _ in range(_ANSWERS)]
        self.steps = 0

    def receive(self, number):
        """Receive pieces until the answer is interrupted."""
        while self.turns.take():
            self.received[number] += 1
            self.assertLess(self.received[number], _MAX_STEPS)
        self.turns.wait(lambda: self.resume(number))

    def resume(self, number):
        """Go on with an answer, for the first steps of the test."""
        if self.steps < _ANSWERS * 2:
            self.receive(number)

    async def test_others_have_their_turn(self):
        """Guards against one answer that holds up all others."""
        for number in range(_ANSWERS):
            self.receive(number)
        self.assertEqual(sum(map(bool, self.received)), 1)
        while self.steps < _ANSWERS * 2:
            self.steps += 1
            await asyncio.sleep(0)
        self.assertTrue(all(self.received))
        self.assertLessEqual(max(self.received), 3 * min(self.received))


if __name__ == '__main__':
    unittest.main()
