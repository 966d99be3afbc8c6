"""Sentinel errors of the peers layer."""

from balsamreach.faults import Fault


class PeerFault(Fault):
    """A reason why a peer gave no answer, or a connection ended."""


#: No connection to the peer stands; the message was not sent.
NOT_CONNECTED = PeerFault('peer_not_connected')
#: The message may have arrived, but no answer came in time.
NO_ANSWER = PeerFault('peer_no_answer')
#: The peer does not take messages of this kind, or refused this one.
PEER_REFUSED = PeerFault('peer_refused')
#: The connection closed, or broke.
LINK_CLOSED = PeerFault('peer_link_closed')
#: Nothing came over the connection for longer than the gap timeout.
LINK_SILENT = PeerFault('peer_link_silent')
#: What came over the connection is not the inner protocol.
LINK_GARBLED = PeerFault('peer_link_garbled')
#: One end gave up a connection that it no longer needs.
LINK_PARTED = PeerFault('peer_link_parted')
#: The other end does not belong here: another fleet, another version.
STRANGER = PeerFault('peer_stranger')
#: The TLS files can't be read or don't fit together.
BAD_TLS = PeerFault('peer_bad_tls')
