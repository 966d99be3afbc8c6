"""Finds a request's story in the log lines of many routers."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

_ENDS = ('request_ended', 'request_refused', 'request_served')
#: Fields of every line that say nothing of a request.
_PLAIN = frozenset(('time', 'level', 'logger', 'event', 'host', 'zone'))
#: Events that changed what a router believed when it decided.
_BELIEFS = (
    'configuration_in_force',
    'store_feed_lost',
    'store_feed_back',
    'router_ready',
    'router_leaving',
)
_TARGETS = ('target_listed', 'target_learnt')


@attrs.frozen(order=True)
class Line:
    """One log line.

    Parameters
    ----------
    time : str
        Wall time as its router wrote it.
    host : str
        Router that wrote it.
    event : str
        Name of the event.
    fields : dict
        All that the event says, its empty fields left out.
    """

    time: str
    host: str
    event: str
    fields: dict[str, Any] = attrs.field(order=False)


@attrs.define
class Story:
    """What log lines say of one request.

    Parameters
    ----------
    request_id : str
        The request.
    lines : list of Line
        Its own lines, in order.
    beliefs : list of Line
        Lines of the same routers, before its end, that tell what they knew:
        the newest of each kind, and all of the targets it went to.
    """

    request_id: str
    lines: list[Line] = attrs.field(factory=list)
    beliefs: list[Line] = attrs.field(factory=list)

    @property
    def deciding(self) -> Line | None:
        """The line that says how the request ended."""
        ends = [line for line in self.lines if line.event in _ENDS]
        return ends[-1] if ends else None


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines among lines of text; what is none is left out.

    Collectors put words of their own before a line, so it begins at its
    first brace.
    """
    for text in texts:
        start = text.find('{')
        line = _parse(text[start:]) if start >= 0 else None
        if line is not None:
            yield line


def tell_story(request_id: str, lines: Iterable[Line]) -> Story:
    """Return the story of one request.

    Parameters
    ----------
    request_id : str
        The request.
    lines : iterable of Line
        Lines of any number of routers.
    """
    ordered = sorted(lines)
    story = Story(request_id)
    story.lines = [
        line for line in ordered if line.fields.get('request_id') == request_id
    ]
    if story.lines:
        story.beliefs = _beliefs(story.lines, ordered)
    return story


def _beliefs(own: list[Line], ordered: list[Line]) -> list[Line]:
    hosts = {line.host for line in own}
    told = ' '.join(
        str(attempt)
        for line in own
        for attempt in line.fields.get('targets', ())
    )
    newest: dict[tuple[str, str], Line] = {}
    targets = []
    for line in ordered:
        if line.host not in hosts or line.time > own[-1].time:
            continue
        if line.event in _BELIEFS:
            newest[line.host, line.event] = line
        elif line.event in _TARGETS and line.fields['target'] in told:
            targets.append(line)
    return sorted([*newest.values(), *targets])


def _parse(text: str) -> Line | None:
    try:
        fields = json.loads(text)
    except ValueError:
        return None
    if not isinstance(fields, dict) or 'event' not in fields:
        return None
    said = {
        name: value
        for name, value in fields.items()
        if name not in _PLAIN and value not in (None, '', [])
    }
    return Line(
        fields.get('time', ''),
        fields.get('host', ''),
        fields['event'],
        said,
    )
