"""Curl's options for one attempt."""

import attrs
import pycurl

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.upstream import Attempt
from balsamreach.gateway.curl_handles import set_callbacks
from balsamreach.gateway.curl_transfer import Transfer
from balsamreach.gateway.target_tls import target_tls, target_url

_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))
#: Seconds without use after which a pooled connection isn't used again.
_IDLE_S = 30
_MS = 1000
#: Seconds between two keep-alive probes.
_PROBE_S = 5
#: Suspicions kept; a target that went silent longer ago has new ones.
_MOST_SILENCES = 1024


@attrs.define
class CurlOptions:
    """Sets handles up for attempts.

    Parameters
    ----------
    cfg : Settings
        Time-outs, the age of pooled connections, and TLS.
    clock : Clock
        Time of silences.
    """

    cfg: Settings
    clock: Clock
    _silences: dict[str, float] = attrs.field(factory=dict)

    def note_silence(self, address: str) -> None:
        """Use no connection of a target again that stands at this time."""
        if len(self._silences) >= _MOST_SILENCES:
            self._silences.pop(next(iter(self._silences)))
        self._silences[address] = self.clock.now()

    def apply(
        self,
        attempt: Attempt,
        curl: pycurl.Curl,
        transfer: Transfer,
    ) -> None:
        """Set all options of a handle that has none."""
        self._set_request(curl, attempt)
        self._set_reuse(curl, attempt)
        if self.cfg.routing.target_tls:
            target_tls(self.cfg.routing).prepare(curl)
        set_callbacks(curl, transfer)

    def _set_request(self, curl: pycurl.Curl, attempt: Attempt) -> None:
        call = attempt.call
        address = attempt.target.row.address
        url = target_url(self.cfg.routing, address, call.path)
        curl.setopt(pycurl.URL, url)
        # Targets are given by address: a proxy named in the environment
        # must not come between.
        curl.setopt(pycurl.NOPROXY, '*')
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        _set_method(curl, call)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.HTTPHEADER, _header_lines(attempt))

    def _set_reuse(self, curl: pycurl.Curl, attempt: Attempt) -> None:
        connect_ms = int(self.cfg.platform.connect_timeout * _MS)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, connect_ms)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.TCP_KEEPIDLE, _PROBE_S)
        curl.setopt(pycurl.TCP_KEEPINTVL, _PROBE_S)
        curl.setopt(pycurl.MAXAGE_CONN, _IDLE_S)
        age = self._greatest_age(attempt.target.row.address)
        if age:
            curl.setopt(pycurl.MAXLIFETIME_CONN, age)
        # A pooled connection may have been closed by its target, or have
        # been forgotten by something between, without this side knowing.
        # A request that may not be repeated would then end as unknown.
        if not (age and attempt.call.idempotent):
            curl.setopt(pycurl.FRESH_CONNECT, 1)

    def _greatest_age(self, address: str) -> int:
        age = max(1, int(self.cfg.routing.connection_age))
        silent_at = self._silences.get(address)
        if silent_at is None:
            return age
        # What silenced one connection to a target most likely silenced its
        # others, and each would cost a request a whole gap timeout. Only
        # those that were made after the silence are used.
        since = int(self.clock.now() - silent_at)
        if since > age:
            self._silences.pop(address)
        return min(age, since)


def _set_method(curl: pycurl.Curl, call: Call) -> None:
    if call.method in _BODY_METHODS:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, call.body)
    if call.method == 'HEAD':
        curl.setopt(pycurl.NOBODY, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, call.method)


def _header_lines(attempt: Attempt) -> list[str]:
    sent = attempt.call.headers | {
        'X-Attempt-Id': attempt.attempt_id,
        'User-Agent': 'balsamreach',
    }
    lines = [f'{name}: {text}' for name, text in sent.items()]
    # Without this, curl holds a large body back for a second to ask whether
    # the target wants it.
    return [*lines, 'Expect:']
