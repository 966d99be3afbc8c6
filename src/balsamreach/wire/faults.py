"""Sentinel errors of the wire layer."""

from balsamreach.faults import Fault


class WireFault(Fault):
    """An error in encoding, decoding or transmitting a message."""


#: The bytes are not a valid message of this protocol.
MALFORMED = WireFault('wire_malformed')
#: The message is of a kind that this release does not know.
UNKNOWN_KIND = WireFault('wire_unknown_kind')
#: A frame or message exceeds the maximum size.
TOO_LARGE = WireFault('wire_too_large')
#: The peer closed the connection, or the connection broke.
CLOSED = WireFault('wire_closed')
