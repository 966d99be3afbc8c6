"""Smoke run of every benchmark scenario; checks counts, not timings."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from parameterized import parameterized

from bench.__main__ import SCENARIOS
from bench.report import COMMON_KEYS

_ROOT = Path(__file__).resolve().parents[2]
_PARALLEL_RUNS = 4
_SABOTAGED_RUN = 'sabotaged'
_SCENARIO_KEYS = {
    'steady': {'in_force_p99_s'},
    'leaving': {'in_force_p99_s', 'late_work', 'cut_by_shutdown'},
    'relay': {'chunk_cpu_us', 'pump_cpu_us'},
}
#: Keys that a scenario does not report. `relay` lacks these since it reads
#: streams as bytes, for a team without a limited budget.
_MISSING_KEYS = {
    'relay': {
        'false_refusals',
        'non_idempotent_max_runs',
        'requests_per_core_s',
    },
}


def _run(directory: str, name: str) -> subprocess.CompletedProcess[str]:
    options = [name]
    out = directory
    if name == _SABOTAGED_RUN:
        options = ['skew', '--sabotage']
        out = f'{directory}/{name}'
    paths = os.pathsep.join((str(_ROOT / 'src'), str(_ROOT)))
    return subprocess.run(
        (sys.executable, '-m', 'bench', *options, '--smoke', '--out', out),
        cwd=_ROOT,
        env=os.environ | {'PYTHONPATH': paths},
        capture_output=True,
        text=True,
        timeout=200,
        check=False,
    )


class ScenarioTest(unittest.TestCase):
    """Runs all scenarios, a few in parallel, and checks the reports."""

    @classmethod
    def setUpClass(cls) -> None:
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.out = Path(directory.name)
        names = (*SCENARIOS, _SABOTAGED_RUN)
        with ThreadPoolExecutor(_PARALLEL_RUNS) as pool:
            runs = pool.map(lambda name: _run(directory.name, name), names)
            cls.runs = dict(zip(names, runs, strict=True))

    @parameterized.expand([(name,) for name in SCENARIOS])
    def test_keeps_every_promise(self, name: str) -> None:
        result = self.runs[name]
        self.assertEqual(result.returncode, 0, result.stderr)
        figures = json.loads((self.out / f'{name}.json').read_text())
        self.assertEqual(figures['seed'], 1)
        self.assertEqual(figures['wrong_answers'], 0)
        common = set(COMMON_KEYS) - _MISSING_KEYS.get(name, set())
        self.assertLessEqual(common, figures.keys())
        self.assertLessEqual(_SCENARIO_KEYS.get(name, set()), figures.keys())
        self.assertTrue(figures['baseline'])
        self.assertTrue((self.out / f'{name}.png').stat().st_size)

    def test_progress_is_a_table(self) -> None:
        result = self.runs['steady']
        self.assertRegex(result.stderr, 'steady +sent +open +answered')

    def test_overspend_fails_the_run(self) -> None:
        """A run with tampered spend fails and names the broken promise."""
        result = self.runs[_SABOTAGED_RUN]
        self.assertEqual(result.returncode, 1)
        self.assertIn('overspend_tokens', result.stderr)
