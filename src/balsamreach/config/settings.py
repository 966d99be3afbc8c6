"""Frozen settings classes, one per section of the settings file.

Defaults, units and descriptions are only in ``defaults.ini``; the classes
declare the type of each key and the function that parses it.
"""

from typing import Any

import attrs

from balsamreach.config import units, views
from balsamreach.config.listeners import Listener, key
from balsamreach.config.relay_settings import ProbesSettings, RelaySettings
from balsamreach.config.target_settings import PowerSettings, TargetsSettings

#: Names of the policies for choosing targets.
POLICY_NAMES = (
    'affinity',
    'two_choices',
    'least_requests',
    'round_robin',
    'random',
)


@attrs.frozen
class HostSettings:
    """Section ``[host]``: name, address and zone of this router."""

    name: str = key(views.read_name)
    address: str = key(views.read_address)
    zone: str = key(views.read_name)
    link: int = key(units.read_count)
    memory: int = key(units.read_size)
    descriptors: int = key(units.read_count)
    first_start: bool = key(units.read_flag)


@attrs.frozen
class CallersSettings(Listener):
    """Section ``[callers]``: the listener for teams' requests."""

    reuse_port: bool = key(units.read_flag)
    body_limit: int = key(units.read_size)
    header_limit: int = key(units.read_size)
    header_timeout: float = key(units.read_duration)
    body_timeout: float = key(units.read_duration)
    idle_timeout: float = key(units.read_duration)
    most_completion: int = key(units.read_count)
    part_tokens: int = key(units.read_count)
    leave_delay: float = key(units.read_duration)
    leave_timeout: float = key(units.read_duration)

    @property
    def shared(self) -> bool:
        """Whether other daemons of the host may listen on the same port."""
        return self.reuse_port


@attrs.frozen
class OperatorsSettings(Listener):
    """Section ``[operators]``: the listener for operators' commands."""

    keys: tuple[str, ...] = key(views.read_digests)


@attrs.frozen
class PeersSettings(Listener):
    """Section ``[peers]``: the listener for other routers."""

    fleet: str = key(views.read_name)
    seeds: tuple[str, ...] = key(views.read_endpoints)
    max_peers: int = key(units.read_count)
    hubs_per_zone: int = key(units.read_count)
    heartbeat: float = key(units.read_duration)
    gap_timeout: float = key(units.read_duration)
    forwarding_port: int = key(views.read_port)


@attrs.frozen
class PlatformSettings:
    """Section ``[platform]``: the services that routers depend on."""

    table: str = key(views.read_url)
    objects: str = key(views.read_url)
    hosts: str = key(views.read_url)
    weights: str = key(views.read_url)
    connect_timeout: float = key(units.read_duration)
    request_timeout: float = key(units.read_duration)
    tls_ca: str = key(views.read_text)
    tls_certificate: str = key(views.read_text)
    tls_key: str = key(views.read_text)


@attrs.frozen
class BudgetSettings:
    """Section ``[budget]``: drawing on and billing of prepaid budgets."""

    posture: str = key(views.Choice(('strict', 'lenient')))
    draw_ahead: float = key(units.read_duration)
    least_draw: int = key(units.read_count)
    largest_share: float = key(units.read_share)
    draw_wait: float = key(units.read_duration)
    flush_interval: float = key(units.read_duration)
    bills_limit: int = key(units.read_count)
    partition_cover: float = key(units.read_duration)
    report_interval: float = key(units.read_duration)
    report_rate: int = key(units.read_count)
    report_patience: float = key(units.read_duration)
    report_opening: float = key(units.read_duration)


@attrs.frozen
class RequestsSettings:
    """Section ``[requests]``: stored answers, retries and deadlines."""

    keep_answers: float = key(units.read_duration)
    keep_bytes: int = key(units.read_size)
    retry_window: float = key(units.read_duration)
    default_deadline: float = key(units.read_duration)
    answer_bytes: int = key(units.read_size)
    ask_timeout: float = key(units.read_duration)
    stream_keep: float = key(units.read_duration)


@attrs.frozen
class RoutingSettings:
    """Section ``[routing]``: choice of targets, queues and retries."""

    policy: str = key(views.Choice(POLICY_NAMES))
    retry_share: float = key(units.read_share)
    queue_limit: int = key(units.read_count)
    deadline: float = key(units.read_duration)
    hedge: bool = key(units.read_flag)
    gap_timeout: float = key(units.read_duration)
    quarantine_after: int = key(units.read_count)
    crash_targets: int = key(units.read_count)
    connection_age: float = key(units.read_duration)
    target_tls: bool = key(units.read_flag)
    target_tls_ca: str = key(views.read_text)
    target_tls_certificate: str = key(views.read_text)
    target_tls_key: str = key(views.read_text)


@attrs.frozen
class TableSettings:
    """Section ``[table]``: replication of the table to this router."""

    readers_per_zone: int = key(units.read_count)
    poll_interval: float = key(units.read_duration)
    snapshot_interval: float = key(units.read_duration)
    keep_edit_ids: float = key(units.read_duration)
    keep_history: float = key(units.read_duration)


@attrs.frozen
class TelemetrySettings:
    """Section ``[telemetry]``: logs and traces."""

    log_level: str = key(views.Choice(('debug', 'info', 'warning', 'error')))
    traces: str = key(views.Choice(('stderr', 'otlp', 'off')))
    otlp_url: str = key(views.read_url)
    trace_share: float = key(units.read_share)


@attrs.frozen
class Settings:
    """The settings of all sections."""

    host: HostSettings
    callers: CallersSettings
    operators: OperatorsSettings
    probes: ProbesSettings
    peers: PeersSettings
    platform: PlatformSettings
    budget: BudgetSettings
    requests: RequestsSettings
    routing: RoutingSettings
    relay: RelaySettings
    table: TableSettings
    targets: TargetsSettings
    power: PowerSettings
    telemetry: TelemetrySettings

    def as_mapping(self) -> dict[str, Any]:
        """Return sections and keys as plain nested dictionaries."""
        return attrs.asdict(self)
