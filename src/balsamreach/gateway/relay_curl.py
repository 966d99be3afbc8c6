"""Exchange that sends passed-through requests to targets with curl."""

from functools import partial

import attrs
import pycurl

from balsamreach.curl_tls import CurlTls
from balsamreach.dispatch.upstream import Intake, UpstreamFault
from balsamreach.gateway.curl_handles import CurlHandles, set_callbacks
from balsamreach.gateway.curl_transfer import Transfer
from balsamreach.relay.exchange import Exchange, Outgoing

_MS = 1000
#: Idle seconds after which a pooled connection is no longer reused. Targets
#: close idle connections after a few seconds, and a request sent at that
#: moment is lost.
_MAX_IDLE_S = 3
#: Headers that curl adds by default.
_CURL_DEFAULT_HEADERS = ('Accept', 'User-Agent', 'Content-Type', 'Expect')


@attrs.define
class RelayCurl(Exchange):
    """Sends each attempt on a pooled or a new connection.

    Parameters
    ----------
    connect_timeout : float
        Maximum seconds to establish a connection, unless an attempt has its
        own.
    tls : CurlTls or None
        Certificates for TLS connections; None for plain connections.
    handles : CurlHandles
        Run the transfers.
    """

    connect_timeout: float
    tls: CurlTls | None = None
    handles: CurlHandles = attrs.field(factory=CurlHandles)

    async def send(
        self,
        outgoing: Outgoing,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send an attempt and pass the answer to the intake."""
        prepare = partial(self._apply, outgoing)
        return await self.handles.send(prepare, intake)

    def close(self) -> None:
        """Close all connections."""
        self.handles.close()

    def _apply(
        self,
        outgoing: Outgoing,
        curl: pycurl.Curl,
        transfer: Transfer,
    ) -> None:
        _set_url(curl, outgoing, 'http' if self.tls is None else 'https')
        if self.tls is not None:
            self.tls.prepare(curl)
        _set_method(curl, outgoing)
        curl.setopt(pycurl.HTTPHEADER, _header_lines(outgoing.headers))
        self._set_reuse(curl, outgoing)
        set_callbacks(curl, transfer)

    def _set_reuse(self, curl: pycurl.Curl, outgoing: Outgoing) -> None:
        timeout = outgoing.connect_timeout or self.connect_timeout
        connect_ms = int(timeout * _MS)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, connect_ms)
        curl.setopt(pycurl.MAXAGE_CONN, _MAX_IDLE_S)
        if outgoing.new_connection:
            curl.setopt(pycurl.FRESH_CONNECT, 1)


def _set_url(curl: pycurl.Curl, outgoing: Outgoing, scheme: str) -> None:
    url = f'{scheme}://{outgoing.target.address}{outgoing.path}'
    curl.setopt(pycurl.URL, url)
    # Targets are addressed directly, even if the environment names a proxy.
    curl.setopt(pycurl.NOPROXY, '*')
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)


@attrs.define
class _PrefixedBody:
    """Reads a prefix and a body without joining them."""

    prefix: bytes
    body: bytes
    _position: int = 0

    @property
    def size(self) -> int:
        """Bytes of both."""
        return len(self.prefix) + len(self.body)

    def read(self, size: int) -> bytes:
        """Return the next bytes, none at the end."""
        start, length = self._position, len(self.prefix)
        chunk = self.prefix[start : start + size]
        if start >= length:
            chunk = self.body[start - length : start - length + size]
        self._position += len(chunk)
        return chunk

    def seek(self, offset: int, _origin: int) -> int:
        """Continue at an offset from the start."""
        self._position = offset
        return pycurl.SEEKFUNC_OK


def _set_method(curl: pycurl.Curl, outgoing: Outgoing) -> None:
    if outgoing.prefix:
        prefixed = _PrefixedBody(outgoing.prefix, outgoing.body)
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDSIZE_LARGE, prefixed.size)
        curl.setopt(pycurl.READFUNCTION, prefixed.read)
        curl.setopt(pycurl.SEEKFUNCTION, prefixed.seek)
    elif outgoing.body or outgoing.method in {'POST', 'PUT', 'PATCH'}:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, outgoing.body)
    if outgoing.method == 'HEAD':
        curl.setopt(pycurl.NOBODY, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, outgoing.method)


def _header_lines(headers: tuple[tuple[str, str], ...]) -> list[str]:
    present = {name.lower() for name, _text in headers}
    # Curl omits a header without a value unless it ends with a semicolon.
    lines = [
        f'{name}: {text}' if text else f'{name};' for name, text in headers
    ]
    suppressed = (
        name for name in _CURL_DEFAULT_HEADERS if name.lower() not in present
    )
    return [*lines, *(f'{name}:' for name in suppressed)]
