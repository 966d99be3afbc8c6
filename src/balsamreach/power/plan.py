"""Computes the next power row from one observation of the hosts."""

from collections.abc import Iterator

import attrs

from balsamreach.config.target_settings import PowerSettings
from balsamreach.power.rows import HostRecord, PowerRow
from balsamreach.power.views import HostView, ZoneView
from balsamreach.targets.power_holds import LEAVING, OFF, STARTING, STOPPING


@attrs.frozen
class Planner:
    """Turns a ZoneView and a desired number of hosts into the next row."""

    cfg: PowerSettings

    def plan(self, zone_view: ZoneView, desired: int) -> PowerRow:
        """Return the next row; equal to the current one if nothing changes."""
        row = attrs.evolve(zone_view.row, desired=desired)
        for host in zone_view.hosts.values():
            record = _next_record(host)
            if record != host.record:
                row = row.with_host(host.name, record)
        return self._adjust_count(zone_view, row, desired)

    def _adjust_count(
        self, zone_view: ZoneView, row: PowerRow, desired: int
    ) -> PowerRow:
        usable = [
            host for host in zone_view.hosts.values() if _is_usable(host, row)
        ]
        starting = [
            host
            for host in zone_view.hosts.values()
            if host.state == STARTING
            and host.name in row.hosts
            and not host.overdue
        ]
        missing = desired - len(usable) - len(starting)
        if missing > 0:
            return _start_hosts(zone_view, row, missing)
        excess = min(self.cfg.step, len(usable) - desired)
        for host in sorted(usable, key=_by_load)[: max(0, excess)]:
            record = HostRecord(LEAVING, host.report.incarnation)
            row = row.with_host(host.name, record)
        return row


def _next_record(host: HostView) -> HostRecord | None:
    """Return the record that follows from the observed state of a host."""
    record = host.record
    if record is None:
        gone = host.report is None and not host.listed
        return HostRecord(OFF) if gone else None
    if record.state in {LEAVING, STOPPING}:
        return _next_leaving_record(host, record)
    if record.state == STARTING:
        ready = host.restarted and host.models_loaded
        return None if ready else record
    if record.state == OFF and host.settled and host.report is not None:
        # Someone else switched it on, or the order had no effect.
        return None if host.restarted else _stopping(record)
    return record


def _next_leaving_record(
    host: HostView, record: HostRecord
) -> HostRecord | None:
    if not host.restarted:
        return _stopping(record) if host.idle else record
    if not record.ordered:
        # The leaving incarnation ended by itself.
        return None
    # An order to switch the host off may be under way and hit the incarnation
    # started since; that one must leave as well, before it gets any work.
    return HostRecord(LEAVING, host.report.incarnation, ordered=True)


def _stopping(record: HostRecord) -> HostRecord:
    return attrs.evolve(record, state=STOPPING, ordered=True)


def _is_usable(host: HostView, row: PowerRow) -> bool:
    # A host without a report is not counted, and one that reports no
    # incarnation can't be set to leaving, since no mark would apply to it.
    if host.name in row.hosts or host.report is None:
        return False
    return bool(host.report.incarnation)


def _by_load(host: HostView) -> tuple[int, str]:
    return (host.report.busy, host.name)


def _start_hosts(zone_view: ZoneView, row: PowerRow, missing: int) -> PowerRow:
    startable = [
        host.name for host in zone_view.hosts.values() if _may_start(host)
    ]
    for name in sorted(startable)[:missing]:
        known = row.hosts[name]
        row = row.with_host(name, HostRecord(STARTING, known.incarnation))
    return row


def _may_start(host: HostView) -> bool:
    # If a host is switched on while an order to switch it off is under way and
    # it checks no fencing numbers, it would go off again under its first
    # requests.
    return host.state == OFF and host.settled and host.report is None


def changed_hosts(
    before: PowerRow,
    after: PowerRow,
) -> Iterator[tuple[str, HostRecord | None]]:
    """Yield the names of hosts whose records differ, with the new records."""
    for name in sorted({*before.hosts, *after.hosts}):
        record = after.hosts.get(name)
        if record != before.hosts.get(name):
            yield name, record
