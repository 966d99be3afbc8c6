"""Limits of what clients may send, and why a request exceeds them."""

import abc
import enum
import math
from collections.abc import Iterable

import attrs


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits of one listener.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum sizes of the header and of the body.
    header_time : float
        Maximum seconds to receive the header, from its first byte on.
    body_time : float
        Maximum seconds to receive the request.
    idle_time : float
        Maximum seconds for which nothing of a body arrives, and for which a
        connection waits for a request.
    first_time : float
        Maximum seconds for which a new connection waits for its first request,
        if that is shorter.
    """

    header_bytes: int
    body_bytes: int
    header_time: float
    body_time: float = math.inf
    idle_time: float = math.inf
    first_time: float = math.inf


class Reason(enum.Enum):
    """Why a request is refused before it is whole."""

    HEADER_TOO_LARGE = 'header_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_TOO_SLOW = 'body_timeout'
    #: The process has no memory left for it.
    NO_MEMORY = 'no_memory'


class Refuser(abc.ABC):
    """Writes the responses to requests that are refused."""

    @abc.abstractmethod
    def render(self, reason: Reason) -> bytes:
        """Return the whole response, after which the connection closes."""


def render_response(
    status: int, headers: Iterable[tuple[str, str]], body: bytes = b''
) -> bytes:
    """Return a response after which the connection closes.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : iterable of (str, str)
        Headers, except those for the length and the connection.
    body : bytes
        Body.
    """
    lines = [
        f'HTTP/1.1 {status} Refused',
        f'Content-Length: {len(body)}',
        'Connection: close',
        *(f'{name}: {text}' for name, text in headers),
    ]
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode() + body
