"""Sentinel errors of the operators' client."""

import attrs

from balsamreach.faults import Fault


@attrs.frozen
class ClientFault(Fault):
    """An error of an operator's command.

    Parameters
    ----------
    row : dict or None
        Current row, if an edit was in conflict with it.
    """

    row: dict[str, object] | None = attrs.field(default=None, eq=False)


#: The router or the platform is unavailable; nothing was changed.
UNREACHABLE = ClientFault('router_unreachable')
#: It is unknown whether the edit took effect.
OUTCOME_UNKNOWN = ClientFault('outcome_unknown')
#: The TLS handshake failed; nothing was sent.
UNTRUSTED = ClientFault('router_untrusted')
#: A PEM file is invalid.
BAD_CERTIFICATE = ClientFault('bad_certificate')
#: The row was changed in the meantime, or the edit contradicts it.
CONFLICTING = ClientFault('conflict')
#: The router rejected the request as invalid.
REFUSED = ClientFault('refused')
#: A file can't be read or has invalid lines.
BAD_FILE = ClientFault('bad_file')
