"""Tests of continuing streams at a backup engine."""

import asyncio
import random
import unittest
from collections.abc import Callable
from functools import partial
from unittest import mock

import attrs
from parameterized import parameterized

from balsamreach.dispatch.upstream import BROKEN, NOT_SENT, SILENT
from balsamreach.placement.evacuations import Evacuation
from balsamreach.placement.failure_evidence import REFUSED, FailureReport
from balsamreach.placement.prompts import Prompt
from balsamreach.placement.received_failures import ReceivedFailures
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.relay.backups import choose_backup
from balsamreach.relay.run import RelayRun
from tests import relay_samples
from tests.relay_harness import RelayHarness
from tests.relay_samples import (
    CATALOGUE,
    ENGINES,
    ONE_RUN,
    PLAIN,
    REQUEST,
    STREAM,
    entry,
    event,
)
from tests.relay_scripts import (
    RecordingResponse,
    RecordingSpending,
    Script,
    answer,
    unreachable,
)

#: Tokens of the prompts of ``relay_samples.call``.
_TOKENS = 100
_CLOSED = attrs.evolve(BROKEN, closed_by_target=True)
_REFUSED = unreachable(NOT_SENT.because('refused'))
_REST = event(2) + event(3)
_DIES = answer(200, event(1), end=_CLOSED)
_OK = answer(200, _REST)


@attrs.frozen
class _DyingAfter:
    """An engine that dies in a stream after something else has happened."""

    change: Callable[[], None]

    def __call__(self, outgoing, intake):
        """Call the function, and die."""
        self.change()
        return _DIES(outgoing, intake)


@attrs.frozen
class _Late:
    """An engine that responds after some time."""

    wait: Callable[[], None]
    script: Script

    def __call__(self, outgoing, intake):
        """Let time pass, then respond."""
        self.wait()
        return self.script(outgoing, intake)


def _with_backups(allowed):
    service = CATALOGUE.services[ENGINES]
    engine = attrs.evolve(service.engine, backups=allowed)
    changed = {ENGINES: attrs.evolve(service, engine=engine)}
    services = CATALOGUE.services | changed
    return attrs.evolve(CATALOGUE, version=6, services=services)


def _place(name, zone, running):
    return RelayTarget(entry(name, ENGINES, zone=zone), running=running)


class BackupsTest(unittest.TestCase):
    """A stream continues whole and in order, or is aborted."""

    def setUp(self):
        self.spending = RecordingSpending()
        self.harness = RelayHarness(self.spending)
        patcher = mock.patch('balsamreach.relay.request_log.log_event')
        self.log_event = patcher.start()
        self.addCleanup(patcher.stop)
        self.places = self.harness.chooser.places
        # It becomes the backup; the second engine in zone-a shows that no
        # attempt beyond the backup is made.
        self.places.put(entry('other', ENGINES, zone='zone-b'))
        self.backup = self.places.find('other')
        self.set_up_backups(_TOKENS, allowed=True)

    def set_up_backups(self, tokens, *, allowed):
        self.harness.view.update_if_newer(_with_backups(allowed), 'test')
        parts = self.harness.parts
        attempt_parts = attrs.evolve(parts.attempt_parts, backup_tokens=tokens)
        self.harness.parts = attrs.evolve(parts, attempt_parts=attempt_parts)

    def logged(self, *names):
        _args, fields = self.log_event.call_args
        return [fields[name] for name in names]

    def run_stream(self, *scripts, route=ONE_RUN):
        return self.harness.run(relay_samples.call(route), *scripts)

    def sent_headers(self):
        return [dict(one.headers) for one in self.harness.exchange.sent]

    def counted(self, outcome):
        name = 'balsamreach_relay_backups_total'
        return self.harness.metrics.counted(name, outcome=outcome)

    @parameterized.expand(
        (
            ('one_event', event(1), _REST, '1'),
            ('two_events', event(1) + event(2), event(3), '2'),
            ('repeated', event(1) + event(2), _REST, '2'),
            ('partial', event(1) + event(2)[:7], _REST, '1'),
        )
    )
    def test_stream_continues(self, _, first, second, last_id):
        """Guards against lost, repeated, joined and doubly billed events."""
        caller_response = self.run_stream(
            answer(200, first, end=_CLOSED, x_from='1'),
            answer(200, second, x_from='2'),
        )
        self.assertEqual(caller_response.body, event(1) + _REST)
        self.assertTrue(caller_response.complete)
        self.assertEqual(caller_response.headers['x-from'], '1')
        self.assertEqual(self.spending.used, [_TOKENS + 3 * 7])
        backup = self.backup.entry
        before, after = self.sent_headers()
        self.assertEqual(before['Kv-Backup'], backup.address)
        self.assertNotIn('Kv-From', before)
        self.assertEqual(after['Kv-From'], f'{backup.address}/{REQUEST}')
        self.assertEqual(after['Last-Event-Id'], last_id)
        self.assertNotIn('Kv-Backup', after)
        self.assertEqual(self.counted('continued'), 1)
        logged = self.logged('backup', 'backup_used')
        self.assertEqual(logged, [backup.incarnation, True])
        steps = self.harness.retry_budget._steps[ENGINES]
        self.assertEqual([step.retries for step in steps], [1])

    @parameterized.expand(
        (
            ('no_copy', answer(503, not_executed='1'), b''),
            ('dies_too', answer(200, event(2), end=_CLOSED), event(2)),
            ('refuses', _REFUSED, b''),
            ('silent', answer(200, end=SILENT), b''),
            ('misdirected', answer(421), b''),
            ('fails', answer(500, b'no'), b''),
            ('event_missing', answer(200, event(3)), b''),
            ('late_answer', answer(200, _REST, attempt_id='another'), b''),
        )
    )
    def test_continuation_fails(self, _, script, more):
        """The stream is aborted, and no third engine runs the request.

        A refused connection permits another attempt to other requests, and
        a rejection means that they didn't run; this one did.
        """
        caller_response = self.run_stream(_DIES, script)
        self.assertTrue(caller_response.aborted)
        self.assertEqual(caller_response.body, event(1) + more)
        self.assertEqual(len(self.harness.exchange.sent), 2)
        self.assertEqual(self.spending.used, [_TOKENS + (1 + bool(more)) * 7])
        self.assertEqual(self.logged('ran'), [True])
        self.assertEqual(self.counted('failed'), 1)

    @parameterized.expand(
        (
            ('silent', answer(200, event(1), end=SILENT)),
            ('cut_by_router', answer(200, event(1), end=BROKEN)),
            ('no_event', answer(200, event(1)[:7], end=_CLOSED)),
            ('late_answer', answer(200, event(1), attempt_id='another')),
            ('no_id', answer(200, b'data: x\n\n', end=_CLOSED)),
            (
                'ended_within_event',
                answer(
                    200,
                    event(1) + event(2)[:7],
                    transfer_encoding='chunked',
                ),
            ),
            ('gap', answer(200, event(1) + event(3), end=_CLOSED)),
        )
    )
    def test_first_engine_may_still_run(self, _, script):
        """Two engines must not run one request at the same time.

        Only an engine that closed its connection has stopped; and without
        an event with an id there is no point to continue from, even if the
        caller has an earlier event.
        """
        call = relay_samples.call(ONE_RUN, last_event='0')
        caller_response = self.harness.run(call, script)
        self.assertFalse(
            caller_response.complete and caller_response.status < 300
        )
        self.assertEqual(len(self.harness.exchange.sent), 1)
        self.assertEqual(self.counted('not_used'), 1)

    @parameterized.expand(
        (
            ('left', 'remove'),
            ('leaves', 'mark_leaving'),
            ('evacuated', 'evacuate'),
            ('refuses_connections', 'open_breaker'),
            ('reported_by_others', 'report_failure'),
            ('zone_unreachable', 'cut_off_zone'),
            ('no_retry_left', 'use_up_retries'),
        )
    )
    def test_backup_becomes_unavailable(self, _, change):
        """The stream must not go to an engine that takes no requests."""
        script = _DyingAfter(partial(getattr(self, change), self.backup))
        caller_response = self.run_stream(script)
        self.assertTrue(caller_response.aborted)
        self.assertEqual(len(self.harness.exchange.sent), 1)

    def remove(self, backup):
        self.places.remove(backup.entry.target_id)

    def mark_leaving(self, backup):
        self.places.put(attrs.evolve(backup.entry, leaving=True))

    def evacuate(self, backup):
        zone = backup.entry.zone
        order = Evacuation(zone=zone, version=5, in_force=True)
        self.harness.evacuations.put(order, 'test')

    def open_breaker(self, backup):
        self.harness.chooser.record_failure(backup, certain=True)

    def report_failure(self, backup):
        now = self.harness.clock.now()
        report = FailureReport(backup.incarnation, REFUSED, 'peer', now)
        ReceivedFailures(self.harness.chooser.failures).receive(report)

    def cut_off_zone(self, backup):
        zones = self.harness.chooser.failures.zones
        for target in ('far-1', 'far-2'):
            zones.record_timeout(backup.entry.zone, target)

    def use_up_retries(self, _backup):
        allow_retry = self.harness.retry_budget.allow_retry
        self.assertIn(False, [allow_retry(ENGINES) for _ in range(9)])

    @parameterized.expand(
        (
            ('longest_prompt', ONE_RUN, _TOKENS, True, True),
            ('long_prompt', ONE_RUN, _TOKENS - 1, True, False),
            ('off', ONE_RUN, 0, True, False),
            ('service_without', ONE_RUN, _TOKENS, False, False),
            ('resumable', STREAM, _TOKENS, True, False),
            ('plain', PLAIN, _TOKENS, True, False),
        )
    )
    def test_header(self, _, route, tokens, allowed, expected):
        """Copies cost memory and transfer, so no other request has one."""
        harness = RelayHarness()
        self.harness = harness
        self.set_up_backups(tokens, allowed=allowed)
        self.run_stream(answer(200, event(1)), route=route)
        sent = [set(headers) for headers in self.sent_headers()]
        self.assertEqual(['Kv-Backup' in names for names in sent], [expected])
        self.assertEqual(self.counted('not_needed'), expected)

    def test_engine_of_another_release_gets_no_copy(self):
        """Guards against a backup that continues with other pieces."""
        for place in self.places.of_service(ENGINES):
            place.entry = attrs.evolve(place.entry, release=place.incarnation)
        self.run_stream(answer(200, event(1)))
        self.assertEqual(self.logged('backup'), [None])

    def test_engine_excluded_by_reports_gets_no_copy(self):
        """Guards against copies at an engine that has just failed."""
        self.report_failure(self.backup)
        self.run_stream(answer(200, event(1)))
        other = self.sent_headers()[0]['Kv-Backup']
        self.assertNotEqual(other, self.backup.entry.address)

    def test_continuation_gives_no_speed_sample(self):
        """An engine that processes no prompt would look very fast."""
        engines = self.harness.chooser.engines
        engines.shares_speeds = lambda: True
        prompt = Prompt(model='m', tokens=9000, max_output_tokens=50, parts=())
        self.set_up_backups(prompt.tokens, allowed=True)
        call = attrs.evolve(relay_samples.call(ONE_RUN), prompt=prompt)
        speeds = engines.costs.speeds
        self.harness.run(call, self.after(0.1, _DIES), self.after(0.04, _OK))
        self.assertEqual(len(self.harness.exchange.sent), 2)
        samples = speeds.take_gathered(9)
        self.assertNotIn('other', [sample.engine for sample in samples])
        self.assertEqual(len(samples), 1)

    def after(self, seconds, script):
        return _Late(partial(self.harness.clock.advance, seconds), script)

    def test_retry_gets_no_backup(self):
        """Guards against copies that add load while engines fail."""
        caller_response = self.run_stream(_REFUSED, _DIES)
        self.assertTrue(caller_response.aborted)
        first, second = self.sent_headers()
        self.assertIn('Kv-Backup', first)
        self.assertNotIn('Kv-Backup', second)

    def test_caller_leaves_during_switch(self):
        """The backup engine must not stay busy for a caller that has left."""
        self.harness.exchange.scripts = [_DyingAfter(self.hang)]
        asyncio.run(self._leave())
        self.assertEqual(len(self.harness.exchange.sent), 2)
        busy = [place.running for place in self.places]
        self.assertEqual(set(busy), {0})
        self.assertEqual(self.spending.used, [_TOKENS + 7])

    def hang(self):
        self.harness.exchange.hang = True

    async def _leave(self):
        call = relay_samples.call(ONE_RUN)
        run = RelayRun(self.harness.parts, call, RecordingResponse())
        task = asyncio.ensure_future(run.run())
        for _ in range(3):
            await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


class ChoiceTest(unittest.TestCase):
    """The backup engine outlives a failure of the first one's zone."""

    @parameterized.expand(
        (
            ('other_zone', [('near', 'a', 0), ('far', 'b', 9)], 'far'),
            ('least_loaded', [('far', 'b', 3), ('idle', 'c', 1)], 'idle'),
            ('same_zone', [('near', 'a', 4), ('idle', 'a', 1)], 'idle'),
            ('none', [], 'none'),
        )
    )
    def test_choice(self, _, others, expected):
        first = _place('first', 'a', 0)
        candidates = [first, *(_place(*fields) for fields in others)]
        chosen = choose_backup(first, candidates, random.Random(1))
        found = 'none' if chosen is None else chosen.entry.target_id
        self.assertEqual(found, expected)

    def test_ties_are_broken_at_random(self):
        """Routers with the same data must not all fill one engine."""
        first = _place('first', 'a', 0)
        others = [_place(str(number), 'b', 0) for number in range(4)]
        rng = random.Random(1)
        chosen = {id(choose_backup(first, others, rng)) for _ in range(64)}
        self.assertEqual(len(chosen), 4)
