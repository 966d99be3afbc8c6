"""Parsers of names, addresses, ports, URLs and other texts in settings."""

import ipaddress
import re
from collections.abc import Callable
from urllib.parse import urlsplit

import attrs

from balsamreach.config.faults import BAD_VALUE, ConfigFault

#: Parses the text of one key; returns its value or a ConfigFault.
View = Callable[[str], object]

_LARGEST_PORT = 65535
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*')
_DIGEST = re.compile(r'[0-9a-f]{64}')


def read_text(text: str) -> str:
    """Return the text unchanged; it may be empty."""
    return text


def read_name(text: str) -> str | ConfigFault:
    """Parse a name, which must not be empty.

    Parameters
    ----------
    text : str
        Letters, digits, dots, hyphens and underscores.

    Returns
    -------
    str or ConfigFault
        The name.
    """
    if _NAME.fullmatch(text):
        return text
    return BAD_VALUE.because('write a name of letters, digits and . _ -')


def read_address(text: str) -> str | ConfigFault:
    """Parse an IP address; host names are invalid.

    Parameters
    ----------
    text : str
        IPv4 or IPv6 address.

    Returns
    -------
    str or ConfigFault
        The address in its canonical form.
    """
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        return BAD_VALUE.because('write an IP number like 127.0.0.1')


def read_own_address(text: str) -> str | ConfigFault:
    """Parse an IP address; an empty text stands for the host's address."""
    return read_address(text) if text else ''


def read_port(text: str) -> int | ConfigFault:
    """Parse a port; 0 lets the system choose a free one.

    Parameters
    ----------
    text : str
        Decimal digits.

    Returns
    -------
    int or ConfigFault
        The port.
    """
    if text.isascii() and text.isdigit() and int(text) <= _LARGEST_PORT:
        return int(text)
    return BAD_VALUE.because('write a port from 0 to 65535')


def read_url(text: str) -> str | ConfigFault:
    """Parse the base URL of a service, whose host must be an IP address.

    Parameters
    ----------
    text : str
        URL with scheme http or https.

    Returns
    -------
    str or ConfigFault
        The URL without a trailing slash.
    """
    if _is_numeric_url(text):
        return text.rstrip('/')
    return BAD_VALUE.because(
        'write a URL with an IP number like http://127.0.0.1:8070',
    )


def read_digests(text: str) -> tuple[str, ...] | ConfigFault:
    """Parse SHA-256 digests in hex, separated by commas or white space.

    Parameters
    ----------
    text : str
        Any number of digests, on one or more lines.

    Returns
    -------
    tuple of str or ConfigFault
        The digests in the given order.
    """
    digests = tuple(text.replace(',', ' ').split())
    if all(_DIGEST.fullmatch(digest) for digest in digests):
        return digests
    return BAD_VALUE.because(
        'write SHA-256 digests of 64 lower-case hex digits, never a key itself',
    )


def read_endpoints(text: str) -> tuple[str, ...] | ConfigFault:
    """Parse ``ip:port`` pairs, separated by commas or white space.

    Parameters
    ----------
    text : str
        Any number of pairs like ``127.0.0.1:8082``.

    Returns
    -------
    tuple of str or ConfigFault
        The pairs in the given order.
    """
    endpoints = tuple(text.replace(',', ' ').split())
    for endpoint in endpoints:
        address, _, port = endpoint.rpartition(':')
        for outcome in (read_address(address), read_port(port)):
            if isinstance(outcome, ConfigFault):
                return BAD_VALUE.because('write ip:port like 127.0.0.1:8082')
    return endpoints


@attrs.frozen
class Choice:
    """Parser of a key that accepts one of a few words."""

    words: tuple[str, ...]

    def __call__(self, text: str) -> str | ConfigFault:
        """Return the text if it is one of the words, else a fault."""
        if text in self.words:
            return text
        words = ', '.join(self.words)
        return BAD_VALUE.because(f'write one of {words}')


def _is_numeric_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
    except ValueError:
        return False
    if parts.scheme not in {'http', 'https'} or parts.query or parts.fragment:
        return False
    if isinstance(read_address(parts.hostname or ''), ConfigFault):
        return False
    return _has_port(parts.netloc)


def _has_port(netloc: str) -> bool:
    # The port property of a split URL raises an error for an invalid port;
    # the check for a listener's port is used instead.
    tail = netloc.rpartition(']')[2].rpartition(':')
    if not tail[1]:
        return True
    return not isinstance(read_port(tail[2]), ConfigFault)
