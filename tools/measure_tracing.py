"""Measure the CPU time of one request's spans, by share of traces kept."""

import io
import sys
import time

from balsamreach.config.faults import ConfigFault
from balsamreach.config.reader import read_settings
from balsamreach.telemetry import hops
from balsamreach.telemetry.traces import Tracing

_REQUESTS = 5000
_ROUNDS = 3
_SHARES = ('0%', '10%', '100%')
_HOPS = ('allotment', 'platform', 'queue', 'target')
_MICROSECONDS = 1_000_000


def measure(share: str) -> float:
    """Return the CPU time of the spans of one request in microseconds."""
    overrides = ('host.zone=zone-a', f'telemetry.trace_share={share}')
    cfg = read_settings(None, overrides)
    assert not isinstance(cfg, ConfigFault), cfg.reason
    tracing = Tracing(cfg, io.StringIO())
    began = time.process_time()
    for _ in range(_REQUESTS):
        _trace_request(tracing)
    used = time.process_time() - began
    return used / _REQUESTS * _MICROSECONDS


def _trace_request(tracing: Tracing) -> None:
    span = tracing.start_span('caller', {}, method='POST', kind='engine')
    with hops.following(hops.Trail(span, tracing)):
        for name in _HOPS:
            with hops.hop(name):
                hops.current_headers()
    span.end()


def main() -> None:
    """Print the minimum of several rounds for each share."""
    for share in _SHARES:
        minimum = min(measure(share) for _ in range(_ROUNDS))
        sys.stdout.write(f'{share}: {minimum:.0f} us a request\n')


if __name__ == '__main__':
    main()
