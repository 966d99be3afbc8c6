"""HTTP client of the platform's services that classifies failures."""

import asyncio
import json
from typing import Any

import attrs
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from balsamreach.curl_heads import CurlHead
from balsamreach.curl_tls import CurlTls
from balsamreach.json_input import JsonFault, read_json
from balsamreach.services.faults import (
    CONFLICT,
    INVALID,
    MISSING,
    TOO_LARGE,
    UNAVAILABLE,
    UNKNOWN,
    UNREACHABLE,
    PlatformFault,
)

#: Maximum age in seconds at which a pooled connection is reused.
_CONNECTION_AGE_S = 30
_FAULTS = {
    400: INVALID,
    404: MISSING,
    409: CONFLICT,
    429: UNAVAILABLE,
    503: UNAVAILABLE,
}
_FIRST_ERROR_STATUS = 400
#: Maximum size in bytes of an answer of which the caller states none. A page
#: has 1 MB and a stored object some more; an answer without end would take all
#: memory while its bytes keep the call active.
_MAX_ANSWER_BYTES = 32 << 20
#: Progress checks per request timeout.
_CHECKS = 4
#: Check intervals until the first check.
_FIRST_CHECKS = 3
#: Maximum duration of an active call, in request timeouts.
_MAX_TIMEOUTS = 16
_NO_CONNECTION = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
    )
)


@attrs.frozen
class Call:
    """A request to a service.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with query, beginning with a slash.
    body : bytes or None
        Request body, if any.
    writes : bool
        Whether the call changes data, so that it must not be sent twice.
    most_bytes : int
        Maximum size of the answer; 0 for 32 MiB, beyond which the outcome is
        unknown.
    """

    method: str
    path: str
    body: bytes | None = None
    writes: bool = False
    most_bytes: int = 0


@attrs.define
class _Transfer:
    """State of a call in progress, updated by curl callbacks."""

    call: Call
    tls: CurlTls
    new_connection: bool = False
    attempts: int = 0
    transferred: int = 0
    is_abandoned: bool = False
    head: CurlHead = attrs.field(factory=CurlHead)

    def prepare(self, curl: pycurl.Curl) -> None:
        # A pooled connection from before an outage may be dead without having
        # been closed. Without a maximum age, calls would hang on it until
        # their timeout, once per pooled connection.
        curl.setopt(pycurl.MAXAGE_CONN, _CONNECTION_AGE_S)
        curl.setopt(pycurl.FRESH_CONNECT, int(self.new_connection))
        # Services are configured by address: ignore proxies from the
        # environment.
        curl.setopt(pycurl.NOPROXY, '*')
        curl.setopt(pycurl.PREREQFUNCTION, self.before_send)
        curl.setopt(pycurl.XFERINFOFUNCTION, self.note_progress)
        curl.setopt(pycurl.NOPROGRESS, 0)
        most_bytes = self.call.most_bytes or _MAX_ANSWER_BYTES
        curl.setopt(pycurl.MAXFILESIZE, most_bytes)
        self.tls.prepare(curl)

    def before_send(self, *_addresses: Any) -> int:
        self.attempts += 1
        # Curl resends a request by itself if a reused connection closes
        # without an answer. A commit that was applied would then conflict
        # with its own rows, so the second attempt is aborted and the outcome
        # is reported as unknown.
        is_repeat = self.attempts > 1 and self.call.writes
        # The caller may have been told that nothing was sent.
        if is_repeat or self.is_abandoned:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    def note_progress(self, _down: int, down: int, _up: int, up: int) -> bool:
        """Count the transferred bytes; return True to abort the transfer."""
        self.transferred = down + up
        return self.is_abandoned

    async def wait(
        self,
        fetch: asyncio.Future,
        silence_timeout: float,
    ) -> HTTPResponse | PlatformFault:
        """Wait for the answer or until nothing is transferred for a timeout."""
        try:
            answered = await self._wait_while_active(fetch, silence_timeout)
        finally:
            # Also if the waiting task was cancelled: the rest of the transfer
            # would otherwise go on using the link.
            self.is_abandoned = True
        if not answered:
            kind = UNKNOWN if self.attempts else UNREACHABLE
            return kind.because(f'silent after {self.transferred} bytes')
        try:
            response = fetch.result()
        except CurlError as exc:
            return self._fault(exc)
        if self.head.final is not None:
            return response
        return UNKNOWN.because(self.head.problem)

    async def _wait_while_active(
        self, fetch: asyncio.Future, silence_timeout: float
    ) -> bool:
        # Count checks instead of time: otherwise a process that was suspended
        # would take its own pause for silence of the service.
        silent_checks = 0
        # Most calls are answered before the first check, so they need no
        # further iteration of the event loop.
        checks = _FIRST_CHECKS
        while silent_checks < _CHECKS:
            transferred = self.transferred
            await asyncio.wait(
                {fetch}, timeout=silence_timeout * checks / _CHECKS
            )
            if fetch.done():
                return True
            # The answer to a write is small, so a part of it does not extend
            # the timeout.
            is_active = self.transferred > transferred and not self.call.writes
            silent_checks = 0 if is_active else silent_checks + checks
            checks = 1
        return False

    def _fault(self, exc: CurlError) -> PlatformFault:
        is_too_large = exc.errno == pycurl.E_FILESIZE_EXCEEDED
        if is_too_large and self.call.most_bytes:
            return TOO_LARGE.because(str(exc))
        refused = exc.errno in _NO_CONNECTION and not self.call.writes
        if self.attempts == 0 or refused:
            return UNREACHABLE.because(str(exc))
        return UNKNOWN.because(str(exc))


@attrs.define(eq=False)
class PlatformClient:
    """HTTP client for one base URL.

    Parameters
    ----------
    base_url : str
        Scheme, address and port, without a trailing slash.
    connect_timeout : float
        Maximum seconds for connecting.
    request_timeout : float
        Seconds without any transferred byte after which a call fails. A read
        may take up to 16 times as long while bytes arrive: otherwise a large
        answer on a slow link would be aborted and restarted each time, never
        complete and use up the link.
    tls : CurlTls
        Certificates for https.
    max_clients : int
        Maximum number of concurrent calls.
    """

    base_url: str
    connect_timeout: float = 2
    request_timeout: float = 5
    tls: CurlTls = attrs.Factory(CurlTls)
    max_clients: int = 32
    _client: CurlAsyncHTTPClient | None = None
    _needs_new_connection: bool = False

    async def send(self, call: Call) -> bytes | PlatformFault:
        """Send a call and return the body of its answer.

        Returns
        -------
        bytes or PlatformFault
            UNREACHABLE if nothing was sent, UNKNOWN if the request was sent
            and not answered, otherwise by the HTTP status.
        """
        response = await self.exchange(call)
        if isinstance(response, PlatformFault):
            return response
        return _body_or_fault(response)

    async def exchange(self, call: Call) -> HTTPResponse | PlatformFault:
        """Send a call and return its answer, whatever its status.

        Returns
        -------
        HTTPResponse or PlatformFault
            UNREACHABLE or UNKNOWN as from ``send``; TOO_LARGE if the answer
            exceeds ``most_bytes``.
        """
        transfer = _Transfer(
            call, self.tls, new_connection=self._needs_new_connection
        )
        request = self._request(call, transfer)
        transfer.head.watch(request)
        fetch = self._http_client().fetch(request, raise_error=False)
        fetch.add_done_callback(_consume_exception)
        outcome = await transfer.wait(fetch, self.request_timeout)
        # If one pooled connection is dead, the others probably are too, and
        # each would cost a call its whole timeout.
        failed = isinstance(outcome, PlatformFault)
        self._needs_new_connection = failed and outcome != TOO_LARGE
        return outcome

    async def send_json(self, call: Call) -> Any | PlatformFault:
        """Send a call and return its decoded JSON answer."""
        body = await self.send(call)
        if isinstance(body, PlatformFault):
            return body
        parsed = read_json(body)
        if isinstance(parsed, JsonFault):
            return UNKNOWN.because('the answer is not JSON')
        return parsed

    def close(self) -> None:
        """Close the pooled connections."""
        if self._client is not None:
            self._client.close()
            self._client = None

    def _http_client(self) -> CurlAsyncHTTPClient:
        # Created with the first call, because it is bound to the running loop.
        if self._client is None:
            self._client = CurlAsyncHTTPClient(
                force_instance=True,
                max_clients=self.max_clients,
            )
        return self._client

    def _request(self, call: Call, transfer: _Transfer) -> HTTPRequest:
        return HTTPRequest(
            self.base_url + call.path,
            method=call.method,
            body=call.body,
            connect_timeout=self.connect_timeout,
            request_timeout=self.request_timeout * _MAX_TIMEOUTS,
            follow_redirects=False,
            user_agent='balsamreach',
            prepare_curl_callback=transfer.prepare,
        )


def _consume_exception(fetch: asyncio.Future) -> None:
    # Nobody awaits an abandoned call: without this, asyncio would log its
    # exception as never retrieved.
    if not fetch.cancelled():
        fetch.exception()


def _body_or_fault(
    response: HTTPResponse,
) -> bytes | PlatformFault:
    if response.code < _FIRST_ERROR_STATUS:
        return response.body
    # Other statuses do not tell whether the call was applied.
    fault = _FAULTS.get(response.code, UNKNOWN)
    return fault.because(f'the service answered {response.code}')


def json_call(path: str, body: Any, *, writes: bool) -> Call:
    """Return a POST call with a JSON body."""
    encoded = json.dumps(body, separators=(',', ':')).encode()
    return Call('POST', path, encoded, writes=writes)
