"""Records sessions and compares them to golden files.

A session consists of the requests and answers of callers, the bills in the
table service, logged events and some counters. Values that differ between
runs are replaced before the comparison: the Date header, keys minted by a
router, ids of engines and routers, span ids, ports, creation times and the
lengths that depend on these.
``BALSAMREACH_REWRITE_GOLDEN=1`` overwrites the files with the new sessions.
"""

import asyncio
import logging
import os
import re
from pathlib import Path

import attrs

from balsamreach.services.base import Scan
from tests.deployment import Deployment, exchange, parse_answer, until

REWRITE_VARIABLE = 'BALSAMREACH_REWRITE_GOLDEN'
_DIRECTORY = Path(__file__).parent / 'golden'
_EVENT_NAMES = frozenset(('request_served',))
_COUNTERS = ('balsamreach_streams_', 'balsamreach_requests_total')
_EVENT_FIELDS = ('request_id', 'team', 'reason', 'status', 'ran')
_REPLACEMENTS = (
    (re.compile(r'Date: [^\r\n]+'), 'Date: DATE'),
    (re.compile(r'~[0-9a-f]{32}'), '~MINTED'),
    (re.compile(r'[0-9a-f]{32}'), 'ID'),
    (re.compile(r'00-ID-[0-9a-f]{16}'), '00-ID-SPAN'),
    (re.compile(r'chatcmpl-[\w-]+'), 'chatcmpl-ID'),
    (re.compile(r'(X-Engine-Request): [\w-]+', re.IGNORECASE), r'\1: ID'),
    (re.compile(r'127\.0\.0\.1:\d+'), '127.0.0.1:PORT'),
    (re.compile(r'"created": ?\d+'), '"created": TIME'),
    (re.compile(r'Content-Length: \d+'), 'Content-Length: LENGTH'),
    (re.compile(r'Etag: "\w+"'), 'Etag: "HASH"'),
)


class _EventCollector(logging.Handler):
    """Collects the selected log events."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Store those fields of an event that are the same in every run."""
        fields = getattr(record, 'event_fields', None)
        if fields is None or record.getMessage() not in _EVENT_NAMES:
            return
        shown = ' '.join(
            f'{name}={fields[name]}'
            for name in _EVENT_FIELDS
            if fields.get(name) is not None
        )
        self.lines.append(f'{record.getMessage()} {shown}')


@attrs.define
class Session:
    """The text of one session.

    Parameters
    ----------
    deployment : Deployment
        Deployment to which the callers send requests.
    """

    deployment: Deployment
    lines: list[str] = attrs.field(factory=list)
    _sent_requests: int = 0
    _collector: _EventCollector = attrs.field(factory=_EventCollector)

    def __attrs_post_init__(self) -> None:
        logger = logging.getLogger('balsamreach')
        logger.addHandler(self._collector)
        logger.setLevel(logging.INFO)

    async def send(self, title: str, sent: bytes) -> None:
        """Send a request and write it and its answer."""
        self._sent_requests += 1
        received = await exchange(self.deployment.callers, sent)
        answer = parse_answer(received)
        self._add_section(f'caller: {title}', sent.decode())
        body = answer.body.decode()
        self._add_section('router', f'{answer.head}\r\n\r\n{body}')

    async def end(self, bills: int) -> str:
        """Wait for a number of bills and return the normalised session."""
        found: list[str] = []
        for _ in range(1000):
            page = await self.deployment.store.scan(Scan('bill/'))
            found = [
                f'{row.key} {row.value["tokens"]}'
                for row in page.rows
                if row.value
            ]
            if len(found) >= bills:
                break
            await asyncio.sleep(0.005)
        self._add_section('bills', '\n'.join(sorted(found)))
        events = self._collector.lines
        # The event of a request is logged after its last byte is sent.
        await until(lambda: len(events) >= self._sent_requests)
        self._add_section('events', '\n'.join(events))
        parts = self.deployment.routers[0].parts
        lines = parts.metrics.render().split('\n')
        counters = [line for line in lines if line.startswith(_COUNTERS)]
        self._add_section('counters', '\n'.join(counters))
        logging.getLogger('balsamreach').removeHandler(self._collector)
        return normalise('\n'.join(self.lines))

    def _add_section(self, title: str, text: str) -> None:
        plain = text.replace('\r\n', '\n').rstrip('\n')
        self.lines.extend((f'=== {title}', plain, ''))


def normalise(text: str) -> str:
    """Replace values that differ between runs."""
    for pattern, replacement in _REPLACEMENTS:
        text = pattern.sub(replacement, text)
    return text


def golden_text(name: str, session: str) -> str:
    """Return the text of a golden file, after rewriting it on request."""
    path = _DIRECTORY / f'{name}.txt'
    if os.environ.get(REWRITE_VARIABLE) == '1':
        path.parent.mkdir(exist_ok=True)
        path.write_text(session, encoding='utf-8')
    return path.read_text(encoding='utf-8')
