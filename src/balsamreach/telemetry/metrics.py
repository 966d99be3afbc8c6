"""Counters, gauges and latencies, rendered as Prometheus text."""

import math
from collections.abc import Iterator

import attrs
from hdrh.histogram import HdrHistogram

#: Media type of the rendered text.
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
#: Maximum number of label sets per name; measurements with further label sets
#: are dropped and counted.
MAX_SERIES = 1000
#: Counter of measurements dropped because of that limit.
DROPPED = 'balsamreach_metrics_dropped_total'

_MICROSECONDS = 1_000_000
_MAX_MICROSECONDS = 3600 * _MICROSECONDS
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.9, 0.99, 0.999)

Labels = tuple[tuple[str, str], ...]


class Latencies:
    """Histogram of the latencies of one series since the process started."""

    def __init__(self):
        self.total: float = 0
        self._histogram = HdrHistogram(
            1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS
        )

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return self._histogram.get_total_count()

    def record(self, seconds: float) -> None:
        """Record one latency; one above an hour counts as an hour."""
        self.total += seconds
        micros = math.ceil(seconds * _MICROSECONDS)
        self._histogram.record_value(min(max(micros, 1), _MAX_MICROSECONDS))

    def quantile(self, share: float) -> float:
        """Return the latency in seconds at a quantile from 0 to 1."""
        micros = self._histogram.get_value_at_percentile(share * 100)
        return micros / _MICROSECONDS


@attrs.define
class Metrics:
    """Registry of all metrics of one process.

    Names are Prometheus names; those of counters end in ``_total``, those of
    latencies in ``_seconds``. Each name is used for one type of metric only.
    """

    max_series: int = MAX_SERIES
    _counters: dict[str, dict[Labels, float]] = attrs.field(
        factory=dict,
        init=False,
    )
    _gauges: dict[str, dict[Labels, float]] = attrs.field(
        factory=dict,
        init=False,
    )
    _latencies: dict[str, dict[Labels, Latencies]] = attrs.field(
        factory=dict,
        init=False,
    )

    def count(self, name: str, amount: float = 1, **labels: object) -> None:
        """Add to a counter."""
        series = self._counters.setdefault(name, {})
        sorted_labels = _sort_labels(labels)
        if self._accepts_series(series, sorted_labels):
            series[sorted_labels] = series.get(sorted_labels, 0) + amount

    def gauge(self, name: str, amount: float, **labels: object) -> None:
        """Set a gauge."""
        series = self._gauges.setdefault(name, {})
        sorted_labels = _sort_labels(labels)
        if self._accepts_series(series, sorted_labels):
            series[sorted_labels] = amount

    def observe(self, name: str, seconds: float, **labels: object) -> None:
        """Record one latency."""
        series = self._latencies.setdefault(name, {})
        sorted_labels = _sort_labels(labels)
        if not self._accepts_series(series, sorted_labels):
            return
        if sorted_labels not in series:
            series[sorted_labels] = Latencies()
        series[sorted_labels].record(seconds)

    def counted(self, name: str, **labels: object) -> float:
        """Return the current value of a counter, 0 if it does not exist."""
        return self._counters.get(name, {}).get(_sort_labels(labels), 0)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format, sorted."""
        lines = [
            *_render_values('counter', self._counters),
            *_render_values('gauge', self._gauges),
            *_render_summaries(self._latencies),
        ]
        return ''.join(f'{line}\n' for line in lines)

    def _accepts_series(
        self, series: dict[Labels, object], labels: Labels
    ) -> bool:
        # Label values from callers' input could otherwise create series
        # without limit and exhaust the memory; the metrics page would grow
        # without end. The counter of dropped measurements shows it happened.
        if labels in series or len(series) < self.max_series:
            return True
        dropped = self._counters.setdefault(DROPPED, {})
        dropped[()] = dropped.get((), 0) + 1
        return False


def _sort_labels(labels: dict[str, object]) -> Labels:
    pairs = ((name, str(text)) for name, text in labels.items())
    return tuple(sorted(pairs))


def _render_values(
    kind: str,
    metrics: dict[str, dict[Labels, float]],
) -> Iterator[str]:
    for name, series in sorted(metrics.items()):
        yield f'# TYPE {name} {kind}'
        for labels, amount in sorted(series.items()):
            yield _render_line(name, labels, amount)


def _render_summaries(
    metrics: dict[str, dict[Labels, Latencies]],
) -> Iterator[str]:
    for name, series in sorted(metrics.items()):
        yield f'# TYPE {name} summary'
        for labels, latencies in sorted(series.items(), key=_by_labels):
            for share in _QUANTILES:
                quantile_labels = (*labels, ('quantile', str(share)))
                yield _render_line(
                    name, quantile_labels, latencies.quantile(share)
                )
            yield _render_line(f'{name}_sum', labels, latencies.total)
            yield _render_line(f'{name}_count', labels, latencies.count)


def _by_labels(entry: tuple[Labels, Latencies]) -> Labels:
    return entry[0]


def _render_line(name: str, labels: Labels, number: float) -> str:
    # Prometheus accepts integers of any length. A rounded format would hide
    # the increase of a large counter of tokens between two scrapes.
    formatted = repr(number)
    if not labels:
        return f'{name} {formatted}'
    pairs = []
    for label, text in labels:
        escaped = _escape(text)
        pairs.append(f'{label}="{escaped}"')
    joined = ','.join(pairs)
    return f'{name}{{{joined}}} {formatted}'


def _escape(text: str) -> str:
    escaped = text.replace('\\', r'\\')
    return escaped.replace('"', r'\"').replace('\n', r'\n')
