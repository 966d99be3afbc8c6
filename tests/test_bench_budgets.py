"""Small runs of the budget benchmark; checks counts, not timings."""

import unittest

from parameterized import parameterized

from bench.budget_runs import Scenario, measure
from bench.budget_trace import Load
from bench.budgets import settings
from bench.routing_loop import run_virtually

_LOAD = Load(routers=4, teams=3, rate=4, length=40)
_NO_FAULT = Scenario(_LOAD)
_UNDERFUNDED = Scenario(_LOAD, fund=0.5)
_PARTITION = Scenario(_LOAD, fund=1, top_up=1, begin=0.3, end=0.7, cuts=True)
_PLATFORM_DOWN = Scenario(_LOAD, begin=0.3, end=0.7, down=True)
_LOST_ANSWERS = Scenario(_LOAD, losing=0.3)


def _run(scenario, policy='escrow', posture='strict'):
    cfg = settings(posture)
    return run_virtually(measure(scenario, cfg, policy, seed=1))


class BudgetsBenchTest(unittest.TestCase):
    """Invariants of every run."""

    @parameterized.expand(
        [
            (name, posture, scenario)
            for name, scenario in (
                ('calm', _NO_FAULT),
                ('spent', _UNDERFUNDED),
                ('cut', _PARTITION),
                ('down', _PLATFORM_DOWN),
                ('losing', _LOST_ANSWERS),
            )
            for posture in ('strict', 'lenient')
        ]
    )
    def test_books_balance(self, name, posture, scenario):
        """Nothing is overspent or left unbilled."""
        figures = _run(scenario, posture=posture)
        self.assertEqual(figures['overspend_tokens'], 0)
        self.assertEqual(figures['breaches'], 0)
        self.assertEqual(figures['unbilled_tokens'], 0)
        self.assertGreater(figures['requests'], 500)

    @parameterized.expand([('central',), ('static',)])
    def test_baselines_keep_the_budget(self, policy):
        """Baselines don't overspend, else a comparison would mean nothing."""
        figures = _run(_UNDERFUNDED, policy)
        self.assertEqual(figures['overspend_tokens'], 0)
        self.assertGreater(figures['refused_share'], 0)

    def test_same_seed_same_figures(self):
        """Two runs with the same seed have equal figures."""
        self.assertEqual(_run(_PARTITION), _run(_PARTITION))

    def test_cut_is_told_from_reachable(self):
        """False refusals are counted separately while there is no platform."""
        partition = _run(_PARTITION)
        self.assertEqual(_run(_NO_FAULT)['false_away_share'], 0)
        refused, up, away = (
            round(partition[f'{name}_share'] * partition['requests'])
            for name in ('refused', 'false_up', 'false_away')
        )
        self.assertGreater(away, 0)
        self.assertGreaterEqual(refused, up + away)
