"""Settings classes of the sections for the command ``relay``."""

import attrs

from balsamreach.config import units
from balsamreach.config.listeners import Listener, key


@attrs.frozen
class ProbesSettings(Listener):
    """Section ``[probes]``: the listener for readiness and metrics."""


@attrs.frozen
class RelaySettings:
    """Section ``[relay]``: requests that are forwarded by routes."""

    connect_timeout: float = key(units.read_duration)
    stream_gap: float = key(units.read_duration)
    retry_share: float = key(units.read_share)
    retry_slack: int = key(units.read_count)
    retry_window: float = key(units.read_duration)
    spend_window: float = key(units.read_duration)
    grace: float = key(units.read_duration)
    backup_tokens: int = key(units.read_count)
    link_control: bool = key(units.read_flag)
