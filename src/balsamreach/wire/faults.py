"""Sentinel errors of the wire layer."""

from balsamreach.faults import Fault


class WireFault(Fault):
    """A reason why bytes are no message, or a message has no bytes."""


#: The bytes are no message of this protocol.
MALFORMED = WireFault('wire_malformed')
#: The message is of a kind that this release does not know.
UNKNOWN_KIND = WireFault('wire_unknown_kind')
#: A frame is larger than the receiver takes.
TOO_LARGE = WireFault('wire_too_large')
#: The other end closed the connection, or it broke.
CLOSED = WireFault('wire_closed')
