"""Mutual TLS between routers with certificates of the fleet's CA."""

import ssl

import attrs

from balsamreach.config.settings import PeersSettings
from balsamreach.peers.faults import BAD_TLS, PeerFault


@attrs.frozen(eq=False)
class TlsContexts:
    """TLS contexts of both ends; None for plain text."""

    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


def load_tls(cfg: PeersSettings) -> TlsContexts | PeerFault:
    """Read the certificate, key and CA named in the settings.

    Parameters
    ----------
    cfg : PeersSettings
        The section of the listener.

    Returns
    -------
    TlsContexts or PeerFault
        The contexts; BAD_TLS if a file is missing or doesn't match.
    """
    if not cfg.tls_certificate:
        return TlsContexts()
    if not cfg.tls_ca:
        return BAD_TLS.because(
            '[peers] tls_ca: missing; name the CA of the routers'
        )
    try:
        return TlsContexts(
            server=_context(cfg, ssl.PROTOCOL_TLS_SERVER),
            client=_context(cfg, ssl.PROTOCOL_TLS_CLIENT),
        )
    except OSError as exc:
        return BAD_TLS.because(f'[peers] tls files: {exc}')


def _context(cfg: PeersSettings, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    # Routers come and go on changing addresses, so their certificates name
    # none: a certificate of the fleet's own CA proves membership.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_verify_locations(cfg.tls_ca)
    context.load_cert_chain(cfg.tls_certificate, cfg.tls_key or None)
    return context
