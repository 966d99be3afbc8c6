"""Tests of a passed-through request's whole way."""

import asyncio
import unittest
from collections.abc import Callable

import attrs
from parameterized import parameterized

from balsamreach.dispatch.upstream import BROKEN, NOT_SENT, SILENT
from balsamreach.placement.evacuations import Evacuation
from balsamreach.placement.places import Places, TargetEntry
from balsamreach.relay.faults import BUDGET_EXHAUSTED
from balsamreach.relay.run import RelayRun
from balsamreach.relay.spending import Spending, Tab
from tests import relay_samples
from tests.relay_samples import (
    DESK,
    ENGINES,
    ONE_RUN,
    PLAIN,
    STREAM,
    UNSAFE,
    entry,
    event,
)
from tests.relay_scripts import (
    Answered,
    RecordingOutlet,
    Script,
    Swallowed,
    answer,
    unsent,
)
from tests.relay_world import RelayWorld

_REFUSED = unsent(NOT_SENT.because('refused'))
_SHED = answer(503, not_executed='1')
_BACK_OFF = answer(503, not_executed='1', retry_after='3')
_LONG_BACK_OFF = answer(503, not_executed='1', retry_after='9')
_OK = answer(200, b'done')


@attrs.frozen
class _After:
    """A target that answers after something else has happened."""

    happens: Callable[[], None]
    script: Script

    def __call__(self, outgoing, intake):
        """Let it happen, and answer."""
        self.happens()
        return self.script(outgoing, intake)


@attrs.frozen
class _Watched:
    """A target whose answer is looked at between its head and its body."""

    script: Answered
    places: Places
    leaving: list[TargetEntry]

    def __call__(self, _outgoing, intake):
        """Answer, and note which targets leave by then."""
        assert intake.before_send()
        intake.start(self.script.status, self.script.headers)
        entries = (place.entry for place in self.places)
        self.leaving.extend(one for one in entries if one.leaving)
        for chunk in self.script.chunks:
            intake.write(chunk)


def _status(outlet):
    return 'broken' if outlet.broken else outlet.status


class RelayRunTest(unittest.TestCase):
    """Each request gets one final answer, and a true one."""

    def setUp(self):
        self.world = RelayWorld()

    @parameterized.expand(
        (
            ('whole', PLAIN, [_OK], 200, 1),
            ('whole_once', UNSAFE, [_OK], 200, 1),
            ('unreached_target', PLAIN, [_REFUSED, _OK], 200, 2),
            ('unreached_once', UNSAFE, [_REFUSED, _OK], 200, 2),
            ('declined', PLAIN, [_SHED, _OK], 200, 2),
            ('declined_once', UNSAFE, [_SHED, _OK], 200, 2),
            ('all_declined', PLAIN, [_SHED, _SHED], 503, 2),
            ('broken', PLAIN, [Swallowed(BROKEN), _OK], 200, 2),
            ('broken_once', UNSAFE, [Swallowed(BROKEN)], 502, 1),
            ('silent_once', UNSAFE, [Swallowed(SILENT)], 502, 1),
            ('failed', PLAIN, [answer(500), _OK], 200, 2),
            ('failed_twice', PLAIN, [answer(500), answer(500)], 500, 2),
            ('failed_once', UNSAFE, [answer(500, b'no')], 500, 1),
            ('refused_by_target', PLAIN, [answer(404, b'no')], 404, 1),
        )
    )
    def test_plain(self, _, route, scripts, status, sent):
        outlet = self.world.run(relay_samples.call(route), *scripts)
        self.assertEqual(_status(outlet), status)
        self.assertEqual(len(self.world.exchange.sent), sent)

    @parameterized.expand(
        (
            ('late_answer', answer(200, b'x', attempt_id='another')),
            ('unsigned', answer(200, b'x', response_stamp='')),
            ('encoded', answer(200, b'x', content_encoding='gzip')),
            ('cut', answer(200, b'x', end=BROKEN)),
        )
    )
    def test_what_is_no_answer_reaches_no_caller(self, _, script):
        """Symptom: a caller gets another's answer, or half of one.

        Sequence: a target answers late, or breaks off in the body.
        Cause: bytes were passed on before the answer was judged.
        """
        outlet = self.world.run(relay_samples.call(UNSAFE), script)
        self.assertEqual(outlet.status, 502)
        self.assertNotEqual(outlet.body, b'x')

    def evacuate(self, zone, *, in_force=True, version=5):
        order = Evacuation(zone=zone, version=version, in_force=in_force)
        self.world.evacuations.put(order, 'test')

    def first_target(self):
        sent = self.world.exchange.sent
        return sent[0].target

    def last_target(self):
        sent = self.world.exchange.sent
        return sent[-1].target

    def test_an_evacuated_zone(self):
        """Symptom: targets of an evacuated zone go on to get requests.

        Sequence: the zone of all targets but one is evacuated.
        Cause: only a target's own word kept requests away from it.
        """
        self.evacuate('zone-a')
        outlet = self.world.run(relay_samples.call(PLAIN))
        self.assertEqual(outlet.status, 503)
        self.assertIn('retry-after', outlet.headers)
        self.assertEqual(self.world.exchange.sent, [])
        away = entry('away', DESK, zone='zone-b')
        chooser = self.world.chooser
        chooser.places.put(away)
        outlet = self.world.run(relay_samples.call(PLAIN), _OK)
        self.assertEqual(outlet.status, 200)
        self.assertEqual(self.last_target(), away)
        self.evacuate('zone-a', in_force=False, version=6)
        self.world.run(relay_samples.call(PLAIN), _OK)
        self.assertEqual(self.last_target().zone, 'zone-a')

    def test_a_stream_does_not_go_on_in_an_evacuated_zone(self):
        broken = answer(200, event(1), end=BROKEN)
        script = _After(lambda: self.evacuate('zone-a'), broken)
        outlet = self.world.run(relay_samples.call(STREAM), script)
        self.assertTrue(outlet.broken)
        self.assertEqual(len(self.world.exchange.sent), 1)

    def test_stream_goes_on_at_another_target(self):
        outlet = self.world.run(
            relay_samples.call(STREAM),
            answer(200, event(1) + event(2)[:5], end=BROKEN),
            answer(200, event(2) + event(3)),
        )
        self.assertEqual(outlet.body, event(1) + event(2) + event(3))
        self.assertTrue(outlet.whole)
        second = self.world.exchange.sent[1]
        self.assertEqual(dict(second.headers)['Last-Event-Id'], '1')

    @parameterized.expand(
        (
            ('not_resumable', ONE_RUN, [answer(200, event(1), end=BROKEN)]),
            (
                'within_an_event',
                ONE_RUN,
                [answer(200, event(1) + event(2)[:5])],
            ),
            (
                'failed_then',
                STREAM,
                [answer(200, event(1), end=BROKEN), answer(500)],
            ),
        )
    )
    def test_a_stream_that_ends_early_never_looks_whole(
        self,
        _,
        route,
        scripts,
    ):
        """Symptom: a caller takes half a report for the whole.

        Sequence: a stream breaks and can't go on.
        Cause: the answer was ended in order.
        """
        outlet = self.world.run(relay_samples.call(route), *scripts)
        self.assertEqual(outlet.body, event(1))
        self.assertTrue(outlet.broken)
        self.assertFalse(outlet.whole)

    def test_address_of_another_target_is_left_at_once(self):
        """Symptom: repeats beyond the users' share after a crash.

        Sequence: a crashed target's address is taken over; each request that
        goes there is turned back by the new one and sent on.
        Cause: the list still had the old target, and being turned back
        counted neither against it nor as a repeat.
        """
        turned = answer(421)
        outlet = self.world.run(relay_samples.call(PLAIN), turned, _OK)
        self.assertEqual(outlet.status, 200)
        sent = self.world.exchange.sent
        gone = sent[0].target.incarnation
        left = [place.incarnation for place in self.world.chooser.places]
        self.assertNotIn(gone, left)
        repeats = self.world.repeats
        self.assertEqual(repeats._steps['desk'][0].again, 1)

    def test_a_probe_that_fails_closes_the_target_again(self):
        """Symptom: a dead target gets every request after its first pause.

        Sequence: nobody listens at a target; its pause ends, and a probe
        meets the same.
        Cause: the breaker forgot that a probe was under way before it was
        told how it ended, and took the failure for an old one.
        """
        place = self.world.chooser.places.of_service('desk')[0]
        for other in self.world.chooser.places.of_service('desk')[1:]:
            other.entry = attrs.evolve(other.entry, leaving=True)
        self.world.run(relay_samples.call(PLAIN), _REFUSED)
        self.world.clock.advance(2)
        self.assertTrue(place.breaker.passes(self.world.clock.now()))
        call = relay_samples.call(PLAIN, seconds=60)
        self.world.run(call, _REFUSED)
        self.assertFalse(place.breaker.passes(self.world.clock.now()))

    @parameterized.expand(
        (
            ('answered', PLAIN, [answer(200, b'x', server_leaving='1')]),
            ('refused', PLAIN, [answer(404, b'x', server_leaving='1')]),
            ('failed', UNSAFE, [answer(500, b'x', server_leaving='1')]),
            (
                'broken',
                ONE_RUN,
                [answer(200, event(1), end=BROKEN, server_leaving='1')],
            ),
            (
                'declined',
                PLAIN,
                [answer(503, not_executed='1', server_leaving='1'), _OK],
            ),
        )
    )
    def test_leaving_target_gets_new_work(self, _, route, scripts):
        """A target said in an answer that it leaves, and nobody notices_ it."""
        self.world.run(relay_samples.call(route), *scripts)
        leaves = self.first_target()
        for _ in range(8):
            script = answer(200, event(1)) if route.streams else _OK
            self.world.run(relay_samples.call(route), script)
            self.assertNotEqual(self.last_target(), leaves)

    def test_leaving_target_gets_new_work_while_it_streams(self):
        """The word in a stream's head counted only as its last event came."""
        chooser = self.world.chooser
        streaming = answer(200, event(1), server_leaving='1')
        script = _Watched(streaming, chooser.places, [])
        self.world.run(relay_samples.call(STREAM), script)
        left = script.leaving.pop()
        self.assertEqual(left.service, ENGINES)

    def test_leaving_targets_get_nothing(self):
        places = self.world.chooser.places
        for place in places.of_service('desk'):
            place.entry = attrs.evolve(place.entry, leaving=True)
        outlet = self.world.run(relay_samples.call(PLAIN))
        self.assertEqual(outlet.status, 503)
        self.assertIn('retry-after', outlet.headers)
        self.assertEqual(self.world.exchange.sent, [])

    def test_rejecting_target_gets_requests_while_it_backs_off(self):
        """A rejection's time to come back bound nobody but its caller."""
        call = relay_samples.call(PLAIN, seconds=60)
        self.world.run(call, _BACK_OFF, _OK)
        first, other = (one.target for one in self.world.exchange.sent)
        for _ in range(8):
            self.world.run(call, _OK)
            self.assertEqual(self.last_target(), other)
        self.world.clock.advance(3)
        targets = set()
        for _ in range(20):
            self.world.run(call, _OK)
            targets.add(self.last_target())
        self.assertEqual(targets, {first, other})

    def test_longest_back_off_holds(self):
        call = relay_samples.call(PLAIN, seconds=60)
        shorter = answer(503, not_executed='1', retry_after='1')
        self.world.run(call, _BACK_OFF, shorter)
        self.world.run(call, _BACK_OFF)
        self.world.clock.advance(2)
        outlet = self.world.run(call, shorter)
        self.assertEqual(outlet.status, 503)
        self.assertEqual(len(self.world.exchange.sent), 3)

    def test_request_is_held_while_all_targets_back_off(self):
        """A request waited for tokens before targets that take none."""
        call = relay_samples.call(STREAM, seconds=60)
        outlet = self.world.run(call, _BACK_OFF, _LONG_BACK_OFF)
        self.assertEqual(outlet.status, 503)
        self.assertGreaterEqual(float(outlet.headers['retry-after']), 3)
        self.world.parts = attrs.evolve(
            self.world.parts,
            spending=_UnusedSpending(),
        )
        self.world.clock.advance(1)
        outlet = self.world.run(call)
        self.assertEqual(outlet.status, 503)
        self.assertIn(b'targets_back_off', outlet.body)
        wait = float(outlet.headers['retry-after'])
        self.assertTrue(2 <= wait <= 3, wait)

    def test_return_is_that_of_a_target_that_stays(self):
        """Callers came back to targets of which the last one had left."""
        call = relay_samples.call(PLAIN, seconds=60)
        leaves = answer(503, not_executed='1', retry_after='3')
        self.world.run(call, leaves, _LONG_BACK_OFF)
        places = self.world.chooser.places
        places.put(attrs.evolve(self.first_target(), leaving=True))
        outlet = self.world.run(call)
        wait = float(outlet.headers['retry-after'])
        self.assertTrue(9 <= wait <= 10, wait)

    @parameterized.expand(
        (
            ('another_target', answer(421, retry_after='3')),
            (
                'another_request',
                answer(503, attempt_id='another', retry_after='3'),
            ),
        )
    )
    def test_notice_of_another_keeps_a_target_away(self, _, script):
        """A target was left alone by what another one had said."""
        self.world.run(relay_samples.call(UNSAFE), script, _OK)
        chooser = self.world.chooser
        self.assertEqual(len(chooser.places.restrictions), 0)

    def test_request_that_crashes_targets_is_kept_away(self):
        """Symptom: targets of one service restart in turn.

        Sequence: a request crashes its target; its caller sends it again
        under another identity, through this router.
        Cause: nobody remembered it by its path, team and body.
        """
        crash = [Swallowed(BROKEN), Swallowed(BROKEN)]
        self.world.run(relay_samples.call(STREAM), *crash)
        outlet = self.world.run(relay_samples.call(STREAM), _OK)
        self.assertEqual(outlet.status, 503)
        self.assertEqual(len(self.world.exchange.sent), 2)

    @parameterized.expand((('sent', True, 504), ('unsent', False, 503)))
    def test_time_is_over(self, _, hangs, status):
        """What may have run is never told to be not run."""
        self.world.exchange.hang = hangs
        call = relay_samples.call(UNSAFE, seconds=0.01 if hangs else -1)
        outlet = self.world.run(call, _OK)
        self.assertEqual(outlet.status, status)

    def test_budget_that_is_exhausted(self):
        world = RelayWorld(_EmptySpending())
        outlet = world.run(relay_samples.call(STREAM))
        self.assertEqual(outlet.status, 402)
        self.assertEqual(world.exchange.sent, [])

    def test_charges_what_went_to_the_caller(self):
        spending = _NotingSpending()
        world = RelayWorld(spending)
        world.run(relay_samples.call(STREAM), answer(200, event(1) + event(2)))
        self.assertEqual(spending.used, [100 + 2 * 7])

    def test_charges_nothing_for_what_did_not_run(self):
        spending = _NotingSpending()
        world = RelayWorld(spending)
        world.run(relay_samples.call(STREAM), _SHED, _SHED)
        self.assertEqual(spending.used, [0])

    def test_caller_that_left_frees_the_target(self):
        """Symptom: targets stay busy for callers that have gone.

        Sequence: a caller closes its connection while its request runs.
        Cause: the attempt went on.
        """
        self.world.exchange.hang = True
        asyncio.run(self._leave())
        busy = [place.running for place in self.world.chooser.places]
        self.assertEqual(set(busy), {0})

    async def _leave(self):
        run = RelayRun(
            self.world.parts,
            relay_samples.call(STREAM),
            RecordingOutlet(),
        )
        task = asyncio.ensure_future(run.run())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        busy = [
            one.running for one in self.world.chooser.places.of_service(ENGINES)
        ]
        self.assertEqual(sum(busy), 1)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


class _EmptySpending(Spending):
    async def open(self, call):
        return BUDGET_EXHAUSTED.because('nothing left')

    def close(self, call, tab):
        raise AssertionError('nothing was opened')


class _UnusedSpending(Spending):
    async def open(self, call):
        raise AssertionError('the request can not be served')

    def close(self, call, tab):
        raise AssertionError('nothing was opened')


class _NotingSpending(Spending):
    def __init__(self):
        self.used = []

    async def open(self, call):
        return Tab(most=call.prompt.max_tokens)

    def close(self, call, tab):
        self.used.append(tab.used)
