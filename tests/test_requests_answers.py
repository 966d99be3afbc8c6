"""Tests of answers in progress and kept, and of their memory limit."""

import unittest

import attrs
from parameterized import parameterized

from balsamreach.config.settings import RequestsSettings
from balsamreach.requests.answers import AnswerEnd, Sink
from balsamreach.requests.faults import (
    ANSWER_NOT_KEPT,
    IN_PROGRESS,
    KEY_REUSED,
)
from balsamreach.requests.identity import (
    RequestId,
    check_key,
    fingerprint,
    mint_key,
)
from balsamreach.requests.registry import AnswerRegistry
from tests.support import FakeClock

_ANSWER_BYTES = 100
_TOTAL_BYTES = 5000
_END_MARKER = b'data: [DONE]\n\n'
_COMPLETE = AnswerEnd(is_complete=True)
_BROKEN = AnswerEnd(is_complete=False, fault='broken')


class Caller(Sink):
    """A caller that reads everything or, if slow, nothing."""

    def __init__(self, *, slow=False):
        self.slow = slow
        self.body = b''
        self.was_cut = False

    @property
    def backlog(self):
        """All bytes, if slow."""
        return len(self.body) if self.slow else 0

    def start(self, status, headers):
        """Receive the head."""

    def write(self, chunk):
        """Receive a part of the body."""
        self.body += chunk

    def abort(self):
        """Record the abort."""
        self.was_cut = True


def settings(**changes):
    """Return settings with small limits."""
    cfg = RequestsSettings(
        keep_answers=600,
        keep_bytes=_TOTAL_BYTES,
        retry_window=600,
        default_deadline=60,
        answer_bytes=_ANSWER_BYTES,
        ask_timeout=1,
        stream_keep=30,
    )
    return attrs.evolve(cfg, **changes)


def request(key='key', mark='f', *, minted=False):
    """Return a request's identity."""
    return RequestId('team', key, minted, mark)


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    """Duplicates get complete answers, within a memory limit."""

    def setUp(self):
        self.clock = FakeClock()
        self.answers = AnswerRegistry(settings(), self.clock)

    async def test_duplicate_joins_in_progress_and_gets_all_of_it(self):
        answer = self.answers.open(request())
        answer.write(b'one ')
        joined = self.answers.find(request())
        late = Caller()
        joined.attach(late)
        answer.write(b'two')
        self.assertEqual(late.body, b'one two')

    async def test_duplicate_after_the_end_gets_the_kept_answer(self):
        self._run(b'whole')
        late = Caller()
        self.answers.find(request()).attach(late)
        self.assertEqual(late.body, b'whole')

    async def test_other_body_under_the_key_is_refused(self):
        self.answers.open(request())
        found = self.answers.find(request(mark='other'))
        self.assertEqual(found, KEY_REUSED)

    @parameterized.expand(
        [
            ('idempotent', True, None),
            ('non_idempotent', False, _BROKEN),
        ]
    )
    async def test_broken_answer_is_kept_only_if_not_idempotent(
        self,
        _name,
        idempotent,
        end,
    ):
        """Guards against a failed answer for every retry of its key.

        If a broken answer were kept like a complete one, retries of an
        idempotent request would get the same error until the key expires.
        """
        self._run(b'half', _BROKEN, idempotent=idempotent)
        found = self.answers.find(request())
        self.assertEqual(found and found.end, end)

    async def test_billed_flag_survives_a_failed_run(self):
        answer = self._run(b'half', _BROKEN)
        answer.billed = True
        self.assertTrue(self.answers.open(request()).billed)

    async def test_large_answer_in_progress_is_not_joined(self):
        answer = self.answers.open(request())
        answer.write(bytes(_ANSWER_BYTES + 1))
        self.assertEqual(self.answers.find(request()), IN_PROGRESS)

    async def test_large_non_idempotent_answer_is_known_to_have_run(self):
        self._run(bytes(_ANSWER_BYTES + 1), idempotent=False)
        self.assertEqual(self.answers.find(request()), ANSWER_NOT_KEPT)

    async def test_slow_caller_is_cut_off_and_others_continue(self):
        """Guards against unlimited memory for a caller that stops reading.

        A long answer has two callers, and the target is read as fast as the
        faster one reads. The router's memory would grow at constant load.
        """
        answer = self.answers.open(request())
        slow = Caller(slow=True)
        fast = Caller()
        answer.attach(slow)
        answer.attach(fast)
        for _ in range(10):
            answer.write(bytes(_ANSWER_BYTES))
        self.assertTrue(slow.was_cut)
        self.assertEqual(len(fast.body), 10 * _ANSWER_BYTES)
        self.assertLess(self.answers.held, 2000)

    @parameterized.expand(
        [
            (
                'whole',
                'text/event-stream',
                _COMPLETE,
                b'data: a\n\n',
                _END_MARKER,
            ),
            ('broken', 'text/event-stream', _BROKEN, b'data: a\n\n', b''),
            ('twice', 'text/event-stream', _COMPLETE, b'', _END_MARKER),
            (
                'in_text',
                'text/event-stream',
                _COMPLETE,
                b'data: "data: [DONE]\n\n',
                b'',
            ),
            ('no_stream', 'text/plain', _COMPLETE, _END_MARKER, b''),
        ],
    )
    async def test_end_marker_is_sent_at_the_end(
        self,
        _name,
        kind,
        end,
        before,
        after,
    ):
        """Guards against a complete stream whose bill is lost.

        A caller takes the end marker for the end, so it must not be sent
        before the answer ends. A marker can arrive twice if a stream that
        broke after it is resumed.
        """
        answer = self.answers.open(request())
        caller = Caller()
        answer.attach(caller)
        answer.start(200, {'content-type': kind})
        answer.write(before + after)
        answer.write(after)
        self.assertEqual(caller.body, before)
        self.answers.finish(answer, end)
        complete = before + after if end.is_complete else before
        self.assertEqual(caller.body, complete)
        self.assertEqual(answer.body.read(0), complete)

    async def test_memory_of_all_answers_is_bounded(self):
        for number in range(50):
            self._run(bytes(_ANSWER_BYTES), req=request(f'key-{number}'))
        self.assertLessEqual(self.answers.held, _TOTAL_BYTES)
        self.assertIsNone(self.answers.find(request('key-0')))
        self.assertIsNotNone(self.answers.find(request('key-49')))

    async def test_kept_answer_expires(self):
        self._run(b'whole')
        self.clock.advance(601)
        self.assertIsNone(self.answers.find(request()))
        self.assertEqual(self.answers.held, 0)

    async def test_answer_under_a_minted_key_is_not_kept(self):
        self._run(b'whole', req=request('~1', minted=True))
        self.assertEqual(self.answers.held, 0)

    def _run(self, body, end=_COMPLETE, *, idempotent=True, req=None):
        answer = self.answers.open(req or request(), idempotent=idempotent)
        answer.write(body)
        self.answers.finish(answer, end)
        return answer


class IdentityTest(unittest.TestCase):
    """Keys and fingerprints."""

    @parameterized.expand(
        [
            ('plain', 'booking-17', True),
            ('empty', '', False),
            ('long', 'k' * 256, False),
            ('unprintable', 'a\nb', False),
            ('minted_elsewhere', mint_key(), False),
        ]
    )
    def test_key_is_checked(self, _name, key, accepted):
        self.assertEqual(check_key(key) is None, accepted)

    @parameterized.expand(
        [
            ('method', ('PUT', '/a', b'x')),
            ('path', ('POST', '/b', b'x')),
            ('body', ('POST', '/a', b'y')),
        ]
    )
    def test_fingerprint_tells_requests_apart(self, _name, other):
        self.assertNotEqual(
            fingerprint('POST', '/a', b'x'),
            fingerprint(*other),
        )
