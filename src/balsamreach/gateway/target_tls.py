"""URLs and TLS files for connections to targets."""

from balsamreach.config.settings import RoutingSettings
from balsamreach.curl_tls import CurlTls


def target_url(routing: RoutingSettings, address: str, path: str) -> str:
    """Return the URL of a path at a target's address."""
    scheme = 'https' if routing.target_tls else 'http'
    return f'{scheme}://{address}{path}'


def target_tls(routing: RoutingSettings) -> CurlTls:
    """Return the PEM files for TLS connections to targets."""
    return CurlTls(
        ca=routing.target_tls_ca,
        certificate=routing.target_tls_certificate,
        key=routing.target_tls_key,
    )
