"""Decides what becomes of each host, from one scene alone."""

from collections.abc import Iterator

import attrs

from balsamreach.config.target_settings import PowerSettings
from balsamreach.power.rows import HostRecord, PowerRow
from balsamreach.power.scene import HostView, Scene
from balsamreach.targets.holds import LEAVING, OFF, STARTING, STOPPING


@attrs.frozen
class Planner:
    """Turns a scene and a desired number into the next row."""

    cfg: PowerSettings

    def plan(self, scene: Scene, desired: int) -> PowerRow:
        """Return the row that should follow; equal if nothing changes."""
        row = attrs.evolve(scene.row, desired=desired)
        for host in scene.hosts.values():
            record = _follow(host)
            if record != host.record:
                row = row.with_host(host.name, record)
        return self._count(scene, row, desired)

    def _count(self, scene: Scene, row: PowerRow, desired: int) -> PowerRow:
        live = [host for host in scene.hosts.values() if _is_live(host, row)]
        coming = [
            host
            for host in scene.hosts.values()
            if host.state == STARTING
            and host.name in row.hosts
            and not host.overdue
        ]
        missing = desired - len(live) - len(coming)
        if missing > 0:
            return _start(scene, row, missing)
        excess = min(self.cfg.step, len(live) - desired)
        for host in sorted(live, key=_by_load)[: max(0, excess)]:
            record = HostRecord(LEAVING, host.report.incarnation)
            row = row.with_host(host.name, record)
        return row


def _follow(host: HostView) -> HostRecord | None:
    """Return the record that follows from what is seen of a host."""
    record = host.record
    if record is None:
        gone = host.report is None and not host.listed
        return HostRecord(OFF) if gone else None
    if record.state in {LEAVING, STOPPING}:
        return _follow_out(host, record)
    if record.state == STARTING:
        up = host.renewed and host.loaded
        return None if up else record
    if record.state == OFF and host.settled and host.report is not None:
        # Somebody else switched it on, or the order had no effect.
        return None if host.renewed else _stopping(record)
    return record


def _follow_out(host: HostView, record: HostRecord) -> HostRecord | None:
    if not host.renewed:
        return _stopping(record) if host.idle else record
    if not record.ordered:
        # The start that was leaving is gone by itself.
        return None
    # An order to switch the host off may be under way and hit the start that
    # came since; that one must leave as well, before it gets any work.
    return HostRecord(LEAVING, host.report.incarnation, ordered=True)


def _stopping(record: HostRecord) -> HostRecord:
    return attrs.evolve(record, state=STOPPING, ordered=True)


def _is_live(host: HostView, row: PowerRow) -> bool:
    # A host without a report is not counted on, and one that can't name its
    # start can't be let go, since no mark would hold for it.
    if host.name in row.hosts or host.report is None:
        return False
    return bool(host.report.incarnation)


def _by_load(host: HostView) -> tuple[int, str]:
    return (host.report.busy, host.name)


def _start(scene: Scene, row: PowerRow, missing: int) -> PowerRow:
    able = [host.name for host in scene.hosts.values() if _may_start(host)]
    for name in sorted(able)[:missing]:
        known = row.hosts[name]
        row = row.with_host(name, HostRecord(STARTING, known.incarnation))
    return row


def _may_start(host: HostView) -> bool:
    # Switched on while an order to switch it off is under way, a host that
    # checks no numbers would go off again under its first requests.
    return host.state == OFF and host.settled and host.report is None


def changed_hosts(
    before: PowerRow,
    after: PowerRow,
) -> Iterator[tuple[str, HostRecord | None]]:
    """Yield the names whose records differ, with the new ones."""
    for name in sorted({*before.hosts, *after.hosts}):
        record = after.hosts.get(name)
        if record != before.hosts.get(name):
            yield name, record
