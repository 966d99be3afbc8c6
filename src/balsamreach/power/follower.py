"""Brings power rows into force at a router: whom they hold off work."""

import json
import logging
from collections.abc import Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.peers.base import PeerNet
from balsamreach.power.faults import PowerFault
from balsamreach.power.rows import PREFIX, PowerRow, decode
from balsamreach.services.base import Page, Row, RowValue, Scan, TableService
from balsamreach.targets.holds import STARTING, Hold
from balsamreach.targets.registry import Targets
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.membership import Member
from balsamreach.wire.tables import PowerRows, TableRow

_HOME_KEY = 'power-rows'
#: Without news for this many intervals a router reads the rows itself.
_SILENT_INTERVALS = 3
_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class PowerFollower:
    """Follows the power rows; one router of each zone reads for the others.

    Until it has them, from the table service or from a peer, no target gets
    work: a router that starts in the moment when the others have reported a
    host as idle would send to it as it goes off.

    Parameters
    ----------
    rows : dict of str to Row
        Newest rows by key.
    """

    cfg: Settings
    targets: Targets
    service: TableService
    net: PeerNet
    clock: Clock
    rows: dict[str, Row] = attrs.field(factory=dict)
    _version: int = 0
    _heard_at: float = float('-inf')
    _told: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Hold all targets until the rows are known."""
        self.targets.hold_all()
        self.net.on(PowerRows, self.take_rows)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self.follow_once()
            await self.clock.sleep(self.cfg.power.interval)

    async def follow_once(self) -> None:
        """Read if it is this router's turn, and tell newcomers."""
        silent = self.clock.now() - self._heard_at
        longest = _SILENT_INTERVALS * self.cfg.power.interval
        home = self.net.home(_HOME_KEY) == self.net.me
        if home or silent > longest:
            await self.read_once()
        self._tell_newcomers()

    async def read_once(self) -> None:
        """Read what changed and tell the neighbours."""
        page = await self.service.scan(Scan(PREFIX, since=self._version))
        while isinstance(page, Page):
            self.apply(page.rows)
            self._spread(page.rows)
            if not page.more:
                self._version = max(self._version, page.version)
                self._heard()
                return
            page = await self.service.scan(self._next(page))
        log_event(
            _logger,
            logging.WARNING,
            'power_rows_not_read',
            reason=page.reason or page.code,
        )

    def apply(self, rows: Iterable[Row]) -> bool:
        """Bring newer rows into force; True if there were any."""
        news = False
        for row in rows:
            known = self.rows.get(row.key)
            if known is None or row.version > known.version:
                self.rows[row.key] = row
                news = True
        if news:
            self.targets.apply_holds(self._holds())
        return news

    async def take_rows(self, member: Member, message: PowerRows) -> None:
        """Take rows that a peer read or wrote."""
        rows = [_read(row) for row in message.rows]
        if self.apply(row for row in rows if row is not None):
            self.net.spread(message, besides=member.incarnation)
        self._heard()

    def publish(self, key: str, version: int, value: RowValue) -> None:
        """Take a row that this router wrote, and tell the neighbours."""
        row = Row(key, version, value)
        if self.apply((row,)):
            self._spread((row,))

    def _heard(self) -> None:
        self._heard_at = self.clock.now()
        self.targets.release(self._holds())

    def _next(self, page: Page) -> Scan:
        last = page.rows[-1]
        if self._version:
            return Scan(PREFIX, since=last.version)
        return Scan(PREFIX, after=last.key)

    def _holds(self) -> dict[str, Hold]:
        holds: dict[str, Hold] = {}
        for stored in self.rows.values():
            row = decode(stored.value or {})
            if isinstance(row, PowerRow):
                holds.update(_holds_of(row, self.targets))
            elif stored.value is not None:
                _log_bad(stored.key, row)
        return holds

    def _spread(self, rows: Iterable[Row]) -> None:
        self.net.spread(PowerRows(tuple(map(_written, rows))))

    def _tell_newcomers(self) -> None:
        # Only what was truly read is worth telling; an empty message from a
        # router that knows nothing would release the newcomer's targets.
        if self._heard_at < 0:
            return
        now = {member.incarnation for member in self.net.neighbours()}
        rows = PowerRows(tuple(map(_written, self.rows.values())))
        for incarnation in now - self._told:
            self.net.tell(incarnation, rows)
        self._told = now


def _holds_of(row: PowerRow, targets: Targets) -> dict[str, Hold]:
    holds = {}
    for name, record in row.hosts.items():
        target = targets.by_name.get(name)
        starting = target is not None and record.state == STARTING
        models = tuple(target.row.models) if starting else ()
        holds[name] = Hold(record.state, record.incarnation, models)
    return holds


def _written(row: Row) -> TableRow:
    body = '' if row.value is None else json.dumps(row.value)
    return TableRow(row.key, row.version, body)


def _read(row: TableRow) -> Row | None:
    try:
        value = json.loads(row.body) if row.body else None
    except ValueError:
        return None
    return Row(row.key, row.version, value)


def _log_bad(key: str, fault: PowerFault) -> None:
    log_event(
        _logger,
        logging.ERROR,
        fault.code,
        row=key,
        reason=fault.reason,
    )
