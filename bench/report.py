"""Report of a scenario: its figures and the broken promises."""

import json
from pathlib import Path
from typing import Any

import attrs

from bench.series import Series

#: Figures that must be zero in every run, with the promise that each checks.
PROMISES = {
    'overspend_tokens': "a team's spend stays within its prepaid budget",
    'double_bills': 'each request is billed once',
    'missing_bills': 'each request is billed',
    'wrong_answers': 'a caller gets the complete answer to its own request',
    'ran_though_refused': 'a request reported as not run was not run',
    'cut_by_shutdown': 'a graceful shutdown cuts off no request',
    'late_work': 'a leaving target gets no new work after a few seconds',
}
#: Figures of every scenario whose callers send requests.
COMMON_KEYS = (
    'overspend_tokens',
    'false_refusals',
    'refusals',
    'double_bills',
    'missing_bills',
    'non_idempotent_max_runs',
    'cut_streams',
    'wrong_answers',
    'added_p50_ms',
    'added_p99_ms',
    'requests_per_core_s',
    'control_bytes_s',
    'platform_writes_per_1000',
)
_MAX_RUNS_KEY = 'non_idempotent_max_runs'


@attrs.define
class Report:
    """Figures of one scenario.

    Parameters
    ----------
    scenario : str
        Name of the scenario.
    seed : int
        Seed of its random numbers.
    figures : dict
        Figures by the keys used in the documentation.
    baseline : dict
        Figures of the baseline in the same run.
    series : Series
        Data for the plot.
    """

    scenario: str
    seed: int
    figures: dict[str, Any] = attrs.field(factory=dict)
    baseline: dict[str, Any] = attrs.field(factory=dict)
    series: Series = attrs.field(factory=Series)

    def broken_promises(self) -> list[str]:
        """Return a message for each promise that the run found broken."""
        broken = [
            f'{promise}: {key} = {self.figures[key]}'
            for key, promise in PROMISES.items()
            if self.figures.get(key)
        ]
        runs = self.figures.get(_MAX_RUNS_KEY, 0)
        if runs > 1:
            broken.append(f'a non-idempotent request ran {runs} times')
        return broken

    def as_json(self) -> dict[str, Any]:
        """Return the content of the JSON file."""
        head = {'scenario': self.scenario, 'seed': self.seed}
        return head | self.figures | {'baseline': self.baseline}

    def write(self, directory: Path) -> Path:
        """Write the JSON file and return its path."""
        directory.mkdir(parents=True, exist_ok=True)
        path = directory / f'{self.scenario}.json'
        text = json.dumps(self.as_json(), indent=2)
        path.write_text(f'{text}\n')
        return path

    def table(self) -> str:
        """Return the figures as a table for printing."""
        keys = [*self.figures, *(self.baseline.keys() - self.figures.keys())]
        lines = [f'{self.scenario:<28}{"measured":>14}{"baseline":>14}']
        for key in keys:
            measured = _format(self.figures.get(key))
            lines.append(
                f'  {key:<26}{measured:>14}{self._format_baseline(key):>14}'
            )
        return '\n'.join(lines)

    def _format_baseline(self, key: str) -> str:
        return _format(self.baseline.get(key))


def _format(figure: Any) -> str:
    if figure is None:
        return ''
    if isinstance(figure, list):
        return ' '.join(f'{part:.1f}' for part in figure)
    if isinstance(figure, dict):
        return ' '.join(f'{name}={part}' for name, part in figure.items())
    return f'{figure:.2f}' if isinstance(figure, float) else str(figure)
