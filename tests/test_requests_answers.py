"""Tests of answers in progress, kept ones and the memory they take."""

import unittest

import attrs
from parameterized import parameterized

from balsamreach.config.settings import RequestsSettings
from balsamreach.requests.answers import End, Sink
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
from balsamreach.requests.registry import Answers
from tests.support import FakeClock

_EACH = 100
_ALL = 5000
_MARK = b'data: [DONE]\n\n'
_WHOLE = End(whole=True)
_BROKEN = End(whole=False, fault='broken')


class Caller(Sink):
    """A caller that reads only when the test says so."""

    def __init__(self, *, slow=False):
        self.slow = slow
        self.body = b''
        self.was_cut = False

    @property
    def backlog(self):
        """All of it, if slow."""
        return len(self.body) if self.slow else 0

    def start(self, status, headers):
        """Take the head."""

    def write(self, chunk):
        """Take a part of the body."""
        self.body += chunk

    def cut(self):
        """Note the cut."""
        self.was_cut = True


def settings(**changes):
    """Return settings with small bounds."""
    cfg = RequestsSettings(
        keep_answers=600,
        keep_bytes=_ALL,
        retry_window=600,
        default_deadline=60,
        answer_bytes=_EACH,
        ask_timeout=1,
        stream_keep=30,
    )
    return attrs.evolve(cfg, **changes)


def request(key='key', mark='f', *, minted=False):
    """Return a request's identity."""
    return RequestId('team', key, minted, mark)


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    """Duplicates get whole answers, from bounded memory."""

    def setUp(self):
        self.clock = FakeClock()
        self.answers = Answers(settings(), self.clock)

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
    async def test_broken_answer_sticks_only_to_what_may_run_once(
        self,
        _name,
        idempotent,
        end,
    ):
        """A failed run must not fail every retry of an idempotent request.

        Symptom: a retry gets the same error until the key expires.
        Sequence: a target breaks off; the caller sends the same key again.
        Cause: the broken answer was kept like a whole one.
        """
        self._run(b'half', _BROKEN, idempotent=idempotent)
        found = self.answers.find(request())
        self.assertEqual(found and found.end, end)

    async def test_mark_of_the_bill_outlives_a_failed_run(self):
        answer = self._run(b'half', _BROKEN)
        answer.billed = True
        self.assertTrue(self.answers.open(request()).billed)

    async def test_large_answer_in_progress_is_not_joined(self):
        answer = self.answers.open(request())
        answer.write(bytes(_EACH + 1))
        self.assertEqual(self.answers.find(request()), IN_PROGRESS)

    async def test_large_answer_of_a_single_run_is_known_to_have_run(self):
        self._run(bytes(_EACH + 1), idempotent=False)
        self.assertEqual(self.answers.find(request()), ANSWER_NOT_KEPT)

    async def test_slow_joiner_is_cut_and_others_read_on(self):
        """A caller that stops reading must not fill the router's memory.

        Symptom: a router's memory grows while its load stands still.
        Sequence: a long answer has two callers; one of them reads nothing.
        Cause: the target is read as fast as the other one takes it.
        """
        answer = self.answers.open(request())
        slow = Caller(slow=True)
        fast = Caller()
        answer.attach(slow)
        answer.attach(fast)
        for _ in range(10):
            answer.write(bytes(_EACH))
        self.assertTrue(slow.was_cut)
        self.assertEqual(len(fast.body), 10 * _EACH)
        self.assertLess(self.answers.held, 2000)

    @parameterized.expand(
        [
            ('whole', 'text/event-stream', _WHOLE, b'data: a\n\n', _MARK),
            ('broken', 'text/event-stream', _BROKEN, b'data: a\n\n', b''),
            ('twice', 'text/event-stream', _WHOLE, b'', _MARK),
            (
                'in_text',
                'text/event-stream',
                _WHOLE,
                b'data: "data: [DONE]\n\n',
                b'',
            ),
            ('no_stream', 'text/plain', _WHOLE, _MARK, b''),
        ],
    )
    async def test_end_mark_comes_with_the_end(
        self,
        _name,
        kind,
        end,
        before,
        after,
    ):
        """Symptom: a caller has a whole stream whose bill is lost.

        Sequence: the mark comes, maybe twice as a broken stream is resumed
        behind it. Cause: a caller takes it for the end.
        """
        answer = self.answers.open(request())
        caller = Caller()
        answer.attach(caller)
        answer.start(200, {'content-type': kind})
        answer.write(before + after)
        answer.write(after)
        self.assertEqual(caller.body, before)
        self.answers.finish(answer, end)
        whole = before + after if end.whole else before
        self.assertEqual(caller.body, whole)
        self.assertEqual(answer.body.read(0), whole)

    async def test_memory_of_all_answers_is_bounded(self):
        for number in range(50):
            self._run(bytes(_EACH), req=request(f'key-{number}'))
        self.assertLessEqual(self.answers.held, _ALL)
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

    def _run(self, body, end=_WHOLE, *, idempotent=True, req=None):
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
    def test_key(self, _name, key, accepted):
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
