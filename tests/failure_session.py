"""Records a session with failures as text for a golden file."""

import asyncio
import contextlib
import logging
import re

import attrs

from balsamreach.budget.auditor import Auditor
from balsamreach.services.base import Scan
from tests.deployment import Answer, parse_answer
from tests.failure_deployment import TEAM, FailureDeployment
from tests.golden_support import normalise

_MAX_CHECKS = 2000
_CHECK_INTERVAL_S = 0.02
_LAST_CHUNK = b'0\r\n\r\n'
_GENERATED_WORDS = re.compile(r'[0-9a-f]{8}-\d+( [0-9a-f]{8}-\d+){3,}')
_TIMESTAMP = re.compile(r'"at": [\d.]+')
_ENGINE_NAME = re.compile(r'engine-\d+(@[\w-]+)?')
# Which fault a draw gets first while the table service is unreachable depends
# on timing: its own request fails or times out, or a failure shortly before
# is remembered. Only the message is replaced, not the code and ``ran``.
_UNREACHABLE_MESSAGE = re.compile(
    r'"message": "(table service: platform_(unknown|unavailable|unreachable)'
    r'|the draw takes too long)"',
)
_CONNECTION_BROKEN = '(the connection broke)'


class _EventCollector(logging.Handler):
    """Collects log events of all routers in this process."""

    def __init__(self, names: frozenset[str]) -> None:
        super().__init__()
        self.names = names
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Store the event if its name is selected."""
        fields = getattr(record, 'event_fields', None)
        if fields is not None and record.getMessage() in self.names:
            self.lines.append(_format_event(record.getMessage(), fields))


@attrs.define(eq=False)
class FailureSession:
    """The text of one session.

    Parameters
    ----------
    deployment : FailureDeployment
        The routers, the platform and the targets.
    events : frozenset of str
        Names of the log events to write; they are sorted, with repetitions.
    """

    deployment: FailureDeployment
    events: frozenset[str] = frozenset()
    lines: list[str] = attrs.field(factory=list)
    _collector: _EventCollector = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Attach the handler that collects events."""
        self._collector = _EventCollector(self.events)
        logger = logging.getLogger('balsamreach')
        logger.addHandler(self._collector)
        logger.setLevel(logging.INFO)

    def add_step(self, text: str) -> None:
        """Write a line that describes what the test does next."""
        self.lines.extend((f'--- {text}', ''))

    def add_section(self, title: str, text: str) -> None:
        """Write a section."""
        plain = text.replace('\r\n', '\n').rstrip('\n')
        self.lines.extend((f'=== {title}', plain, ''))

    async def send(self, title: str, address: str, sent: bytes) -> Answer:
        """Send a request and write it and its answer."""
        return self.add_exchange(
            title, sent, await send_and_receive(address, sent)
        )

    def add_exchange(self, title: str, sent: bytes, received: bytes) -> Answer:
        """Write a request and the bytes received for it."""
        self.add_section(f'caller: {title}', _omit_headers(sent.decode()))
        return self.add_answer('answer', received)

    def add_answer(self, title: str, received: bytes) -> Answer:
        """Write an answer, or the part received before the connection broke."""
        if not received:
            self.add_section(title, _CONNECTION_BROKEN)
            return Answer('', b'')
        answer = parse_answer(received)
        body = answer.body.decode()
        if answer.header('Transfer-Encoding') and not received.endswith(
            _LAST_CHUNK
        ):
            body += _CONNECTION_BROKEN
        self.add_section(title, f'{_omit_headers(answer.head)}\r\n\r\n{body}')
        return answer

    async def send_until(
        self,
        title: str,
        address: str,
        sent: bytes,
        status: int = 200,
    ) -> Answer:
        """Repeat a request until it gets a status; write the last answer."""
        for _ in range(_MAX_CHECKS):
            received = await send_and_receive(address, sent)
            if parse_answer(received).status == status:
                return self.add_exchange(title, sent, received)
            await asyncio.sleep(_CHECK_INTERVAL_S)
        raise AssertionError(f'never answered {status}: {received!r}')

    async def wait_for_bills(self, count: int) -> None:
        """Wait until at least ``count`` bills are recorded."""
        for _ in range(_MAX_CHECKS):
            if len(await self.recorded_bills()) >= count:
                return
            await asyncio.sleep(_CHECK_INTERVAL_S)
        raise AssertionError(f'bills: {await self.recorded_bills()}')

    async def wait_until_closed(self, except_incarnation: str) -> None:
        """Wait until no other incarnation has open allotments."""
        for _ in range(_MAX_CHECKS):
            page = await self.deployment.store.scan(Scan('allotment/'))
            held = [row.key for row in page.rows if not row.value['closed']]
            if all(except_incarnation in key for key in held):
                return
            await asyncio.sleep(_CHECK_INTERVAL_S)
        raise AssertionError(f'still open: {held}')

    async def wait_until_reclaimed(self) -> None:
        """Wait until no tokens of a router that has gone are stranded."""
        for _ in range(_MAX_CHECKS):
            report = await Auditor(self.deployment.store).audit()
            if not report.stranded:
                return
            await asyncio.sleep(_CHECK_INTERVAL_S)
        raise AssertionError(f'still stranded: {report.stranded}')

    async def recorded_bills(self) -> list[str]:
        """Return the key and the tokens of each recorded bill."""
        page = await self.deployment.store.scan(Scan('bill/'))
        return sorted(
            f'{row.key} {row.value["tokens"]}' for row in page.rows if row.value
        )

    async def add_audit(
        self, title: str = 'books', *, exact: bool = True
    ) -> None:
        """Audit the budget and write the sums and the bills.

        With ``exact`` false, held, stranded and free tokens are written as
        one sum.
        """
        report = await Auditor(self.deployment.store).audit()
        sums = report.teams[TEAM]
        breaches = [str(breach) for breach in report.breaches]
        account = sums.account
        within_prepaid = 'yes' if sums.recorded <= account.prepaid else 'NO'
        stranded = sum(one.tokens for one in report.stranded)
        held = sum(one.outstanding for one in sums.allotments.values())
        totals = (
            f'held by routers {held - stranded}, stranded {stranded}, '
            f'free {account.free}'
        )
        if not exact:
            # How much a router has drawn ahead, and how much of it a killed
            # router may have lent, depends on timing; the sum does not.
            totals = f'held, stranded and free {held + account.free}'
        text = (
            f'prepaid {account.prepaid}, recorded {sums.recorded}, {totals}',
            f'recorded within prepaid: {within_prepaid}',
            f'broken invariants: {", ".join(breaches) or "none"}',
            *await self.recorded_bills(),
        )
        self.add_section(title, '\n'.join(text))

    def add_runs(self, *keys: str) -> None:
        """Write how many requests the targets have started.

        Engines do not receive the caller's key, so all their requests are
        counted; those of the plain service are counted by key.
        """
        service = self.deployment.service.core
        lines = [
            f'engine-{number} began {len(engine.core.runs)}'
            for number, engine in enumerate(self.deployment.running_engines)
        ]
        lines.extend(f'desk-0 ran {key}: {service.runs[key]}' for key in keys)
        self.add_section('runs so far', '\n'.join(lines))

    def add_counters(self, *prefixes: str) -> None:
        """Write counters, summed over the routers in this process.

        Parameters
        ----------
        *starts : str
            Prefixes of the names of the counters.
        """
        sums: dict[str, float] = {}
        for router in self.deployment.routers:
            for line in router.parts.metrics.render().split('\n'):
                name, _, number = line.rpartition(' ')
                if name.startswith(prefixes):
                    sums[name] = sums.get(name, 0) + float(number)
        shown = [f'{name} {number:g}' for name, number in sums.items()]
        self.add_section('counters', '\n'.join(sorted(shown)))

    def end(self, *logged: dict[str, object]) -> str:
        """Return the normalised session.

        Parameters
        ----------
        *logged : dict
            Events that routers in other processes logged.
        """
        lines = self._collector.lines.copy()
        lines.extend(
            _format_event(str(fields['event']), fields)
            for fields in logged
            if fields['event'] in self.events
        )
        if self.events:
            self.add_section('events', '\n'.join(sorted(lines)))
        logging.getLogger('balsamreach').removeHandler(self._collector)
        text = _GENERATED_WORDS.sub(_shorten_reply, '\n'.join(self.lines))
        text = _UNREACHABLE_MESSAGE.sub(
            '"message": "the table service is away"', text
        )
        return normalise(_TIMESTAMP.sub('"at": TIME', text))


async def send_and_receive(address: str, sent: bytes) -> bytes:
    """Send bytes and return the bytes received until the connection ends."""
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent)
    received = b''
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(65536):
            received += chunk
    writer.close()
    return received


_OMITTED_HEADERS = (
    'connection:',
    'content-length:',
    'date:',
    'etag:',
    'host:',
    'server:',
)
_EVENT_FIELDS = ('request_id', 'team', 'reason', 'target', 'source')


def _omit_headers(head: str) -> str:
    # These headers are irrelevant to the session.
    kept = [
        line
        for line in head.split('\r\n')
        if not line.lower().startswith(_OMITTED_HEADERS)
    ]
    return '\r\n'.join(kept)


def _shorten_reply(found: re.Match[str]) -> str:
    """Shorten a complete reply to its first and last words.

    A reply with missing words is not changed.
    """
    words = found.group().split()
    prefix = words[0].rpartition('-')[0]
    complete = [f'{prefix}-{index}' for index in range(len(words))]
    return f'{words[0]} .. {words[-1]}' if words == complete else found.group()


def _format_event(event: str, fields) -> str:
    shown = [
        f'{name}={fields[name]}'
        for name in _EVENT_FIELDS
        if fields.get(name) is not None
    ]
    # The choice of the engine is not deterministic.
    return _ENGINE_NAME.sub('ENGINE', ' '.join((event, *shown)))
