"""Plots of latency, refusals and edit propagation of a scenario."""

import math
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import attrs
from matplotlib.axes import Axes
from matplotlib.axis import Axis
from matplotlib.figure import Figure
from matplotlib.ticker import FormatStrFormatter

from bench.callers import Outcome
from bench.report import Report
from bench.series import Series

_SIZE = (8, 9)
_DPI = 110
_MS = 1000
_LATEST_S = 600
_ALPHA = 0.15


@attrs.frozen
class _Panel:
    """One diagram of the figure."""

    axes: Axes
    series: Series

    def title(self, title: str, across: str, upwards: str) -> None:
        self.axes.set_title(title, loc='left', fontsize=10)
        self.axes.set_xlabel(across)
        self.axes.set_ylabel(upwards)
        self.axes.grid(visible=True, alpha=_ALPHA)

    def log(self, set_scale: Callable[[str], None], axis: Axis) -> None:
        set_scale('log')
        axis.set_major_formatter(FormatStrFormatter('%g'))
        axis.set_minor_formatter(FormatStrFormatter('%g'))

    def shade_outages(self) -> None:
        latest = max(map(self.moment, self.series.outcomes), default=0)
        for outage in self.series.outages:
            since = outage.since - self.series.began
            until = min(outage.until - self.series.began, latest)
            self.axes.axvspan(since, until, alpha=_ALPHA, color='tab:red')

    def moment(self, outcome: Outcome) -> float:
        return outcome.began_at - self.series.began


def draw(report: Report, directory: Path) -> Path:
    """Write a plot of a report's series as PNG and return the path."""
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f'{report.scenario}.png'
    series = report.series
    figure = Figure(figsize=_SIZE, dpi=_DPI, layout='constrained')
    figure.suptitle(f'{report.scenario}, seed {report.seed}')
    panels = [_draw_paths] if series.paths else [_draw_times, _draw_refusals]
    if series.routed_s:
        panels.append(_draw_added)
    if series.in_force_s:
        panels.append(_draw_in_force)
    for number, draw_panel in enumerate(panels, start=1):
        axes = figure.add_subplot(len(panels), 1, number)
        draw_panel(_Panel(axes, series))
    figure.savefig(path)
    return path


def _draw_times(panel: _Panel) -> None:
    complete = [
        outcome for outcome in panel.series.outcomes if outcome.is_complete
    ]
    moments = [panel.moment(outcome) for outcome in complete]
    taken = [outcome.took_s * _MS for outcome in complete]
    panel.axes.plot(moments, taken, '.', markersize=2)
    panel.log(panel.axes.set_yscale, panel.axes.yaxis)
    panel.shade_outages()
    panel.title('whole answers (red: no platform)', 'asked at, s', 'took, ms')


def _draw_refusals(panel: _Panel) -> None:
    refused = [outcome for outcome in panel.series.outcomes if outcome.refused]
    base: Counter[int] = Counter()
    for code in sorted({outcome.code for outcome in refused}):
        seconds = Counter(
            math.floor(panel.moment(outcome))
            for outcome in refused
            if outcome.code == code
        )
        bottom = [base[second] for second in seconds]
        panel.axes.bar(
            list(seconds),
            list(seconds.values()),
            bottom=bottom,
            label=code,
        )
        base.update(seconds)
    if refused:
        panel.axes.legend(fontsize=8)
    latest = max(map(panel.moment, panel.series.outcomes), default=1)
    panel.axes.set_xlim(0, min(latest, _LATEST_S))
    panel.title(f'refusals: {len(refused)}', 'asked at, s', 'a second')


def _draw_added(panel: _Panel) -> None:
    lines = (
        ('direct', panel.series.direct_s),
        ('router', panel.series.routed_s),
    )
    for name, seconds in lines:
        _draw_shares(panel, [taken * _MS for taken in seconds], name)
    panel.log(panel.axes.set_xscale, panel.axes.xaxis)
    panel.axes.legend(fontsize=8)
    panel.title('small requests, by turns', 'took, ms', 'share')


def _draw_in_force(panel: _Panel) -> None:
    _draw_shares(panel, panel.series.in_force_s, 'edits')
    panel.axes.set_xlim(left=0)
    panel.title('time until an edit is in force', 's', 'share')


def _draw_shares(panel: _Panel, amounts: list[float], name: str) -> None:
    ordered = sorted(amounts)
    shares = [rank / len(ordered) for rank in range(1, len(ordered) + 1)]
    panel.axes.step(ordered, shares, where='post', label=name)


def _draw_paths(panel: _Panel) -> None:
    for name, quantiles in panel.series.paths.items():
        panel.axes.plot(
            list(quantiles),
            list(quantiles.values()),
            'o-',
            label=name,
        )
    panel.log(panel.axes.set_yscale, panel.axes.yaxis)
    panel.axes.legend(fontsize=8)
    panel.title('time of a token on its way', 'quantile', 'ms')
