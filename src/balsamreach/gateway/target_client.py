"""HTTP client that polls targets and sends them orders."""

import json
from collections.abc import Mapping
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.curl_heads import CurlHead
from balsamreach.gateway.target_tls import target_tls, target_url
from balsamreach.json_input import JsonFault, read_json
from balsamreach.targets.client import (
    CacheEvent,
    CacheEvents,
    Order,
    TargetClient,
)
from balsamreach.targets.faults import (
    NO_ANSWER,
    ODD_ANSWER,
    REFUSED,
    UNREACHABLE,
    TargetFault,
)
from balsamreach.targets.reports import LoadReport, read_report

_MAX_CLIENTS = 64
_CONNECTION_AGE_S = 30
_FIRST_ERROR_STATUS = 400
#: Maximum size in bytes of an answer. One without end would take all memory
#: before its timeout.
_MAX_ANSWER_BYTES = 8 << 20
_STORED = 'stored'
_NO_CONNECTION = frozenset(
    (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST),
)


class HttpTargetClient(TargetClient):
    """Target client that reuses connections idle for a limited time.

    Parameters
    ----------
    cfg : Settings
        Timeout of a request, and TLS.
    clock : Clock
        Source of the times at which reports were requested.
    """

    def __init__(self, cfg: Settings, clock: Clock) -> None:
        self._timeout = cfg.targets.poll_timeout
        self._routing = cfg.routing
        self._tls = target_tls(cfg.routing)
        self._clock = clock
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
        )

    async def load(
        self,
        address: str,
        *,
        fresh: bool = False,
    ) -> LoadReport | TargetFault:
        """Request a load report."""
        asked_at = self._clock.now()
        prepare = self._prepare_fresh if fresh else self._prepare
        body = await self._fetch(
            address,
            HTTPRequest(
                target_url(self._routing, address, '/load'),
                prepare_curl_callback=prepare,
                **self._timeouts(),
            ),
        )
        if isinstance(body, TargetFault):
            return body
        return read_report(body, asked_at)

    async def cache_events(
        self,
        address: str,
        since: int,
    ) -> CacheEvents | TargetFault:
        """Request the cache events from a sequence number on."""
        path = f'/cache-events?since={since}'
        body = await self._fetch(
            address,
            HTTPRequest(
                target_url(self._routing, address, path),
                prepare_curl_callback=self._prepare,
                **self._timeouts(),
            ),
        )
        if isinstance(body, TargetFault):
            return body
        return _read_events(body)

    async def order(self, address: str, order: Order) -> TargetFault | None:
        """Send an order once, on a new connection.

        If a pooled connection closes without an answer, curl resends the
        order by itself. A duplicate order is harmless, but it would not be
        counted.
        """
        fields = {
            'order': order.kind,
            'fence': order.fence,
            'incarnation': order.incarnation,
            'model': order.model,
        }
        body = await self._fetch(
            address,
            HTTPRequest(
                target_url(self._routing, address, '/orders'),
                method='POST',
                headers={'Content-Type': 'application/json'},
                body=json.dumps(fields),
                prepare_curl_callback=self._prepare_fresh,
                **self._timeouts(),
            ),
        )
        return body if isinstance(body, TargetFault) else None

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _timeouts(self) -> dict[str, Any]:
        return {
            'connect_timeout': self._timeout,
            'request_timeout': self._timeout,
            'follow_redirects': False,
        }

    async def _fetch(
        self,
        address: str,
        request: HTTPRequest,
    ) -> Mapping[str, Any] | TargetFault:
        head = CurlHead()
        head.watch(request)
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as exc:
            is_unreachable = exc.errno in _NO_CONNECTION
            fault = UNREACHABLE if is_unreachable else NO_ANSWER
            return fault.because(str(exc))
        if head.final is None:
            return NO_ANSWER.because(head.problem)
        if self.on_head is not None:
            self.on_head(address, head.final.status, head.final.headers)
        if response.code >= _FIRST_ERROR_STATUS:
            return REFUSED.because(f'the target answered {response.code}')
        parsed = read_json(response.body)
        if isinstance(parsed, JsonFault):
            return ODD_ANSWER.because('the answer is not JSON')
        return parsed

    def _prepare(self, curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.MAXAGE_CONN, _CONNECTION_AGE_S)
        curl.setopt(pycurl.NOPROXY, '*')
        curl.setopt(pycurl.MAXFILESIZE, _MAX_ANSWER_BYTES)
        # Set in any case, because a pooled handle keeps the options of its
        # last request.
        curl.setopt(pycurl.FRESH_CONNECT, 0)
        curl.setopt(pycurl.FORBID_REUSE, 0)
        self._tls.prepare(curl)

    def _prepare_fresh(self, curl: pycurl.Curl) -> None:
        self._prepare(curl)
        curl.setopt(pycurl.FRESH_CONNECT, 1)


def _read_events(body: Mapping[str, Any]) -> CacheEvents | TargetFault:
    try:
        return CacheEvents(
            next_seq=int(body['next']),
            events=tuple(map(_read_event, body['events'])),
        )
    except (KeyError, TypeError, ValueError) as exc:
        return ODD_ANSWER.because(f'not cache events: {exc!r}')


def _read_event(event: Mapping[str, Any]) -> CacheEvent:
    return CacheEvent(
        seq=int(event['seq']),
        block=str(event['block']),
        stored=event['kind'] == _STORED,
    )
