"""Tests of the questions to other routers and of what is certain then."""

import asyncio
import unittest

import attrs
from parameterized import parameterized

from balsamreach.relay.release_inquiry import (
    ONLY,
    RECORD,
    ReleaseInquiry,
    conclude,
)
from balsamreach.wire.releases import ReleaseAsk, ReleaseTold
from tests.fake_net import FakeNet
from tests.virtual_loop import virtual

_NOTHING = ReleaseTold()
_SAW_V1 = ReleaseTold(seen=('v1',))
_SAW_V2 = ReleaseTold(seen=('v2',))
_SAW_BOTH = ReleaseTold(seen=('v1', 'v2'))
#: Remembers, but has an outdated list.
_REMEMBERS = ReleaseTold(seen=('v1',), remembers=True)
_REMEMBERS_NONE = ReleaseTold(remembers=True)
_REMEMBERS_BOTH = ReleaseTold(seen=('v1', 'v2'), remembers=True)
_ONLY = ReleaseTold('v1', ONLY, seen=('v1',), remembers=True)
_ONLY_V2 = ReleaseTold('v2', ONLY, seen=('v2',), remembers=True)
_RECORD = ReleaseTold('v2', RECORD, age_ms=1500, seen=('v1', 'v2'))
_ALONE_RECORD = ReleaseTold('v2', RECORD, seen=('v2',))


class ConcludeTest(unittest.TestCase):
    """A release is certain, or the stream is refused."""

    @parameterized.expand(
        (
            ('own_record', (_RECORD,), ('v2', RECORD, '')),
            ('own_record_first', (_RECORD, _ONLY), ('v2', RECORD, '')),
            ('record_alone', (_NOTHING, _RECORD), ('v2', RECORD, '1')),
            ('only_then_record', (_NOTHING, _ONLY, _RECORD), ('v2', RECORD)),
            ('record_then_only', (_NOTHING, _RECORD, _ONLY), ('v2', RECORD)),
            ('own_only_and_record', (_ONLY, _RECORD), ('v2', RECORD, '1')),
            (
                'record_is_last',
                (_REMEMBERS, _SAW_V1, _ONLY, _ONLY_V2, _RECORD),
                ('v2', RECORD, '4'),
            ),
            (
                'record_of_new_router',
                (_SAW_V1, _REMEMBERS, _ALONE_RECORD),
                ('v2', RECORD, '2'),
            ),
        )
    )
    def test_record(self, _, known, expected):
        """Guards against a proof that beats what is known of the stream."""
        self.assert_origin(known, expected)

    @parameterized.expand(
        (
            ('own', (_ONLY,), ('v1', ONLY, '')),
            ('own_and_new', (_ONLY, _NOTHING), ('v1', ONLY, '')),
            ('other', (_NOTHING, _ONLY), ('v1', ONLY, '1')),
            ('new_router', (_SAW_V1, _NOTHING, _ONLY), ('v1', ONLY, '2')),
            ('all', (_ONLY, _ONLY, _REMEMBERS), ('v1', ONLY, '')),
            ('outdated_lists', (_REMEMBERS, _REMEMBERS), ('v1', ONLY, '')),
            ('own_outdated_list', (_REMEMBERS, _SAW_V1), ('v1', ONLY, '')),
            ('other_outdated', (_SAW_V1, _REMEMBERS), ('v1', ONLY, '1')),
            ('other_outdated_2', (_NOTHING, _REMEMBERS), ('v1', ONLY, '1')),
            ('other_saw', (_REMEMBERS_NONE, _SAW_V1), ('v1', ONLY, '')),
        )
    )
    def test_only(self, _, known, expected):
        """Guards against refusals where no release can be mixed up."""
        self.assert_origin(known, expected)

    @parameterized.expand(
        (
            ('nothing', (_NOTHING,)),
            ('nobody_saw', (_NOTHING, _NOTHING)),
            ('nobody_remembers', (_SAW_V1, _SAW_V1, _SAW_V1)),
            ('nobody_else_answers', (_SAW_V1,)),
            ('alone_with_outdated_list', (_REMEMBERS,)),
            ('remembers_no_release', (_REMEMBERS_NONE, _REMEMBERS_NONE)),
            ('saw_different', (_SAW_V1, _SAW_V2)),
            ('saw_both', (_REMEMBERS_BOTH, _REMEMBERS_BOTH)),
            ('new_router_saw_another', (_SAW_V2, _ONLY)),
            ('other_saw_another', (_ONLY, _SAW_V2)),
            ('one_of_many_saw_both', (_ONLY, _ONLY, _SAW_BOTH, _ONLY)),
            ('two_sure', (_ONLY, _ONLY_V2)),
            ('two_others_sure', (_NOTHING, _ONLY, _ONLY_V2)),
            ('outdated_saw_another', (_ONLY_V2, _REMEMBERS)),
        )
    )
    def test_uncertain(self, _, known):
        """Guards against a guess."""
        self.assertIsNone(self.conclude(known))

    def test_age(self):
        """Guards against a log of ages in other units."""
        self.assertEqual(self.conclude((_NOTHING, _RECORD)).age, 1.5)

    def conclude(self, known):
        own, *others = known
        answers = {str(num): one for num, one in enumerate(others, 1)}
        return conclude(own, answers)

    def assert_origin(self, known, expected):
        origin = self.conclude(known)
        found = (origin.release, origin.basis, origin.source)
        self.assertEqual(found[: len(expected)], expected)


@attrs.define
class _Peer:
    """Answers a question after some seconds, or never."""

    answer: ReleaseTold
    after: float | None = 0

    async def take(self, *_arguments):
        """Answer a question."""
        if self.after is None:
            await asyncio.Event().wait()
        await asyncio.sleep(self.after)
        return self.answer


_SILENT = _Peer(_RECORD, None)


class ReleaseInquiryTest(unittest.TestCase):
    """The routers that answer in time, on a loop with virtual time."""

    @parameterized.expand(
        (
            ('after_only', _Peer(_RECORD, 0.01)),
            ('in_another_zone', _Peer(_RECORD, 0.04)),
        )
    )
    def test_record_after_only(self, _, late):
        """Guards against a lagging list that beats a record."""
        answers = self.ask(_Peer(_ONLY), late, _SILENT)
        self.assertEqual(conclude(_NOTHING, answers).release, 'v2')

    def test_only_ends_the_wait(self):
        """Guards against a caller that waits for routers that hang.

        The second answer tells whether the wait went on for long.
        """
        answers = self.ask(_Peer(_ONLY), _Peer(_SAW_V1, 0.2), _SILENT)
        self.assertEqual(set(answers.values()), {_ONLY})

    def test_record_ends_the_wait(self):
        """Guards against a caller that waits once the release is known."""
        answers = self.ask(_Peer(_RECORD), _Peer(_ONLY, 0.01), _SILENT)
        self.assertEqual(set(answers.values()), {_RECORD})

    def test_only_comes_late(self):
        """Guards against a wait that a late ``only`` makes longer."""
        late = (_Peer(_ONLY, 0.24), _Peer(_RECORD, 0.27))
        answers = self.ask(*late, _SILENT)
        self.assertEqual(set(answers.values()), {_ONLY})

    def test_nobody_is_sure(self):
        """Guards against an end at the first answer without a basis."""
        answers = self.ask(_Peer(_SAW_V1), _Peer(_RECORD, 0.2), _SILENT)
        self.assertIn(_RECORD, answers.values())

    @parameterized.expand((('silent', (_SILENT, _SILENT)), ('no_routers', ())))
    def test_no_answer(self, _, peers):
        """Guards against a caller that waits for good."""
        self.assertEqual(self.ask(*peers), {})

    def test_faults_are_no_answers(self):
        """Guards against a fault that counts as another router."""
        answers = self.ask(_Peer(None), _Peer(_ONLY))
        self.assertEqual(tuple(answers.values()), (_ONLY,))

    @virtual
    async def test_questions_are_cancelled(self):
        """Guards against a task for each question that hangs."""
        await self.run_inquiry(_Peer(_RECORD), _SILENT)
        await asyncio.sleep(0)
        self.assertEqual(asyncio.all_tasks(), {asyncio.current_task()})

    @virtual
    async def ask(self, *peers):
        """Return the answers of routers to one question."""
        inquiry = await self.run_inquiry(*peers)
        return inquiry.answers

    async def run_inquiry(self, *peers):
        fabric = FakeNet()
        for number, peer in enumerate(peers):
            net = fabric.join(f'router-{number}')
            net.on(ReleaseAsk, peer.take)
        ask = ReleaseAsk(key=1, service='engines')
        inquiry = ReleaseInquiry(fabric.join('me'), ask)
        await inquiry.run(name for name in fabric.nets if name != 'me')
        return inquiry
