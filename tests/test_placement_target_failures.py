"""Tests of what failures of targets do to the choice of targets."""

import logging
import random
import unittest
from unittest import mock

import attrs
from parameterized import parameterized

from balsamreach.dispatch.upstream import ConnectFailure
from balsamreach.placement.failure_evidence import (
    RECOVERED,
    REFUSED,
    SILENT,
    TIMED_OUT,
    FailureReport,
)
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.placement.silent_exchanges import RunningExchanges
from tests.failure_fleet import engines, join
from tests.fake_net import FakeNet
from tests.relay_samples import DESK, entry
from tests.support import FakeClock

_TIMEOUT = ConnectFailure.TIMED_OUT


class FailureTestCase(unittest.TestCase):
    """One router of a fleet with hubs, which knows nine engines."""

    hubs = 2

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.clock = FakeClock()
        desk = [entry('d1', DESK), entry('d2', DESK)]
        net = FakeNet(hubs_per_zone=self.hubs)
        self.router = join(
            net, self.clock, 'me', 'zone-a', [*engines(9), *desk]
        )
        self.tracker = self.router.tracker
        self.sent = []
        self.tracker.on_report = self.sent.append

    def receive(self, outcome=REFUSED, source='other', **fields):
        """Receive a report on an engine."""
        age = fields.pop('age', 0)
        report = FailureReport(
            fields.pop('target', 'e1'),
            outcome,
            source,
            self.clock.now() - age,
            **fields,
        )
        return self.router.sharing.received.receive(report)

    def outcomes(self):
        return [(one.target, one.outcome) for one in self.sent]


class ReportsTest(FailureTestCase):
    """Reports exclude what fails, and what works for a second at most."""

    @parameterized.expand(
        (
            ('refused', [(REFUSED, 'a')], False),
            ('one_timed_out', [(TIMED_OUT, 'a')], True),
            ('two_timed_out', [(TIMED_OUT, 'a'), (TIMED_OUT, 'b')], False),
            ('doubled', [(TIMED_OUT, 'a'), (TIMED_OUT, 'a')], True),
            ('one_silent', [(SILENT, 'a/1')], True),
            ('two_silent', [(SILENT, 'a/1'), (SILENT, 'a/2')], False),
            ('silent_doubled', [(SILENT, 'a/1'), (SILENT, 'a/1')], True),
            ('mixed', [(SILENT, 'a/1'), (TIMED_OUT, 'b')], True),
            ('recovered', [(REFUSED, 'a'), (RECOVERED, 'b')], True),
            ('again', [(REFUSED, 'a'), (RECOVERED, 'b'), (REFUSED, 'c')], 0),
        )
    )
    def test_reports(self, _, reports, allowed):
        for outcome, source in reports:
            self.clock.advance(0.01)
            self.receive(outcome, source)
        self.assertEqual(self.router.allows('e1'), bool(allowed))

    @parameterized.expand(
        (
            ('unknown_incarnation', {'target': 'e1@5'}, 'unknown'),
            ('before_recovery', {'age': 1}, 'outdated'),
        )
    )
    def test_ignored_report(self, _, fields, result):
        """Late reports, and those of another incarnation, change nothing."""
        self.receive(RECOVERED, age=0.5)
        self.assertEqual(self.receive(**fields), result)
        self.assertTrue(self.router.allows('e1'))

    @parameterized.expand(
        (
            ('newer_outcome', 'slow', 'e1', True),
            ('empty_outcome', '', 'e1', True),
            ('unknown_zone', TIMED_OUT, 'zone:no-such-zone', True),
            ('nameless_zone', TIMED_OUT, 'zone:', True),
            ('zone_seen_from_another', TIMED_OUT, 'zone:zone-b', False),
            ('zone_refused', REFUSED, 'zone:zone-b', True),
        )
    )
    def test_odd_report(self, _, outcome, target, is_local):
        """Reports that this release can't judge exclude nothing.

        A name that is no zone's would be kept for good.
        """
        for source in ('a', 'b'):
            result = self.receive(
                outcome, source, target=target, is_local=is_local
            )
            self.assertEqual(result, 'unknown')
        self.assertTrue(self.router.allows('e1'))
        self.assertTrue(self.tracker.zones.allows('zone-b'))
        self.assertIsNone(self.tracker.records.get(target))

    def test_state_is_bounded(self):
        """Hundreds of routers report the targets of a zone that is cut off.

        With all of their reports kept, each took longer than the one before:
        1,200 reports took 0.9 s of a core.
        """
        for number in range(400):
            self.receive(TIMED_OUT, f'reporter-{number}')
        evidence = self.tracker.records.get('e1')._evidence
        self.assertEqual(len(evidence), 2)
        self.clock.advance(2)
        self.receive(TIMED_OUT, 'last')
        accusations = self.router.sharing.received._accusations
        self.assertEqual(set(accusations._times), {'last', ''})

    @parameterized.expand(
        (
            ('late', [('a', 0.9), ('b', 0.8), ('c', 0.1), ('c', 0.1)], False),
            ('too_old', [('a', 1.2), ('b', 1.1), ('c', 0.1)], True),
        )
    )
    def test_newest_reports_confirm(self, _, reports, allowed):
        for source, age in reports:
            self.receive(TIMED_OUT, source, age=age)
        self.assertEqual(self.router.allows('e1'), allowed)

    def test_records_of_gone_targets_are_dropped(self):
        """Restarts must not add up, nor cost a search for each target."""
        records, places = self.tracker.records, self.router.places
        with mock.patch.object(
            places.__class__, 'find_incarnation', autospec=True
        ) as find:
            find.side_effect = lambda _self, name: name.startswith('e') or None
            for number in range(1000):
                gone = RelayTarget(entry(f'gone-{number}', DESK))
                records.of(gone)
                self.assertLessEqual(len(records._records), 64)
            for number in range(1000):
                records.of(RelayTarget(entry(f'e{number}', DESK)))
            self.assertLess(find.call_count, 5000)
        self.assertEqual(len(records._records), 1000)

    def test_log_is_bounded(self):
        """A crash of many targets fills no log; reports of old news none."""
        module = 'balsamreach.placement.failure_log'
        patcher = mock.patch(f'{module}.log_event')
        log_event = patcher.start()
        self.addCleanup(patcher.stop)
        for target in ('e0', 'e1', 'e2', 'e0'):
            self.receive(target=target, source=f'saw-{target}')
        for target in ('e4', 'e0', 'e1'):
            self.receive(RECOVERED, target=target)
        self.clock.advance(1)
        self.receive(target='e3')
        logged = [
            (*call.args[2:], call.kwargs['target'], call.kwargs['omitted'])
            for call in log_event.call_args_list
        ]
        self.assertEqual(
            logged,
            [
                ('target_excluded', 'e0', 0),
                ('target_recovered', 'e0', 0),
                ('target_excluded', 'e3', 2),
            ],
        )

    def test_confirmations_far_apart_don_t_count(self):
        """Guards against an exclusion for two unrelated time-outs."""
        self.receive(TIMED_OUT, 'a')
        self.clock.advance(1.1)
        self.assertEqual(self.receive(TIMED_OUT, 'b'), 'unconfirmed')

    def test_answered_exchange_refutes_report(self):
        """A router that has just got a response keeps its target."""
        exchange = self.tracker.begin(self.router.place('e1'), is_plain=False)
        self.tracker.record_response(exchange)
        self.assertEqual(self.receive(age=0.1), 'refuted')

    @parameterized.expand([(seed,) for seed in range(8)])
    def test_false_reports_exclude_for_a_second(self, seed):
        """Reports alone exclude a target that works for a second at most.

        One router of this zone and all of another one report the target again
        and again, as behind a partition that resets connections. This router
        sends it no request, so it has nothing to hold against the reports.
        """
        rng = random.Random(seed)
        excluded_at = None
        for step in range(1000):
            self.clock.advance(0.01)
            if not rng.randrange(5):
                self.receive(REFUSED, f'far-{rng.randrange(20)}')
                self.receive(REFUSED, 'near', is_local=True)
            if self.router.allows('e1'):
                excluded_at = None
            else:
                if excluded_at is None:
                    excluded_at = step
                self.assertLessEqual(step - excluded_at, 100)

    def test_probes_of_own_zone_prolong_exclusion(self):
        """A fleet doesn't need one refused probe from each router."""
        self.receive(REFUSED, 'a', is_local=True)
        for number in range(5):
            self.clock.advance(0.59)
            self.assertFalse(self.router.allows('e1'))
            self.receive(REFUSED, f'prober-{number}', is_local=True)
        self.clock.advance(1)
        self.assertTrue(self.router.allows('e1'))

    def test_one_request_probes(self):
        """Guards against all requests going to a target that is still down."""
        self.receive()
        self.clock.advance(0.999)
        self.assertTrue(self.router.allows('e1'))
        exchange = self.tracker.begin(self.router.place('e1'), is_plain=False)
        self.assertFalse(self.router.allows('e1'))
        self.tracker.record_response(exchange)
        self.assertTrue(self.router.allows('e1'))
        self.assertEqual(self.outcomes(), [('e1', RECOVERED)])

    def test_success_refutes_later_reports(self):
        """A target that others can't reach stays in use where it works.

        Routers behind a partition report it for as long as that lasts.
        """
        self.receive()
        self.clock.advance(1)
        self.router.answer('e1')
        self.clock.advance(2)
        self.assertEqual(self.receive(), 'repeated')
        self.assertTrue(self.router.allows('e1'))

    @parameterized.expand(((REFUSED, 0), (TIMED_OUT, 1)))
    def test_cut_off_reporter_is_ignored(self, outcome, confirmed):
        """A router that accuses all engines excludes none of them."""
        for number in range(9):
            if confirmed:
                self.receive(outcome, 'second', target=f'e{number}')
            self.receive(outcome, 'cut-off', target=f'e{number}')
        allowed = sum(self.router.allows(f'e{one}') for one in range(9))
        self.assertGreaterEqual(allowed, 6)

    def test_all_excluded_still_tries(self):
        """If all targets are excluded, a request still goes to one."""
        for name in ('d1', 'd2'):
            self.receive(target=name, source=f'reporter-{name}')
            self.assertFalse(self.router.allows(name))
        places = [self.router.place('d1'), self.router.place('d2')]
        self.assertEqual(self.tracker.usable(places, is_retry=False), places)

    def test_new_incarnation_starts_clean(self):
        """A restarted engine isn't excluded for its former failures."""
        self.receive()
        place = self.router.place('e1')
        self.router.places.put(attrs.evolve(place.entry, born=7, version=2))
        self.assertTrue(self.router.allows('e1'))
        self.assertEqual(self.receive(), 'unknown')

    def test_recovery_closes_breaker_after_own_refusal_only(self):
        """Others may reach a target over a path that this router lacks."""
        self.router.fail('e1')
        self.router.fail('e2', _TIMEOUT)
        self.clock.advance(0.1)
        self.receive(RECOVERED)
        self.receive(RECOVERED, target='e2')
        self.assertTrue(self.router.allows('e1'))
        self.assertFalse(self.router.allows('e2'))


class ObservationsTest(FailureTestCase):
    """What a router sees itself is reported, and excludes zones."""

    def test_timeout_of_cut_off_router_is_not_reported(self):
        """Guards against reports by a router whose own network has failed."""
        self.router.fail('e1', _TIMEOUT)
        self.assertEqual(self.sent, [])
        self.router.answer('e2')
        self.router.fail('e1', _TIMEOUT)
        self.assertEqual(self.outcomes(), [('e1', TIMED_OUT)])

    @parameterized.expand(
        (
            ('two_targets', ['e1', 'e4'], False),
            ('one_target', ['e1', 'e1'], True),
            ('reached_between', ['e1', '+e7', 'e4'], True),
            ('refused_between', ['e1', '-e7', 'e4'], True),
            ('other_zone_reached', ['e1', '+e2', 'e4'], False),
        )
    )
    def test_zone(self, _, events, allowed):
        """Time-outs at two targets of a zone exclude the zone."""
        for event in events:
            self.clock.advance(0.1)
            if event.startswith('+'):
                self.router.answer(event[1:])
            elif event.startswith('-'):
                self.router.fail(event[1:])
            else:
                self.router.fail(event, _TIMEOUT)
        self.assertEqual(self.tracker.zones.allows('zone-b'), allowed)

    def test_zone_pauses_grow_and_end(self):
        """A probe each 1, 2 and 4 s finds out whether the zone is back."""
        self.router.answer('e0')
        for name in ('e1', 'e4'):
            self.router.fail(name, _TIMEOUT)
        self.assertIn(('zone:zone-b', TIMED_OUT), self.outcomes())
        zones = self.tracker.zones
        for pause in (1, 2, 4, 4):
            self.clock.advance(pause - 0.01)
            self.assertFalse(zones.allows('zone-b'))
            self.clock.advance(0.01)
            self.assertTrue(zones.allows('zone-b'))
            zones.record_start('zone-b')
            self.assertFalse(zones.allows('zone-b'))
            self.router.fail('e7', _TIMEOUT)
        self.router.answer('e7')
        self.assertTrue(zones.allows('zone-b'))

    def test_reported_zone(self):
        """Two routers of this zone exclude a zone for a second."""
        zones = self.tracker.zones
        for source, allowed in (('a', True), ('a', True), ('b', False)):
            target = 'zone:zone-b'
            self.receive(TIMED_OUT, source, target=target, is_local=True)
            self.assertEqual(zones.allows('zone-b'), allowed)
        self.clock.advance(1)
        zones.record_start('zone-b')
        self.assertTrue(zones.allows('zone-b'))

    def test_unreachable_zone_is_used_if_there_is_no_other(self):
        """Guards against requests refused although a target is left."""
        for name in ('e1', 'e4'):
            self.router.fail(name, _TIMEOUT)
        far, near = self.router.place('e7'), self.router.place('e0')
        usable = self.tracker.usable
        self.assertEqual(usable([far, near], is_retry=False), [near])
        self.assertEqual(usable([far], is_retry=False), [far])

    def test_retry_avoids_probes(self):
        """A request that has failed once isn't used for a probe.

        While many engines are down, one request would probe several.
        """
        self.router.fail('e1')
        self.clock.advance(2)
        places = [self.router.place('e1'), self.router.place('e2')]
        usable = self.tracker.usable
        self.assertEqual(usable(places, is_retry=False), places)
        self.assertEqual(usable(places, is_retry=True), places[1:])


class SmallFleetTest(FailureTestCase):
    """Without hubs, only the breakers decide, as failures are not shared."""

    hubs = 0

    def usable(self, *, is_retry):
        places = [self.router.place(name) for name in ('e1', 'e4', 'e2')]
        usable = self.tracker.usable(places, is_retry=is_retry)
        return [one.incarnation for one in usable]

    @parameterized.expand(((False,), (True,)))
    def test_target_that_works_again_is_used(self, is_retry):
        """Retries avoided a target for good after one refused connection."""
        self.router.fail('e1')
        self.assertEqual(self.usable(is_retry=is_retry), ['e4', 'e2'])
        self.clock.advance(2)
        self.router.answer('e1')
        self.assertEqual(self.usable(is_retry=is_retry), ['e1', 'e4', 'e2'])
        self.assertFalse(self.tracker.records.get('e1').is_suspected)

    @parameterized.expand(((False,), (True,)))
    def test_zone_is_not_excluded(self, is_retry):
        """A probe of a zone would hold back all other requests to it."""
        for name in ('e1', 'e4'):
            self.router.fail(name, _TIMEOUT)
        self.clock.advance(2)
        self.tracker.begin(self.router.place('e1'), is_plain=False)
        expected = ['e1', 'e4', 'e2']
        self.assertEqual(self.usable(is_retry=is_retry), expected)


class SilenceTest(FailureTestCase):
    """Plain targets that hang get no new requests."""

    def begin(self, count):
        place = self.router.place('d1')
        return [self.tracker.begin(place, is_plain=True) for _ in range(count)]

    def learn(self, seconds):
        """Let the target answer as usual."""
        for _ in range(10):
            exchange = self.begin(1)[0]
            self.clock.advance(seconds)
            self.tracker.record_response(exchange)
            self.tracker.exchanges.learn(exchange)
            self.tracker.exchanges.end(exchange)

    @parameterized.expand(
        (
            ('two', 0.1, 2, 0.45, 2, False),
            ('one', 0.1, 1, 0.45, 1, True),
            ('too_early', 0.1, 2, 0.35, 0, True),
            ('floor', 0.01, 2, 0.2, 0, True),
            ('floor_exceeded', 0.01, 2, 0.26, 2, False),
            ('not_learned', 0, 2, 9, 0, True),
        )
    )
    def test_silence(self, _, usual, count, wait, reported, allowed):
        """Two unanswered requests mark a target; they go on untouched."""
        if usual:
            self.learn(usual)
        self.begin(count)
        self.clock.advance(wait)
        for _ in range(2):
            self.tracker.check_silent()
        self.assertEqual(self.outcomes().count(('d1', SILENT)), reported)
        self.assertEqual(self.router.allows('d1'), allowed)

    def test_saturated_link(self):
        """Responses that wait for this host's link are no sign of silence.

        All routers would leave targets that work, for as long as one host's
        link is saturated.
        """
        self.learn(0.01)
        self.begin(2)
        self.tracker.link_delayed = lambda: True
        self.clock.advance(0.3)
        self.tracker.check_silent()
        self.tracker.link_delayed = bool
        self.tracker.check_silent()
        self.assertNotIn(('d1', SILENT), self.outcomes())
        self.assertTrue(self.router.allows('d1'))

    def test_success_in_between(self):
        """A slow request is no sign of a target that hangs."""
        self.learn(0.01)
        for _ in range(3):
            self.begin(1)
            self.clock.advance(0.3)
            self.tracker.check_silent()
            self.assertTrue(self.router.allows('d1'))
            self.router.answer('d1')

    def test_engine_is_never_silent(self):
        """Guards against engines excluded for a long prompt."""
        running = RunningExchanges(self.clock)
        place = self.router.place('e1')
        for _ in range(20):
            running.learn(running.begin(place, is_plain=False))
        self.clock.advance(60)
        self.assertEqual(running.find_silent(), ())
