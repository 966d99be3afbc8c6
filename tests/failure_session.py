"""Records a session with failures as text for a golden file."""

import asyncio
import contextlib
import logging
import re

import attrs

from balsamreach.budget.auditor import Auditor
from balsamreach.services.base import Scan
from tests.deployment import Answer, parse_answer
from tests.failure_rig import TEAM, Rig
from tests.golden_support import normalise

_LOOKS = 2000
_PAUSE = 0.02
_END = b'0\r\n\r\n'
_REPLY = re.compile(r'[0-9a-f]{8}-\d+( [0-9a-f]{8}-\d+){3,}')
_MOMENT = re.compile(r'"at": [\d.]+')
_ENGINE = re.compile(r'engine-\d+(@[\w-]+)?')
# Which fault a draw gets first while the table service is unreachable depends
# on timing: its own request fails or times out, or a failure shortly before
# is remembered. Only the message is replaced, not the code and ``ran``.
_AWAY = re.compile(
    r'"message": "(table service: platform_(unknown|unavailable|unreachable)'
    r'|the draw takes too long)"',
)
_BROKEN = '(the connection broke)'


class _Events(logging.Handler):
    """Collects log events of all routers in this process."""

    def __init__(self, names: frozenset[str]) -> None:
        super().__init__()
        self.names = names
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Store the event if its name is selected."""
        fields = getattr(record, 'event_fields', None)
        if fields is not None and record.getMessage() in self.names:
            self.lines.append(_show(record.getMessage(), fields))


@attrs.define(eq=False)
class FailureSession:
    """The text of one session.

    Parameters
    ----------
    rig : Rig
        The routers, the platform and the targets.
    events : frozenset of str
        Names of the log events to write; they are sorted, with repetitions.
    """

    rig: Rig
    events: frozenset[str] = frozenset()
    lines: list[str] = attrs.field(factory=list)
    _logged: _Events = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Attach the handler that collects events."""
        self._logged = _Events(self.events)
        logger = logging.getLogger('balsamreach')
        logger.addHandler(self._logged)
        logger.setLevel(logging.INFO)

    def tell(self, text: str) -> None:
        """Write a line that describes what the test does next."""
        self.lines.extend((f'--- {text}', ''))

    def write(self, title: str, text: str) -> None:
        """Write a section."""
        plain = text.replace('\r\n', '\n').rstrip('\n')
        self.lines.extend((f'=== {title}', plain, ''))

    async def say(self, title: str, address: str, sent: bytes) -> Answer:
        """Send a request and write it and its answer."""
        return self.took(title, sent, await receive(address, sent))

    def took(self, title: str, sent: bytes, received: bytes) -> Answer:
        """Write a request and the bytes received for it."""
        self.write(f'caller: {title}', _shorten(sent.decode()))
        return self.answered('answer', received)

    def answered(self, title: str, received: bytes) -> Answer:
        """Write an answer, or the part received before the connection broke."""
        if not received:
            self.write(title, _BROKEN)
            return Answer('', b'')
        answer = parse_answer(received)
        body = answer.body.decode()
        if answer.header('Transfer-Encoding') and not received.endswith(_END):
            body += _BROKEN
        self.write(title, f'{_shorten(answer.head)}\r\n\r\n{body}')
        return answer

    async def say_until(
        self,
        title: str,
        address: str,
        sent: bytes,
        status: int = 200,
    ) -> Answer:
        """Repeat a request until it gets a status; write the last answer."""
        for _ in range(_LOOKS):
            received = await receive(address, sent)
            if parse_answer(received).status == status:
                return self.took(title, sent, received)
            await asyncio.sleep(_PAUSE)
        raise AssertionError(f'never answered {status}: {received!r}')

    async def wait_for_bills(self, count: int) -> None:
        """Wait until at least ``count`` bills are recorded."""
        for _ in range(_LOOKS):
            if len(await self.bills()) >= count:
                return
            await asyncio.sleep(_PAUSE)
        raise AssertionError(f'bills: {await self.bills()}')

    async def wait_until_closed(self, besides: str) -> None:
        """Wait until only the incarnation ``besides`` has open allotments."""
        for _ in range(_LOOKS):
            page = await self.rig.store.scan(Scan('allotment/'))
            held = [row.key for row in page.rows if not row.value['closed']]
            if all(besides in key for key in held):
                return
            await asyncio.sleep(_PAUSE)
        raise AssertionError(f'still open: {held}')

    async def bills(self) -> list[str]:
        """Return the key and the tokens of each recorded bill."""
        page = await self.rig.store.scan(Scan('bill/'))
        return sorted(
            f'{row.key} {row.value["tokens"]}' for row in page.rows if row.value
        )

    async def books(self, title: str = 'books', *, exact: bool = True) -> None:
        """Audit the budget and write the sums and the bills.

        With ``exact`` false, held, stranded and free tokens are written as
        one sum.
        """
        report = await Auditor(self.rig.store).audit()
        sums = report.teams[TEAM]
        breaches = [str(breach) for breach in report.breaches]
        account = sums.account
        within = 'yes' if sums.recorded <= account.prepaid else 'NO'
        stranded = sum(one.tokens for one in report.stranded)
        held = sum(one.outstanding for one in sums.allotments.values())
        where = (
            f'held by routers {held - stranded}, stranded {stranded}, '
            f'free {account.free}'
        )
        if not exact:
            # How much a router has drawn ahead, and how much of it a killed
            # router may have lent, depends on timing; the sum does not.
            where = f'held, stranded and free {held + account.free}'
        text = (
            f'prepaid {account.prepaid}, recorded {sums.recorded}, {where}',
            f'recorded within prepaid: {within}',
            f'broken invariants: {", ".join(breaches) or "none"}',
            *await self.bills(),
        )
        self.write(title, '\n'.join(text))

    def runs(self, *keys: str) -> None:
        """Write how many requests the targets have started.

        Engines do not receive the caller's key, so all their requests are
        counted; those of the plain service are counted by key.
        """
        desk = self.rig.service.core
        lines = [
            f'engine-{number} began {len(engine.core.runs)}'
            for number, engine in enumerate(self.rig.pool)
        ]
        lines.extend(f'desk-0 ran {key}: {desk.runs[key]}' for key in keys)
        self.write('runs so far', '\n'.join(lines))

    def counters(self, *starts: str) -> None:
        """Write counters, summed over the routers in this process.

        Parameters
        ----------
        *starts : str
            Prefixes of the names of the counters.
        """
        sums: dict[str, float] = {}
        for router in self.rig.routers:
            for line in router.parts.metrics.render().split('\n'):
                name, _, number = line.rpartition(' ')
                if name.startswith(starts):
                    sums[name] = sums.get(name, 0) + float(number)
        shown = [f'{name} {number:g}' for name, number in sums.items()]
        self.write('counters', '\n'.join(sorted(shown)))

    def end(self, *logged: dict[str, object]) -> str:
        """Return the normalised session.

        Parameters
        ----------
        *logged : dict
            Events that routers in other processes logged.
        """
        lines = self._logged.lines.copy()
        lines.extend(
            _show(str(fields['event']), fields)
            for fields in logged
            if fields['event'] in self.events
        )
        if self.events:
            self.write('events', '\n'.join(sorted(lines)))
        logging.getLogger('balsamreach').removeHandler(self._logged)
        text = _REPLY.sub(_collapse, '\n'.join(self.lines))
        text = _AWAY.sub('"message": "the table service is away"', text)
        return normalise(_MOMENT.sub('"at": TIME', text))


async def receive(address: str, sent: bytes) -> bytes:
    """Send bytes and return the bytes received until the connection ends."""
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent)
    received = b''
    with contextlib.suppress(ConnectionError):
        while octets := await reader.read(65536):
            received += octets
    writer.close()
    return received


_DROPPED = (
    'connection:',
    'content-length:',
    'date:',
    'etag:',
    'host:',
    'server:',
)
_FIELDS = ('request_id', 'team', 'reason', 'target', 'source')


def _shorten(head: str) -> str:
    # These headers are irrelevant to the session.
    kept = [
        line
        for line in head.split('\r\n')
        if not line.lower().startswith(_DROPPED)
    ]
    return '\r\n'.join(kept)


def _collapse(found: re.Match[str]) -> str:
    """Shorten a complete reply to its first and last words.

    A reply with missing words is not changed.
    """
    words = found.group().split()
    mark = words[0].rpartition('-')[0]
    whole = [f'{mark}-{index}' for index in range(len(words))]
    return f'{words[0]} .. {words[-1]}' if words == whole else found.group()


def _show(event: str, fields) -> str:
    shown = [
        f'{name}={fields[name]}'
        for name in _FIELDS
        if fields.get(name) is not None
    ]
    # The choice of the engine is not deterministic.
    return _ENGINE.sub('ENGINE', ' '.join((event, *shown)))
