"""Carries requests to targets over HTTP with the curl client."""

import functools

import attrs
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from balsamreach.config.settings import Settings
from balsamreach.dispatch.upstream import (
    BROKEN,
    NOT_SENT,
    Attempt,
    Intake,
    Upstream,
    UpstreamFault,
)

_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))
_MAX_CLIENTS = 4000


@attrs.define
class _Head:
    """Collects the head of an answer line by line."""

    intake: Intake
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)

    def take(self, line: str) -> None:
        """Take a header line; the empty one starts the answer."""
        line = line.strip()
        if line.startswith('HTTP/'):
            self.status = int(line.split(' ')[1])
            self.headers = {}
        elif line:
            name, _colon, text = line.partition(':')
            self.headers[name.strip().lower()] = text.strip()
        else:
            self.intake.start(self.status, self.headers)


class CurlUpstream(Upstream):
    """Sends each request on a pooled connection.

    Parameters
    ----------
    cfg : Settings
        Time-outs and the age of pooled connections.
    """

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
        )

    async def send(
        self,
        attempt: Attempt,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send a request and feed the answer to the intake."""
        head = _Head(intake)
        request = self._request(attempt, head, intake)
        try:
            await self._client.fetch(request, raise_error=False)
        except CurlError as exc:
            return _judge(exc, intake)
        return None

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _request(
        self,
        attempt: Attempt,
        head: _Head,
        intake: Intake,
    ) -> HTTPRequest:
        call = attempt.call
        return HTTPRequest(
            f'http://{attempt.target.row.address}{call.path}',
            method=call.method,
            headers=call.headers | {'X-Attempt-Id': attempt.attempt_id},
            body=call.body if call.method in _BODY_METHODS else None,
            connect_timeout=self._cfg.platform.connect_timeout,
            request_timeout=0,
            streaming_callback=intake.write,
            header_callback=head.take,
            decompress_response=False,
            follow_redirects=False,
            prepare_curl_callback=functools.partial(self._prepare, intake),
        )

    def _prepare(self, intake: Intake, curl: pycurl.Curl) -> None:
        age = max(1, int(self._cfg.routing.connection_age))
        curl.setopt(pycurl.MAXAGE_CONN, age)
        # Curl sends a request again by itself where a reused connection
        # closes without an answer. The target may have run the first one:
        # it would show as two runs of one attempt. The intake allows one.
        allow = functools.partial(_before_send, intake)
        curl.setopt(pycurl.PREREQFUNCTION, allow)


def _before_send(intake: Intake, *_addresses: object) -> int:
    if intake.before_send():
        return pycurl.PREREQFUNC_OK
    return pycurl.PREREQFUNC_ABORT


def _judge(exc: CurlError, intake: Intake) -> UpstreamFault:
    if intake.sent:
        return BROKEN.because(str(exc))
    return NOT_SENT.because(str(exc))
