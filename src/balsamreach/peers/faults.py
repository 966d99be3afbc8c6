"""Sentinel errors of the peers layer."""

from balsamreach.faults import Fault


class PeerFault(Fault):
    """Why a peer gave no answer, or why a connection ended."""


#: There is no connection to the peer; the message was not sent.
NOT_CONNECTED = PeerFault('peer_not_connected')
#: The message may have arrived, but there was no answer in time.
NO_ANSWER = PeerFault('peer_no_answer')
#: The peer has no handler for this kind of message, or refused this one.
PEER_REFUSED = PeerFault('peer_refused')
#: The connection was closed or broke.
LINK_CLOSED = PeerFault('peer_link_closed')
#: Nothing was received for longer than the gap timeout.
LINK_SILENT = PeerFault('peer_link_silent')
#: The received bytes don't follow the wire protocol.
LINK_MALFORMED = PeerFault('peer_link_garbled')
#: One end closed a connection that it no longer needed.
LINK_RELEASED = PeerFault('peer_link_parted')
#: The handshake was refused: another fleet or protocol version.
HELLO_REFUSED = PeerFault('peer_stranger')
#: The TLS files can't be read or don't match.
BAD_TLS = PeerFault('peer_bad_tls')
