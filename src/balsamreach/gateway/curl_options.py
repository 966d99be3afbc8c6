"""Curl options of the attempts at targets."""

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
#: Idle seconds after which a pooled connection is no longer reused.
_MAX_IDLE_S = 30
_MS = 1000
#: Seconds between two TCP keep-alive probes.
_KEEPALIVE_S = 5
#: Maximum number of recorded silences; the oldest is dropped first, as a
#: target that went silent longer ago has new connections by then.
_MAX_SILENCES = 1024


@attrs.define
class CurlOptions:
    """Sets the options of curl handles for attempts.

    Parameters
    ----------
    cfg : Settings
        Timeouts, the maximum age of pooled connections, and TLS.
    clock : Clock
        Time source for recorded silences.
    """

    cfg: Settings
    clock: Clock
    _silence_times: dict[str, float] = attrs.field(factory=dict)

    def record_silence(self, address: str) -> None:
        """Stop reusing the connections that a target has at this time."""
        if len(self._silence_times) >= _MAX_SILENCES:
            self._silence_times.pop(next(iter(self._silence_times)))
        self._silence_times[address] = self.clock.now()

    def apply(
        self,
        attempt: Attempt,
        curl: pycurl.Curl,
        transfer: Transfer,
    ) -> None:
        """Set all options of a reset handle."""
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
        # Targets are addressed directly, even if the environment names a
        # proxy.
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
        curl.setopt(pycurl.TCP_KEEPIDLE, _KEEPALIVE_S)
        curl.setopt(pycurl.TCP_KEEPINTVL, _KEEPALIVE_S)
        curl.setopt(pycurl.MAXAGE_CONN, _MAX_IDLE_S)
        age = self._max_age(attempt.target.row.address)
        if age:
            curl.setopt(pycurl.MAXLIFETIME_CONN, age)
        # The target may have closed a pooled connection, or a device on the
        # path may have dropped it, before this side notices. A request that
        # may not be repeated would then end with an unknown outcome.
        if not (age and attempt.call.idempotent):
            curl.setopt(pycurl.FRESH_CONNECT, 1)

    def _max_age(self, address: str) -> int:
        age = max(1, int(self.cfg.routing.connection_age))
        silent_at = self._silence_times.get(address)
        if silent_at is None:
            return age
        # The cause of one silent connection most likely affects the other
        # connections to the target, and each would cost a request a whole
        # gap timeout. Only connections made after the silence are reused.
        elapsed = int(self.clock.now() - silent_at)
        if elapsed > age:
            self._silence_times.pop(address)
        return min(age, elapsed)


def _set_method(curl: pycurl.Curl, call: Call) -> None:
    if call.method in _BODY_METHODS:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, call.body)
    if call.method == 'HEAD':
        curl.setopt(pycurl.NOBODY, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, call.method)


def _header_lines(attempt: Attempt) -> list[str]:
    headers = attempt.call.headers | {
        'X-Attempt-Id': attempt.attempt_id,
        'User-Agent': 'balsamreach',
    }
    lines = [f'{name}: {value}' for name, value in headers.items()]
    # An empty Expect stops curl from delaying a large body by one second to
    # wait for '100 Continue'.
    return [*lines, 'Expect:']
