"""Reads the limits of clients from the settings."""

import resource

from balsamreach.config.settings import Settings
from balsamreach.gateway.request_limits import RequestLimits
from balsamreach.memory.shares import ClientShares, divide


def settings_limits(cfg: Settings) -> RequestLimits:
    """Return the limits of requests that the settings name."""
    callers = cfg.callers
    return RequestLimits(
        header_bytes=callers.header_limit,
        body_bytes=callers.body_limit,
        header_time=callers.header_timeout,
        body_time=callers.body_timeout,
        idle_time=callers.idle_timeout,
        first_time=callers.header_timeout,
    )


def client_shares(cfg: Settings) -> ClientShares:
    """Return what clients may take of the memory and the descriptors."""
    descriptors = cfg.host.descriptors
    if not descriptors:
        descriptors, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    tls = bool(cfg.callers.tls_certificate or cfg.peers.tls_certificate)
    return divide(cfg.host.memory, descriptors, tls=tls)
