"""Applies power rows at a router: holds targets that must get no work."""

import json
import logging
from collections.abc import Iterable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.json_input import JsonFault, read_json
from balsamreach.peers.base import PeerNet
from balsamreach.power.faults import PowerFault
from balsamreach.power.rows import KEY_PREFIX, PowerRow, decode
from balsamreach.services.base import Page, Row, RowValue, Scan, TableService
from balsamreach.targets.power_holds import STARTING, PowerHold
from balsamreach.targets.registry import Targets
from balsamreach.telemetry.logs import log_event
from balsamreach.wire.membership import Member
from balsamreach.wire.tables import PowerRows, TableRow

_HOME_KEY = 'power-rows'
#: Without new rows for this many intervals a router reads them itself.
_MAX_SILENT_INTERVALS = 3
_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class PowerFollower:
    """Follows the power rows; one router of each zone reads for the others.

    Until it has the rows, from the table service or from a peer, no target gets
    work: a router that starts just after the others reported a host as idle
    would send to it while it is switched off.

    Parameters
    ----------
    rows : dict of str to Row
        Latest rows by key.
    """

    cfg: Settings
    targets: Targets
    service: TableService
    net: PeerNet
    clock: Clock
    rows: dict[str, Row] = attrs.field(factory=dict)
    _version: int = 0
    _rows_received_at: float = float('-inf')
    _informed: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Hold all targets until the rows are known."""
        self.targets.hold_all()
        self.net.on(PowerRows, self.handle_rows)

    async def run(self) -> None:
        """Follow the rows until cancelled."""
        while True:
            await self.update_once()
            await self.clock.sleep(self.cfg.power.interval)

    async def update_once(self) -> None:
        """Read the rows if it is this router's turn; inform new neighbours."""
        age = self.clock.now() - self._rows_received_at
        max_age = _MAX_SILENT_INTERVALS * self.cfg.power.interval
        is_reader = self.net.home(_HOME_KEY) == self.net.me
        if is_reader or age > max_age:
            await self.read_once()
        self._send_to_new_neighbours()

    async def read_once(self) -> None:
        """Read the changed rows and send them to the neighbours."""
        page = await self.service.scan(Scan(KEY_PREFIX, since=self._version))
        while isinstance(page, Page):
            self.apply(page.rows)
            self._send_to_neighbours(page.rows)
            if not page.more:
                self._version = max(self._version, page.version)
                self._note_rows_received()
                return
            page = await self.service.scan(self._next_scan(page))
        log_event(
            _logger,
            logging.WARNING,
            'power_rows_not_read',
            reason=page.reason or page.code,
        )

    def apply(self, rows: Iterable[Row]) -> bool:
        """Apply newer rows; True if there were any."""
        changed = False
        for row in rows:
            known = self.rows.get(row.key)
            if known is None or row.version > known.version:
                self.rows[row.key] = row
                changed = True
        if changed:
            self.targets.apply_holds(self._holds())
        return changed

    async def handle_rows(self, member: Member, message: PowerRows) -> None:
        """Apply rows that a peer read or wrote."""
        rows = [_from_wire(row) for row in message.rows]
        if self.apply(row for row in rows if row is not None):
            self.net.tell_neighbours(message, exclude=member.incarnation)
        self._note_rows_received()

    def publish(self, key: str, version: int, value: RowValue) -> None:
        """Apply a row that this router wrote, and send it to the neighbours."""
        row = Row(key, version, value)
        if self.apply((row,)):
            self._send_to_neighbours((row,))

    def _note_rows_received(self) -> None:
        self._rows_received_at = self.clock.now()
        self.targets.release(self._holds())

    def _next_scan(self, page: Page) -> Scan:
        last = page.rows[-1]
        if self._version:
            return Scan(KEY_PREFIX, since=last.version)
        return Scan(KEY_PREFIX, after=last.key)

    def _holds(self) -> dict[str, PowerHold]:
        holds: dict[str, PowerHold] = {}
        for stored in self.rows.values():
            row = decode(stored.value or {})
            if isinstance(row, PowerRow):
                holds.update(_holds_from(row, self.targets))
            elif stored.value is not None:
                _log_unreadable(stored.key, row)
        return holds

    def _send_to_neighbours(self, rows: Iterable[Row]) -> None:
        self.net.tell_neighbours(PowerRows(tuple(map(_to_wire, rows))))

    def _send_to_new_neighbours(self) -> None:
        # Send only rows that were truly received. An empty message from a
        # router that has none would release the held targets of its neighbours.
        if self._rows_received_at < 0:
            return
        neighbours = {member.incarnation for member in self.net.neighbours()}
        rows = PowerRows(tuple(map(_to_wire, self.rows.values())))
        for incarnation in neighbours - self._informed:
            self.net.tell(incarnation, rows)
        self._informed = neighbours


def _holds_from(row: PowerRow, targets: Targets) -> dict[str, PowerHold]:
    holds = {}
    for name, record in row.hosts.items():
        target = targets.by_name.get(name)
        starting = target is not None and record.state == STARTING
        models = tuple(target.row.models) if starting else ()
        holds[name] = PowerHold(record.state, record.incarnation, models)
    return holds


def _to_wire(row: Row) -> TableRow:
    body = '' if row.value is None else json.dumps(row.value)
    return TableRow(row.key, row.version, body)


def _from_wire(row: TableRow) -> Row | None:
    value = read_json(row.body) if row.body else None
    if isinstance(value, JsonFault):
        return None
    return Row(row.key, row.version, value)


def _log_unreadable(key: str, fault: PowerFault) -> None:
    log_event(
        _logger,
        logging.ERROR,
        fault.code,
        row=key,
        reason=fault.reason,
    )
