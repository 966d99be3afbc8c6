"""Settings classes of the sections for targets and their hosts."""

import attrs

from balsamreach.config import units
from balsamreach.config.listeners import key


@attrs.frozen
class TargetsSettings:
    """Section ``[targets]``: monitoring of targets."""

    poll_interval: float = key(units.read_duration)
    poll_timeout: float = key(units.read_duration)
    share_rate: int = key(units.read_size)
    report_age: float = key(units.read_duration)
    first_pause: float = key(units.read_duration)
    longest_pause: float = key(units.read_duration)
    cache_polls: int = key(units.read_count)
    host_list_interval: float = key(units.read_duration)


@attrs.frozen
class PowerSettings:
    """Section ``[power]``: switching hosts on and off."""

    enabled: bool = key(units.read_flag)
    interval: float = key(units.read_duration)
    least: int = key(units.read_count)
    spare: int = key(units.read_count)
    utilisation: float = key(units.read_share)
    idle: float = key(units.read_duration)
    start_time: float = key(units.read_duration)
    start_timeout: float = key(units.read_duration)
    warm_time: float = key(units.read_duration)
    step: int = key(units.read_count)
    order_valid: float = key(units.read_duration)
    order_settle: float = key(units.read_duration)
    platform_checks_fences: bool = key(units.read_flag)
