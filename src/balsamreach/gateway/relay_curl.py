"""Carries passed-through requests to targets with curl."""

from functools import partial

import attrs
import pycurl

from balsamreach.dispatch.upstream import Intake, UpstreamFault
from balsamreach.gateway.curl_handles import CurlHandles, set_callbacks
from balsamreach.gateway.curl_transfer import Transfer
from balsamreach.relay.exchange import Exchange, Outgoing

_MS = 1000
#: Seconds after which a kept connection isn't used again. Targets close idle
#: ones after a few seconds, and what is sent at that moment is lost.
_IDLE_S = 3
#: Headers that curl adds by itself unless told not to.
_CURL_ADDS = ('Accept', 'User-Agent', 'Content-Type', 'Expect')


@attrs.define
class RelayCurl(Exchange):
    """Sends each attempt on a pooled connection, or a fresh one.

    Parameters
    ----------
    connect_timeout : float
        Seconds that a connection may take.
    """

    connect_timeout: float
    _handles: CurlHandles = attrs.field(factory=CurlHandles)

    async def send(
        self,
        outgoing: Outgoing,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send an attempt and feed the answer to the intake."""
        prepare = partial(self._apply, outgoing)
        return await self._handles.send(
            prepare, intake, outgoing.silence_timeout
        )

    def close(self) -> None:
        """Close all connections."""
        self._handles.close()

    def _apply(
        self,
        outgoing: Outgoing,
        curl: pycurl.Curl,
        transfer: Transfer,
    ) -> None:
        _set_place(curl, outgoing)
        _set_method(curl, outgoing)
        curl.setopt(pycurl.HTTPHEADER, _header_lines(outgoing.headers))
        self._set_reuse(curl, outgoing)
        set_callbacks(curl, transfer)

    def _set_reuse(self, curl: pycurl.Curl, outgoing: Outgoing) -> None:
        connect_ms = int(self.connect_timeout * _MS)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, connect_ms)
        curl.setopt(pycurl.MAXAGE_CONN, _IDLE_S)
        if outgoing.new_connection:
            curl.setopt(pycurl.FRESH_CONNECT, 1)


def _set_place(curl: pycurl.Curl, outgoing: Outgoing) -> None:
    url = f'http://{outgoing.target.address}{outgoing.path}'
    curl.setopt(pycurl.URL, url)
    # Targets are given by address: a proxy named in the environment must not
    # come between.
    curl.setopt(pycurl.NOPROXY, '*')
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)


def _set_method(curl: pycurl.Curl, outgoing: Outgoing) -> None:
    if outgoing.body or outgoing.method in {'POST', 'PUT', 'PATCH'}:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, outgoing.body)
    if outgoing.method == 'HEAD':
        curl.setopt(pycurl.NOBODY, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, outgoing.method)


def _header_lines(headers: tuple[tuple[str, str], ...]) -> list[str]:
    present = {name.lower() for name, _text in headers}
    # A header without a value is written with a semicolon, or curl would
    # leave it out.
    lines = [
        f'{name}: {text}' if text else f'{name};' for name, text in headers
    ]
    dropped = (name for name in _CURL_ADDS if name.lower() not in present)
    return [*lines, *(f'{name}:' for name in dropped)]
