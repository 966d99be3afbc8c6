"""Search for the history of one request in the logs of many routers."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

_END_EVENTS = ('request_ended', 'request_refused', 'request_served')
#: Fields of every line that don't describe the request.
_COMMON_FIELDS = frozenset(('time', 'level', 'logger', 'event', 'host', 'zone'))
#: Events that changed the state on which a router bases its decisions.
_STATE_EVENTS = (
    'configuration_in_force',
    'store_feed_lost',
    'store_feed_back',
    'router_ready',
    'router_leaving',
)
_TARGET_EVENTS = ('target_listed', 'target_learnt')


@attrs.frozen(order=True)
class LogLine:
    """One log line.

    Parameters
    ----------
    time : str
        Wall-clock time in ISO format, as the router logged it.
    host : str
        Router that wrote the line.
    event : str
        Name of the event.
    fields : dict
        Fields of the event that are not empty.
    """

    time: str
    host: str
    event: str
    fields: dict[str, Any] = attrs.field(order=False)


@attrs.define
class RequestHistory:
    """The log lines that explain one request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    lines : list of LogLine
        Lines about the request and, if it is a stream that its caller took up
        again, about the other attempts at it, ordered by time.
    beliefs : list of LogLine
        Lines of the same routers, up to the end of the request, about the
        state they based decisions on: the newest per router and event, and
        all about targets that the request was sent to.
    """

    request_id: str
    lines: list[LogLine] = attrs.field(factory=list)
    beliefs: list[LogLine] = attrs.field(factory=list)

    @property
    def end_line(self) -> LogLine | None:
        """The last line about the end of the request, None without one."""
        ends = [line for line in self.lines if line.event in _END_EVENTS]
        return ends[-1] if ends else None


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines in lines of text and skip all others.

    Log collectors may add a prefix to a line, so parsing starts at its first
    brace.
    """
    for text in texts:
        start = text.find('{')
        line = _parse(text[start:]) if start >= 0 else None
        if line is not None:
            yield line


def find_request(request_id: str, lines: Iterable[LogLine]) -> RequestHistory:
    """Return the history of one request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    lines : iterable of LogLine
        Log lines of any number of routers, in any order.
    """
    ordered = sorted(lines)
    history = RequestHistory(request_id)
    related = _find_related(request_id, ordered)
    history.lines = [
        line for line in ordered if line.fields.get('request_id') in related
    ]
    if history.lines:
        history.beliefs = _find_state_lines(history.lines, ordered)
    return history


def _find_related(request_id: str, lines: list[LogLine]) -> set[str]:
    """Return the ids of all attempts of a caller at the same stream."""
    streams = {
        line.fields['request_id']: line.fields['resumes']
        for line in lines
        if 'resumes' in line.fields and 'request_id' in line.fields
    }
    stream = streams.get(request_id, request_id)
    later = {other for other, first in streams.items() if first == stream}
    return {request_id, stream, *later}


def _find_state_lines(
    request_lines: list[LogLine], ordered: list[LogLine]
) -> list[LogLine]:
    hosts = {line.host for line in request_lines}
    attempted = ' '.join(
        str(attempt)
        for line in request_lines
        for attempt in line.fields.get('targets', ())
    )
    newest: dict[tuple[str, str], LogLine] = {}
    targets = []
    for line in ordered:
        if line.host not in hosts or line.time > request_lines[-1].time:
            continue
        if line.event in _STATE_EVENTS:
            newest[line.host, line.event] = line
        elif (
            line.event in _TARGET_EVENTS and line.fields['target'] in attempted
        ):
            targets.append(line)
    return sorted([*newest.values(), *targets])


def _parse(text: str) -> LogLine | None:
    try:
        fields = json.loads(text)
    except ValueError:
        return None
    if not isinstance(fields, dict) or 'event' not in fields:
        return None
    kept = {
        name: value
        for name, value in fields.items()
        if name not in _COMMON_FIELDS and value not in (None, '', [])
    }
    return LogLine(
        fields.get('time', ''),
        fields.get('host', ''),
        fields['event'],
        kept,
    )
