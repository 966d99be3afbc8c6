"""Tests of `serve` with targets that answer with a head that is none."""

import unittest

from parameterized import parameterized

from balsamreach.dispatch.faults import ANSWER_BROKEN, MAYBE_RUN
from tests import broken_heads
from tests.cut_targets import OWN, CutTarget
from tests.test_dispatch_cut_answers import CutAnswerCase, make_attempt

_KINDS = {'plain': False, 'stream': True}


def _cases(forms):
    for kind, stream in _KINDS.items():
        for form, answer in forms.items():
            yield f'{kind}_{form}', answer, stream


class BrokenHeadTest(CutAnswerCase):
    """A head that isn't one makes no answer of what follows it."""

    async def ask(self, answer, *, stream):
        """Send an attempt that gets an answer."""
        target = CutTarget([answer])
        self.addCleanup(target.stop)
        attempt = make_attempt(await target.start(), stream=stream)
        return await self.exchange(attempt)

    @parameterized.expand(_cases(broken_heads.ALL))
    async def test_is_broken(self, _, answer, stream):
        """Guards against a body that is not the target's."""
        fault, output = await self.ask(answer, stream=stream)
        self.assertEqual(fault, ANSWER_BROKEN)
        output.start.assert_not_called()
        output.write.assert_not_called()

    @parameterized.expand(_cases(broken_heads.ALL))
    async def test_refusal_is_no_promise(self, _, answer, stream):
        """Guards against a promise that is read from such a head."""
        refusal = answer.replace(
            b'Response-Stamp: s', b'X-Not-Run: true'
        ).replace(b' 200 ', b' 503 ')
        fault, _output = await self.ask(refusal, stream=stream)
        self.assertEqual(fault.ran, MAYBE_RUN)

    @parameterized.expand(_cases(broken_heads.SOUND))
    async def test_sound(self, _, answer, stream):
        """Guards against refusing what HTTP allows."""
        fault, output = await self.ask(answer, stream=stream)
        self.assertIsNone(fault)
        if stream:
            output.write.assert_called_with(OWN)


if __name__ == '__main__':
    unittest.main()
