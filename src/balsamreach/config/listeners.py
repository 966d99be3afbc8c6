"""Base class of listener sections, and the check that they can be bound."""

import contextlib
import errno
import ipaddress
import socket
from typing import Any

import attrs

from balsamreach.config import views
from balsamreach.config.faults import BAD_LISTENER, ConfigFault

_VIEW = 'view'


def key(view: views.View) -> Any:
    """Declare one key of a section.

    Parameters
    ----------
    view : callable
        Parses the key's text; returns its value or a ConfigFault.

    Returns
    -------
    attrs field
        A mandatory field with the parser in its metadata.
    """
    return attrs.field(metadata={_VIEW: view})


def view_of(field: attrs.Attribute) -> views.View:
    """Return the parser of a field that ``key`` declared."""
    return field.metadata[_VIEW]


@attrs.frozen
class Listener:
    """Keys of every section that describes a listener.

    The TLS keys are paths of PEM files. Without a certificate the listener
    does not use TLS; without a CA it requests no client certificate.
    """

    address: str = key(views.read_own_address)
    port: int = key(views.read_port)
    tls_certificate: str = key(views.read_text)
    tls_key: str = key(views.read_text)
    tls_ca: str = key(views.read_text)

    @property
    def shared(self) -> bool:
        """Whether other processes may listen on the same port."""
        return False


def check_listeners(listeners: dict[str, Listener]) -> ConfigFault | None:
    """Bind all listeners at the same time, then close them again.

    Parameters
    ----------
    listeners : dict
        Listener by the name of its section.

    Returns
    -------
    ConfigFault or None
        A fault that lists the listeners that can't be bound; None if all can.
    """
    problems = []
    with contextlib.ExitStack() as stack:
        for section, listener in listeners.items():
            sock = stack.enter_context(_new_socket(listener.address))
            exc = _try_bind(sock, listener)
            if exc is not None:
                problems.append(_describe_bind_error(section, listener, exc))
    return BAD_LISTENER.listing(tuple(problems)) if problems else None


def _new_socket(address: str) -> socket.socket:
    version = ipaddress.ip_address(address).version
    family = socket.AF_INET if version == 4 else socket.AF_INET6
    return socket.socket(family, socket.SOCK_STREAM)


def _try_bind(sock: socket.socket, listener: Listener) -> OSError | None:
    # Without this option a port with connections in TIME_WAIT would be
    # reported as in use, although the server itself could bind it.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if listener.shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        sock.bind((listener.address, listener.port))
        # On a shared port the kernel would also assign connections to this
        # socket, and closing it would reset them.
        if not listener.shared:
            sock.listen(1)
    except OSError as exc:
        return exc
    return None


def _describe_bind_error(section: str, listener: Listener, exc: OSError) -> str:
    if exc.errno == errno.EADDRNOTAVAIL:
        return (
            f'[{section}] address: {listener.address} is no address of this '
            'machine; set one of its IP numbers here or under [host]'
        )
    place = f'[{section}] port: {listener.address} port {listener.port}'
    cause = (exc.strerror or str(exc)).lower()
    return f'{place}: {cause}; stop the other program or set another port'
