"""Tests of the decision which parts of prompts crash targets."""

import unittest

from parameterized import parameterized

from balsamreach.routing.part_suspects import (
    PartBreak,
    PartKey,
    PartState,
    PartSuspects,
)

_PART = PartKey('llm', 'model-a', 'dead')
_HOUR = 3600.0
_RAN_S = 0.05
FREE, ON_TRIAL, QUARANTINED = PartState


def _break(at, number, ran=_RAN_S, fingerprint=''):
    """Return a break of a request at a target, both by their number."""
    return PartBreak(
        f'target-{number}', fingerprint or f'request-{number}', at - ran, at
    )


class PartSuspectsTest(unittest.TestCase):
    """Breaks, answers and time decide what may be done with a part."""

    def setUp(self):
        self.suspects = PartSuspects()

    def crash(self, *breaks, others=True):
        """Record breaks of the part, and an answer without it."""
        for broken in breaks:
            self.suspects.record_break(_PART, broken)
            if others:
                self.suspects.record_service_answer('llm', broken.broke_at)

    def assert_state(self, state, now=10.0):
        """Check what may be done with requests that have the part."""
        self.assertIs(self.suspects.state(_PART, now), state)

    @parameterized.expand(
        [
            ('one_crash', [_break(1, 1)], FREE),
            ('two_crashes', [_break(1, 1), _break(2, 2)], ON_TRIAL),
            (
                'three_crashes',
                [_break(1, 1), _break(2, 2), _break(3, 3)],
                QUARANTINED,
            ),
            (
                'many_targets_at_once',
                [_break(1 + number / 100, number) for number in range(5)],
                FREE,
            ),
            ('reported_late', [_break(2, 2), _break(1, 1)], ON_TRIAL),
            (
                'many_at_once_and_two_later',
                [
                    *(_break(1 + number / 100, number) for number in range(30)),
                    _break(2, 98),
                    _break(3, 99),
                ],
                QUARANTINED,
            ),
            (
                'one_target',
                [_break(1, 1), _break(2, 1, fingerprint='other')],
                FREE,
            ),
            (
                'one_request_again',
                [_break(at, at, fingerprint='same') for at in (1, 2, 3)],
                FREE,
            ),
            (
                'sent_before_the_last_crash',
                [_break(1, 1), _break(2, 2, ran=1.5)],
                FREE,
            ),
        ]
    )
    def test_breaks(self, _name, breaks, state):
        """Guards against too few crashes, and against blame for one cause."""
        self.crash(*breaks)
        self.assert_state(state)

    @parameterized.expand(
        [
            ('before_all', 0.0, ON_TRIAL),
            ('just_before', 1.5, FREE),
            ('between', 2.5, FREE),
            ('after', 4.0, FREE),
        ]
    )
    def test_answer_clears(self, _name, answered_at, state):
        """Guards against quarantining a part that targets answer."""
        breaks = [_break(2.2, 1), _break(3, 2)]
        answered = False
        for broken in breaks:
            if not answered and answered_at < broken.broke_at:
                self.suspects.record_answer(_PART, answered_at)
                answered = True
            self.crash(broken)
        if not answered:
            self.suspects.record_answer(_PART, answered_at)
        self.assert_state(state)

    def test_service_that_answers_nobody(self):
        """Guards against blaming a part for a service that fails for all."""
        self.crash(*(_break(at, at) for at in (1, 2, 3)), others=False)
        self.assert_state(ON_TRIAL)
        self.suspects.record_service_answer('llm', 3.5)
        self.crash(_break(4, 4))
        self.assert_state(QUARANTINED)

    def test_answer_lifts_quarantine(self):
        """Guards against keeping a part out that an old stream disproves."""
        self.crash(*(_break(at, at) for at in (1, 2, 3)))
        self.assertTrue(self.suspects.record_answer(_PART, 3.5))
        self.assert_state(FREE)
        self.assertTrue(self.suspects.is_empty())

    def test_other_models_and_services_bear_the_part(self):
        """Guards against refusing a part where it harms nobody."""
        self.crash(*(_break(at, at) for at in (1, 2, 3)))
        for key in (
            PartKey('llm', 'model-b', 'dead'),
            PartKey('other', 'model-a', 'dead'),
        ):
            self.assertIs(self.suspects.state(key, 4), FREE)

    def test_trials_follow_one_another(self):
        """Guards against several trials of one part at once."""
        self.crash(_break(1, 1), _break(2, 2))
        self.assertFalse(self.suspects.may_try(_PART, 2.4, 0))
        self.assertTrue(self.suspects.may_try(_PART, 2.6, 0))
        self.assertFalse(self.suspects.may_try(_PART, 2.6, 0.5))
        self.assertTrue(self.suspects.record_trial(_PART, 2.6))
        self.assertFalse(self.suspects.record_trial(_PART, 2.7))
        self.assertFalse(self.suspects.may_try(_PART, 3.5, 0))
        self.assertTrue(self.suspects.may_try(_PART, 3.7, 0))

    def test_quarantine_ends_with_a_trial(self):
        """Guards against three more crashes each time a quarantine ends."""
        self.crash(*(_break(at, at) for at in (1, 2, 3)))
        self.assert_state(QUARANTINED, _HOUR)
        self.assert_state(ON_TRIAL, _HOUR + 4)
        self.crash(_break(_HOUR + 5, 4))
        self.assert_state(QUARANTINED, _HOUR + 6)

    def test_decision_of_another_router(self):
        """Guards against crashes that each router has to see by itself."""
        self.assertTrue(self.suspects.quarantine(_PART, 5))
        self.assertFalse(self.suspects.quarantine(_PART, 5))
        self.assert_state(QUARANTINED)

    def test_decision_that_an_answer_disproves(self):
        """Guards against believing a router that has seen no answer."""
        self.suspects.record_answer(_PART, 4)
        self.assertFalse(self.suspects.quarantine(_PART, 5))
        self.assert_state(FREE)

    def test_records_are_bounded(self):
        """Guards against callers that name ever new parts."""
        for number in range(5000):
            key = PartKey('llm', 'model-a', str(number))
            self.suspects.record_break(key, _break(1, 1))
            self.suspects.record_answer(_PART, number)
        self.crash(*(_break(at, at) for at in (1, 2, 3)))
        self.assertIs(
            self.suspects.state(PartKey('llm', 'model-a', '0'), 4), FREE
        )
        self.assertEqual(len(self.suspects.quarantined()), 0)
