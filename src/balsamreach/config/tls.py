"""TLS contexts made of the PEM files that the settings name."""

import os
import ssl

from balsamreach.config.faults import BAD_VALUE, ConfigFault
from balsamreach.config.listeners import Listener

_VERSION = ssl.TLSVersion.TLSv1_2


def server_context(listener: Listener) -> ssl.SSLContext | ConfigFault | None:
    """Return the context with which a listener speaks TLS.

    Parameters
    ----------
    listener : Listener
        Section with the paths of certificate, key and CA.

    Returns
    -------
    SSLContext, ConfigFault or None
        None for plain text; the fault's problems name the key at fault.
    """
    missing = _missing_key(listener)
    if missing:
        return BAD_VALUE.listing((missing,))
    if not listener.tls_certificate:
        return None
    for name in ('tls_certificate', 'tls_key', 'tls_ca'):
        problem = _unreadable(name, getattr(listener, name))
        if problem:
            return BAD_VALUE.listing((problem,))
    return _load(listener)


def check_listener(section: str, listener: Listener) -> tuple[str, ...]:
    """Return what is wrong with a listener's PEM files, if anything."""
    context = server_context(listener)
    if isinstance(context, ConfigFault):
        return tuple(f'[{section}] {text}' for text in context.problems)
    return ()


def check_mutual(section: str, listener: Listener) -> tuple[str, ...]:
    """Return what is missing where both ends must show a certificate."""
    if listener.tls_certificate and not listener.tls_ca:
        return (f'[{section}] tls_ca: missing; name the CA of the routers',)
    return ()


def check_client(section: str, keys: dict[str, str]) -> tuple[str, ...]:
    """Return what is wrong with the PEM files for servers, if anything.

    Parameters
    ----------
    section : str
        Section of the settings that names the files.
    keys : dict
        Paths of the CA, the certificate and its key, in this order, by
        their key in the section.
    """
    problems = [_unreadable(name, path) for name, path in keys.items()]
    problems.append(_unfit(keys))
    return tuple(f'[{section}] {text}' for text in problems if text)


def _unfit(keys: dict[str, str]) -> str:
    names = tuple(keys)
    ca, certificate, own_key = keys.values()
    if bool(certificate) != bool(own_key):
        missing = names[2] if certificate else names[1]
        return f'{missing}: missing; name it, or neither it nor its pair'
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    name = names[0]
    try:
        if ca:
            context.load_verify_locations(ca)
        name = names[1]
        if certificate:
            context.load_cert_chain(certificate, own_key)
    except ssl.SSLError as exc:
        return f'{name}: {keys[name]}: no PEM file that fits ({_explain(exc)})'
    except OSError:
        # Told already as a file that can't be read.
        return ''
    return ''


def _missing_key(listener: Listener) -> str:
    if listener.tls_certificate and not listener.tls_key:
        return 'tls_key: missing; name the PEM file of the private key'
    if listener.tls_certificate:
        return ''
    if listener.tls_key or listener.tls_ca:
        return 'tls_certificate: missing; name it or leave all TLS keys empty'
    return ''


def _unreadable(name: str, path: str) -> str:
    if not path or os.access(path, os.R_OK):
        return ''
    return f'{name}: {path} can not be read; name a readable PEM file'


def _load(listener: Listener) -> ssl.SSLContext | ConfigFault:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = _VERSION
    try:
        context.load_cert_chain(listener.tls_certificate, listener.tls_key)
    except (ssl.SSLError, OSError) as exc:
        reason = 'no PEM certificate, or tls_key is not its key'
        problem = f'tls_certificate: {listener.tls_certificate}: {reason}'
        return BAD_VALUE.listing((f'{problem} ({_explain(exc)})',))
    return _require_client(context, listener)


def _require_client(
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
