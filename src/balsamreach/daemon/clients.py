"""Creates the HTTP clients of the platform's services."""

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.curl_tls import CurlTls
from balsamreach.services.base import TableService
from balsamreach.services.http import PlatformClient
from balsamreach.services.table_http import HttpTableService
from balsamreach.services.traced import TracedTableService
from balsamreach.telemetry.metrics import Metrics


def platform_client(cfg: Settings, base_url: str) -> PlatformClient:
    """Return an HTTP client for one of the platform's services."""
    return PlatformClient(
        base_url,
        cfg.platform.connect_timeout,
        cfg.platform.request_timeout,
        CurlTls(
            ca=cfg.platform.tls_ca,
            certificate=cfg.platform.tls_certificate,
            key=cfg.platform.tls_key,
        ),
    )


def table_service(
    cfg: Settings,
    metrics: Metrics,
    clock: Clock,
) -> TableService:
    """Return a table service client that records metrics and traces."""
    service = HttpTableService(platform_client(cfg, cfg.platform.table))
    return TracedTableService(service, metrics, clock)
