"""Divides the memory and descriptors of a process among its clients."""

import attrs

#: Shares of the memory for requests that are received or in progress, for the
#: answers of targets while they are received, for responses that wait for their
#: readers, and for open connections. The rest is for the process itself, its
#: state, and what the allocator can't reuse.
_REQUESTS_SHARE = 0.25
_ANSWERS_SHARE = 0.125
_RESPONSES_SHARE = 0.0625
_CONNECTIONS_SHARE = 0.125
#: Memory of an open connection without a request, plain and with TLS.
_CONNECTION_BYTES = 20 * 1024
_TLS_CONNECTION_BYTES = 40 * 1024
#: Shares of the sockets for the connections of a kind of client. Each
#: request in progress takes another one, for its target.
_CALLERS_SOCKETS = 0.45
_ROUTERS_SOCKETS = 0.05
_MIN_CONNECTIONS = 32
#: Descriptors that are not for sockets.
_FILE_DESCRIPTORS = 200


@attrs.frozen(kw_only=True)
class ClientShares:
    """What the clients of a process may take.

    Parameters
    ----------
    requests, answers, responses : int
        Bytes of requests, of answers that are received, and of responses that
        wait for their readers.
    callers, routers : int
        Open connections of callers, and of other routers.
    """

    requests: int
    answers: int
    responses: int
    callers: int
    routers: int


def divide(memory: int, descriptors: int, *, tls: bool = False) -> ClientShares:
    """Return the shares of a process.

    Parameters
    ----------
    memory : int
        Bytes that the process may use.
    descriptors : int
        Descriptors that it may have open.
    tls : bool
        Whether its clients use TLS.
    """
    sockets = descriptors - _FILE_DESCRIPTORS
    connection = _TLS_CONNECTION_BYTES if tls else _CONNECTION_BYTES
    connections = int(memory * _CONNECTIONS_SHARE) // connection
    return ClientShares(
        requests=int(memory * _REQUESTS_SHARE),
        answers=int(memory * _ANSWERS_SHARE),
        responses=int(memory * _RESPONSES_SHARE),
        callers=_at_least(connections, sockets * _CALLERS_SOCKETS),
        routers=_at_least(connections, sockets * _ROUTERS_SOCKETS),
    )


def _at_least(connections: int, sockets: float) -> int:
    return max(_MIN_CONNECTIONS, min(connections, int(sockets)))
