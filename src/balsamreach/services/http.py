"""Sends requests to the platform's services and sorts out what failed."""

import asyncio
import json
from typing import Any

import attrs
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from balsamreach.curl_tls import CurlTls
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

#: A pooled connection older than this isn't used again.
_CONNECTION_AGE_S = 30
_FAULTS = {
    400: INVALID,
    404: MISSING,
    409: CONFLICT,
    429: UNAVAILABLE,
    503: UNAVAILABLE,
}
_FIRST_ERROR = 400
#: Looks at a call in the time in which something must come.
_LOOKS = 4
#: Looks that the first one stands for.
_FIRST_LOOKS = 3
#: Times that time which a whole call may take while something comes.
_MOST_TIMES = 16
_NO_CONNECTION = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
    )
)


@attrs.frozen
class Call:
    """One request to a service.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with query, from its first slash on.
    body : bytes or None
        Body, for methods that have one.
    writes : bool
        Whether it changes something, so that it may not be sent twice.
    most_bytes : int
        Size of an answer that is wanted; 0 for any.
    """

    method: str
    path: str
    body: bytes | None = None
    writes: bool = False
    most_bytes: int = 0


@attrs.define
class _Sending:
    """What curl tells about one call while it is under way."""

    call: Call
    tls: CurlTls
    fresh: bool = False
    tries: int = 0
    moved: int = 0
    is_given_up: bool = False

    def prepare(self, curl: pycurl.Curl) -> None:
        # Without a bound, a connection kept since before an outage may be
        # dead without either side having said so: calls on it would hang
        # until their timeout, once per pooled connection.
        curl.setopt(pycurl.MAXAGE_CONN, _CONNECTION_AGE_S)
        curl.setopt(pycurl.FRESH_CONNECT, int(self.fresh))
        # Services are given by address: a proxy named in the environment
        # must not come between.
        curl.setopt(pycurl.NOPROXY, '*')
        curl.setopt(pycurl.PREREQFUNCTION, self.before_send)
        curl.setopt(pycurl.XFERINFOFUNCTION, self.note_progress)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.MAXFILESIZE, self.call.most_bytes)
        self.tls.prepare(curl)

    def before_send(self, *_addresses: Any) -> int:
        self.tries += 1
        # Curl sends a request again by itself where a reused connection
        # closes without an answer. A commit that took effect would then
        # meet its own rows and be reported as a conflict, so the second
        # try is stopped and the caller learns that the outcome is unknown.
        is_repeated = self.tries > 1 and self.call.writes
        # Who gave it up may have been told that nothing was sent.
        if is_repeated or self.is_given_up:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    def note_progress(self, _down: int, down: int, _up: int, up: int) -> bool:
        """Count the bytes moved; True makes curl end the call."""
        self.moved = down + up
        return self.is_given_up

    async def outcome(
        self,
        fetch: asyncio.Future,
        patience: float,
    ) -> HTTPResponse | PlatformFault:
        """Wait for the answer until nothing has moved for a while."""
        try:
            answered = await self._wait(fetch, patience)
        finally:
            # Also where nobody waits any more: what is left of the call would
            # go on to fill the link.
            self.is_given_up = True
        if not answered:
            kind = UNKNOWN if self.tries else UNREACHABLE
            return kind.because(f'silent after {self.moved} bytes')
        try:
            return fetch.result()
        except CurlError as exc:
            return self._fault(exc)

    async def _wait(self, fetch: asyncio.Future, patience: float) -> bool:
        # Looks are counted rather than time: a process that stood still would
        # otherwise wake up to a silence of its own making.
        silent_looks = 0
        # Most calls are answered by then, and cost no other turn of the loop.
        looks = _FIRST_LOOKS
        while silent_looks < _LOOKS:
            moved = self.moved
            await asyncio.wait({fetch}, timeout=patience * looks / _LOOKS)
            if fetch.done():
                return True
            # A change is small: its caller waits no longer for one in pieces.
            is_coming = self.moved > moved and not self.call.writes
            silent_looks = 0 if is_coming else silent_looks + looks
            looks = 1
        return False

    def _fault(self, exc: CurlError) -> PlatformFault:
        if exc.errno == pycurl.E_FILESIZE_EXCEEDED:
            return TOO_LARGE.because(str(exc))
        refused = exc.errno in _NO_CONNECTION and not self.call.writes
        if self.tries == 0 or refused:
            return UNREACHABLE.because(str(exc))
        return UNKNOWN.because(str(exc))


@attrs.define(eq=False)
class PlatformClient:
    """Shared sender for one base address.

    Parameters
    ----------
    base_url : str
        Scheme, address and port, without a slash at the end.
    connect_timeout : float
        Seconds a connection may take.
    request_timeout : float
        Seconds in which something of a call must move. An answer that takes
        longer as a whole is waited for as long as it comes: on a small link
        a large one would be broken off and begun anew each time otherwise,
        never be whole, and fill the link.
    tls : CurlTls
        Certificates, where the address is https.
    max_clients : int
        Calls under way at a time.
    """

    base_url: str
    connect_timeout: float = 2
    request_timeout: float = 5
    tls: CurlTls = attrs.Factory(CurlTls)
    max_clients: int = 32
    _client: CurlAsyncHTTPClient | None = None
    _doubtful: bool = False

    async def send(self, call: Call) -> bytes | PlatformFault:
        """Send one call and return the body of its answer.

        Returns
        -------
        bytes or PlatformFault
            UNREACHABLE means that nothing was sent, UNKNOWN that no answer
            came to what was sent.
        """
        response = await self.exchange(call)
        if isinstance(response, PlatformFault):
            return response
        return _outcome(response)

    async def exchange(self, call: Call) -> HTTPResponse | PlatformFault:
        """Send one call and return its answer, whatever its status.

        Returns
        -------
        HTTPResponse or PlatformFault
            UNREACHABLE or UNKNOWN as from ``send``; TOO_LARGE where the
            answer has more bytes than wanted.
        """
        sending = _Sending(call, self.tls, fresh=self._doubtful)
        request = self._request(call, sending)
        fetch = self._fetcher().fetch(request, raise_error=False)
        fetch.add_done_callback(_take_outcome)
        outcome = await sending.outcome(fetch, self.request_timeout)
        # What silenced one kept connection most likely silenced the others;
        # each would cost a call its whole timeout.
        failed = isinstance(outcome, PlatformFault)
        self._doubtful = failed and outcome != TOO_LARGE
        return outcome

    async def send_json(self, call: Call) -> Any | PlatformFault:
        """Send one call and return the JSON of its answer."""
        body = await self.send(call)
        if isinstance(body, PlatformFault):
            return body
        try:
            return json.loads(body)
        except ValueError:
            return UNKNOWN.because('the answer is not JSON')

    def close(self) -> None:
        """Close the pooled connections."""
        if self._client is not None:
            self._client.close()
            self._client = None

    def _fetcher(self) -> CurlAsyncHTTPClient:
        # Made with the first call, since it belongs to the running loop.
        if self._client is None:
            self._client = CurlAsyncHTTPClient(
                force_instance=True,
                max_clients=self.max_clients,
            )
        return self._client

    def _request(self, call: Call, sending: _Sending) -> HTTPRequest:
        return HTTPRequest(
            self.base_url + call.path,
            method=call.method,
            body=call.body,
            connect_timeout=self.connect_timeout,
            request_timeout=self.request_timeout * _MOST_TIMES,
            follow_redirects=False,
            user_agent='balsamreach',
            prepare_curl_callback=sending.prepare,
        )


def _take_outcome(fetch: asyncio.Future) -> None:
    # Nobody waits any more for a call that was given up.
    if not fetch.cancelled():
        fetch.exception()


def _outcome(
    response: HTTPResponse,
) -> bytes | PlatformFault:
    if response.code < _FIRST_ERROR:
        return response.body
    # Any other status says nothing about whether the call took effect.
    fault = _FAULTS.get(response.code, UNKNOWN)
    return fault.because(f'the service answered {response.code}')


def json_call(path: str, body: Any, *, writes: bool) -> Call:
    """Return a call that posts a JSON body."""
    encoded = json.dumps(body, separators=(',', ':')).encode()
    return Call('POST', path, encoded, writes=writes)
