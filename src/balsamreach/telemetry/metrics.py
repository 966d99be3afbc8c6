"""Counters, gauges and latencies, rendered as Prometheus text."""

import math
from collections.abc import Iterator

import attrs
from hdrh.histogram import HdrHistogram

#: Media type of the rendered text.
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
#: Most label sets per name; what goes beyond is counted and left out.
MOST_SERIES = 1000
#: Counter of measurements left out for want of room.
DROPPED = 'balsamreach_metrics_dropped_total'

_MICROSECONDS = 1_000_000
_LONGEST = 3600 * _MICROSECONDS
_DIGITS = 2
_QUANTILES = (0.5, 0.9, 0.99, 0.999)

Labels = tuple[tuple[str, str], ...]


class Latencies:
    """Latencies of one series since the start of the process."""

    def __init__(self):
        self.total: float = 0
        self._histogram = HdrHistogram(1, _LONGEST, _DIGITS)

    @property
    def count(self) -> int:
        """Number of latencies recorded."""
        return self._histogram.get_total_count()

    def record(self, seconds: float) -> None:
        """Record one latency; beyond an hour it counts as an hour."""
        self.total += seconds
        micros = math.ceil(seconds * _MICROSECONDS)
        self._histogram.record_value(min(max(micros, 1), _LONGEST))

    def quantile(self, share: float) -> float:
        """Return the latency in seconds that a share stays within."""
        micros = self._histogram.get_value_at_percentile(share * 100)
        return micros / _MICROSECONDS


@attrs.define
class Metrics:
    """Everything one process measures; passed to whoever measures.

    Names are Prometheus names, counters ending in ``_total`` and latencies
    in ``_seconds``. One name is only ever one kind of metric.
    """

    most_series: int = MOST_SERIES
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
        labelled = _sort_labels(labels)
        if self._has_room(series, labelled):
            series[labelled] = series.get(labelled, 0) + amount

    def gauge(self, name: str, amount: float, **labels: object) -> None:
        """Set a gauge."""
        series = self._gauges.setdefault(name, {})
        labelled = _sort_labels(labels)
        if self._has_room(series, labelled):
            series[labelled] = amount

    def observe(self, name: str, seconds: float, **labels: object) -> None:
        """Record one latency."""
        series = self._latencies.setdefault(name, {})
        labelled = _sort_labels(labels)
        if not self._has_room(series, labelled):
            return
        if labelled not in series:
            series[labelled] = Latencies()
        series[labelled].record(seconds)

    def counted(self, name: str, **labels: object) -> float:
        """Return a counter's present number, 0 if it never counted."""
        return self._counters.get(name, {}).get(_sort_labels(labels), 0)

    def render(self) -> str:
        """Return all metrics in the Prometheus text form, sorted."""
        lines = [
            *_render_plain('counter', self._counters),
            *_render_plain('gauge', self._gauges),
            *_render_summaries(self._latencies),
        ]
        return ''.join(f'{line}\n' for line in lines)

    def _has_room(self, series: dict[Labels, object], labels: Labels) -> bool:
        # A label taken from a caller's words could otherwise fill the memory
        # one series at a time; it would show as a page that grows without
        # end. The counter of dropped measurements tells that it happened.
        if labels in series or len(series) < self.most_series:
            return True
        dropped = self._counters.setdefault(DROPPED, {})
        dropped[()] = dropped.get((), 0) + 1
        return False


def _sort_labels(labels: dict[str, object]) -> Labels:
    pairs = ((name, str(text)) for name, text in labels.items())
    return tuple(sorted(pairs))


def _render_plain(
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
                marked = (*labels, ('quantile', str(share)))
                yield _render_line(name, marked, latencies.quantile(share))
            yield _render_line(f'{name}_sum', labels, latencies.total)
            yield _render_line(f'{name}_count', labels, latencies.count)


def _by_labels(entry: tuple[Labels, Latencies]) -> Labels:
    return entry[0]


def _render_line(name: str, labels: Labels, number: float) -> str:
    # Prometheus reads whole numbers of any length; a rounded form would make
    # a large counter of tokens stand still between two scrapes.
    written = repr(number)
    if not labels:
        return f'{name} {written}'
    pairs = []
    for label, text in labels:
        escaped = _escape(text)
        pairs.append(f'{label}="{escaped}"')
    joined = ','.join(pairs)
    return f'{name}{{{joined}}} {written}'


def _escape(text: str) -> str:
    escaped = text.replace('\\', r'\\')
    return escaped.replace('"', r'\"').replace('\n', r'\n')
