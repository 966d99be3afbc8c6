"""Carries passed-through requests to targets with curl."""

import attrs
import pycurl

from balsamreach.dispatch.upstream import (
    BROKEN,
    NOT_SENT,
    SILENT,
    Intake,
    UpstreamFault,
)
from balsamreach.gateway.curl_loop import CurlLoop, TransferEnd
from balsamreach.gateway.curl_transfer import Transfer
from balsamreach.gateway.curl_watch import SILENCE, Watch
from balsamreach.relay.exchange import Exchange, Outgoing

#: Handles kept for the next requests.
_KEPT_HANDLES = 256
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
    _curls: CurlLoop = attrs.field(factory=CurlLoop)
    _free: list[pycurl.Curl] = attrs.field(factory=list)

    async def send(
        self,
        outgoing: Outgoing,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send an attempt and feed the answer to the intake."""
        transfer = Transfer(intake)
        curl = self._free.pop() if self._free else pycurl.Curl()
        self._apply(curl, outgoing, transfer)
        watch = Watch(self._curls, curl, transfer, outgoing.gap)
        watch.start()
        try:
            end = await self._curls.perform(curl)
        finally:
            watch.stop()
            self._keep(curl)
        return _judge(end, transfer)

    def close(self) -> None:
        """Close all connections."""
        self._curls.close()
        while self._free:
            self._free.pop().close()

    def _keep(self, curl: pycurl.Curl) -> None:
        curl.reset()
        if len(self._free) < _KEPT_HANDLES:
            self._free.append(curl)
        else:
            curl.close()

    def _apply(
        self,
        curl: pycurl.Curl,
        outgoing: Outgoing,
        transfer: Transfer,
    ) -> None:
        _set_place(curl, outgoing)
        _set_method(curl, outgoing)
        curl.setopt(pycurl.HTTPHEADER, _header_lines(outgoing.headers))
        self._set_reuse(curl, outgoing)
        curl.setopt(pycurl.PREREQFUNCTION, transfer.before_send)
        curl.setopt(pycurl.HEADERFUNCTION, transfer.take_line)
        curl.setopt(pycurl.WRITEFUNCTION, transfer.take_body)

    def _set_reuse(self, curl: pycurl.Curl, outgoing: Outgoing) -> None:
        connect_ms = int(self.connect_timeout * _MS)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, connect_ms)
        curl.setopt(pycurl.MAXAGE_CONN, _IDLE_S)
        if outgoing.fresh:
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


def _judge(end: TransferEnd, transfer: Transfer) -> UpstreamFault | None:
    if end.code == pycurl.E_OK and transfer.started:
        return None
    if not transfer.intake.sent:
        return NOT_SENT.because(end.message or 'no connection in time')
    if end.code == SILENCE:
        return SILENT.because('nothing came for the gap timeout')
    return BROKEN.because(transfer.problem or end.message or 'no whole head')
