"""Small runs of the budget benchmark; only counts are checked."""

import unittest

from parameterized import parameterized

from bench.budget_runs import Scenario, measure
from bench.budget_trace import Load
from bench.budgets import settings
from bench.routing_loop import run_virtually

_LOAD = Load(routers=4, teams=3, rate=4, length=40)
_NO_FAILURES = Scenario(_LOAD)
_SMALL_BUDGETS = Scenario(_LOAD, fund=0.5)
_PARTITION = Scenario(_LOAD, fund=1, top_up=1, begin=0.3, end=0.7, cuts=True)
_OUTAGE = Scenario(_LOAD, begin=0.3, end=0.7, down=True)
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
                ('calm', _NO_FAILURES),
                ('spent', _SMALL_BUDGETS),
                ('cut', _PARTITION),
                ('down', _OUTAGE),
                ('losing', _LOST_ANSWERS),
            )
            for posture in ('strict', 'lenient')
        ]
    )
    def test_budget_invariants(self, name, posture, scenario):
        """No tokens are overspent or left unbilled."""
        figures = _run(scenario, posture=posture)
        self.assertEqual(figures['overspend_tokens'], 0)
        self.assertEqual(figures['breaches'], 0)
        self.assertEqual(figures['unbilled_tokens'], 0)
        self.assertGreater(figures['requests'], 500)

    @parameterized.expand([('central',), ('static',)])
    def test_baselines_do_not_overspend(self, policy):
        """A baseline policy that overspends is no valid comparison."""
        figures = _run(_SMALL_BUDGETS, policy)
        self.assertEqual(figures['overspend_tokens'], 0)
        self.assertGreater(figures['refused_share'], 0)

    def test_same_seed_gives_same_figures(self):
        """Two runs with the same seed return the same figures."""
        self.assertEqual(_run(_PARTITION), _run(_PARTITION))

    def test_refusals_during_partition_are_counted_separately(self):
        """False refusals during an outage are counted separately."""
        partition = _run(_PARTITION)
        self.assertEqual(_run(_NO_FAILURES)['false_away_share'], 0)
        refused, false_up, false_away = (
            round(partition[f'{name}_share'] * partition['requests'])
            for name in ('refused', 'false_up', 'false_away')
        )
        self.assertGreater(false_away, 0)
        self.assertGreaterEqual(refused, false_up + false_away)
