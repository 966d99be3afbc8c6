"""Makes the senders that speak to the platform's services."""

from balsamreach.config.settings import Settings
from balsamreach.platform.http import PlatformClient, TlsSettings


def platform_client(cfg: Settings, base_url: str) -> PlatformClient:
    """Return a sender for one of the platform's services."""
    return PlatformClient(
        base_url,
        cfg.platform.connect_timeout,
        cfg.platform.request_timeout,
        TlsSettings(ca_certs=cfg.platform.tls_ca or None),
    )
