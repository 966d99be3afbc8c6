"""Small runs of the budget benchmark; checks counts, not timings."""

import unittest

from parameterized import parameterized

from bench.budget_runs import Scenario, measure
from bench.budget_trace import Load
from bench.budgets import settings
from bench.routing_loop import run_virtually

_LOAD = Load(routers=4, teams=3, rate=4, length=40)
_CALM = Scenario(_LOAD)
_SPENT = Scenario(_LOAD, fund=0.5)
_CUT = Scenario(_LOAD, fund=1, top_up=1, begin=0.3, end=0.7, cuts=True)
_DOWN = Scenario(_LOAD, begin=0.3, end=0.7, down=True)
_LOSING = Scenario(_LOAD, losing=0.3)


def _run(scenario, policy='escrow', posture='strict'):
    cfg = settings(posture)
    return run_virtually(measure(scenario, cfg, policy, seed=1))


class BudgetsBenchTest(unittest.TestCase):
    """Invariants of every run."""

    @parameterized.expand(
        [
            (name, posture, scenario)
            for name, scenario in (
                ('calm', _CALM),
                ('spent', _SPENT),
                ('cut', _CUT),
                ('down', _DOWN),
                ('losing', _LOSING),
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
        figures = _run(_SPENT, policy)
        self.assertEqual(figures['overspend_tokens'], 0)
        self.assertGreater(figures['refused_share'], 0)

    def test_same_seed_same_figures(self):
        """Two runs with the same seed have equal figures."""
        self.assertEqual(_run(_CUT), _run(_CUT))

    def test_cut_is_told_from_reachable(self):
        """False refusals are counted separately while there is no platform."""
        cut = _run(_CUT)
        self.assertEqual(_run(_CALM)['false_away_share'], 0)
        refused, up, away = (
            round(cut[f'{name}_share'] * cut['requests'])
            for name in ('refused', 'false_up', 'false_away')
        )
        self.assertGreater(away, 0)
        self.assertGreaterEqual(refused, up + away)
