"""TLS contexts of listeners, and checks of the PEM files in the settings."""

import os
import ssl

from balsamreach.config.faults import BAD_VALUE, ConfigFault
from balsamreach.config.listeners import Listener

_MIN_VERSION = ssl.TLSVersion.TLSv1_2


def server_context(listener: Listener) -> ssl.SSLContext | ConfigFault | None:
    """Return the TLS context of a listener.

    Parameters
    ----------
    listener : Listener
        Section with the paths of certificate, key and CA.

    Returns
    -------
    SSLContext, ConfigFault or None
        None if the listener does not use TLS; the problems of a fault name
        the invalid key.
    """
    missing = _missing_key_problem(listener)
    if missing:
        return BAD_VALUE.listing((missing,))
    if not listener.tls_certificate:
        return None
    for name in ('tls_certificate', 'tls_key', 'tls_ca'):
        problem = _read_problem(name, getattr(listener, name))
        if problem:
            return BAD_VALUE.listing((problem,))
    return _load_context(listener)


def check_listener_files(section: str, listener: Listener) -> tuple[str, ...]:
    """Return the problems with the PEM files of a listener."""
    context = server_context(listener)
    if isinstance(context, ConfigFault):
        return tuple(f'[{section}] {text}' for text in context.problems)
    return ()


def check_mutual_tls(section: str, listener: Listener) -> tuple[str, ...]:
    """Return the problems of a listener that needs mutual TLS."""
    if listener.tls_certificate and not listener.tls_ca:
        return (
            f'[{section}] tls_ca: missing; name the CA file of the routers',
        )
    return ()


def check_client_files(section: str, keys: dict[str, str]) -> tuple[str, ...]:
    """Return the problems with the PEM files of a TLS client.

    Parameters
    ----------
    section : str
        Section of the settings that names the files.
    keys : dict
        Paths of the CA, the certificate and its private key, in this order,
        by their key in the section.
    """
    problems = [_read_problem(name, path) for name, path in keys.items()]
    problems.append(_pem_problem(keys))
    return tuple(f'[{section}] {text}' for text in problems if text)


def _pem_problem(keys: dict[str, str]) -> str:
    names = tuple(keys)
    ca, certificate, private_key = keys.values()
    if bool(certificate) != bool(private_key):
        missing = names[2] if certificate else names[1]
        return f'{missing}: missing; name certificate and key, or neither'
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    name = names[0]
    try:
        if ca:
            context.load_verify_locations(ca)
        name = names[1]
        if certificate:
            context.load_cert_chain(certificate, private_key)
    except ssl.SSLError as exc:
        return f'{name}: {keys[name]}: no PEM file that fits ({_explain(exc)})'
    except OSError:
        # check_client_files reports files that can't be read.
        return ''
    return ''


def _missing_key_problem(listener: Listener) -> str:
    if listener.tls_certificate and not listener.tls_key:
        return 'tls_key: missing; name the PEM file of the private key'
    if listener.tls_certificate:
        return ''
    if listener.tls_key or listener.tls_ca:
        return 'tls_certificate: missing; name it or leave all TLS keys empty'
    return ''


def _read_problem(name: str, path: str) -> str:
    if not path or os.access(path, os.R_OK):
        return ''
    return f'{name}: {path} can not be read; name a readable PEM file'


def _load_context(listener: Listener) -> ssl.SSLContext | ConfigFault:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = _MIN_VERSION
    try:
        context.load_cert_chain(listener.tls_certificate, listener.tls_key)
    except (ssl.SSLError, OSError) as exc:
        reason = 'no PEM certificate, or tls_key is not its key'
        problem = f'tls_certificate: {listener.tls_certificate}: {reason}'
        return BAD_VALUE.listing((f'{problem} ({_explain(exc)})',))
    return _require_client_certificate(context, listener)


def _require_client_certificate(
    context: ssl.SSLContext,
    listener: Listener,
) -> ssl.SSLContext | ConfigFault:
    if not listener.tls_ca:
        return context
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_verify_locations(listener.tls_ca)
    except (ssl.SSLError, OSError) as exc:
        problem = f'tls_ca: {listener.tls_ca}: no PEM file of certificates'
        return BAD_VALUE.listing((f'{problem} ({_explain(exc)})',))
    return context


def _explain(exc: Exception) -> str:
    reason = getattr(exc, 'reason', None) or exc.args[-1]
    return str(reason).lower().replace('_', ' ')
