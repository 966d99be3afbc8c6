"""Sentinel errors of the peers layer."""

from balsamreach.faults import Fault


class PeerFault(Fault):
    """A reason why a peer gave no answer."""


#: No connection to the peer stands; the message was not sent.
NOT_CONNECTED = PeerFault('peer_not_connected')
#: The message may have arrived, but no answer came in time.
NO_ANSWER = PeerFault('peer_no_answer')
#: The peer does not take messages of this kind, or refused this one.
PEER_REFUSED = PeerFault('peer_refused')
