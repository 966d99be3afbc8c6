"""HTTP client of the operators' interface."""

import io
import json
import time
import uuid
from collections.abc import Iterator
from typing import Any
from urllib.parse import quote, urlencode

import attrs
import pycurl

from balsamreach.client.faults import (
    BAD_CERTIFICATE,
    CONFLICTING,
    OUTCOME_UNKNOWN,
    REFUSED,
    UNREACHABLE,
    UNTRUSTED,
    ClientFault,
)
from balsamreach.curl_heads import CurlHead
from balsamreach.curl_tls import CurlTls

_CONNECT_TIMEOUT_S = 5
_REQUEST_TIMEOUT_S = 60
_ATTEMPTS = 5
_FIRST_PAUSE_S = 0.25
_MIN_ERROR_STATUS = 400
_CONFLICT = 409
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_PAGE_ROWS = 1000
_BAD_KEY_PAIR = (
    BAD_CERTIFICATE,
    'give PEM files that fit with --certificate and --certificate-key',
)
_NOT_SENT_FAULTS = {
    pycurl.E_COULDNT_CONNECT: (
        UNREACHABLE,
        'check --router and that a router runs there',
    ),
    pycurl.E_COULDNT_RESOLVE_HOST: (UNREACHABLE, 'check --router'),
    pycurl.E_URL_MALFORMAT: (UNREACHABLE, 'check --router'),
    pycurl.E_UNSUPPORTED_PROTOCOL: (UNREACHABLE, 'check --router'),
    pycurl.E_SSL_CONNECT_ERROR: (
        UNTRUSTED,
        'check whether the listener speaks https and wants --certificate',
    ),
    pycurl.E_PEER_FAILED_VERIFICATION: (
        UNTRUSTED,
        'give the CA of its certificate with --ca, and in --router the '
        'address that the certificate names',
    ),
    pycurl.E_SSL_CACERT_BADFILE: (
        BAD_CERTIFICATE,
        'give a PEM file of the CA with --ca',
    ),
    pycurl.E_SSL_CERTPROBLEM: _BAD_KEY_PAIR,
    # Curl returns this error if the key doesn't belong to the certificate.
    pycurl.E_BAD_FUNCTION_ARGUMENT: _BAD_KEY_PAIR,
}
_MAYBE_SENT_HINT = (
    'check the URL in --router, also http or https, whether the listener '
    'wants --certificate, and that a router runs there'
)

Answer = dict[str, Any] | ClientFault


@attrs.define
class OperatorsClient:
    """HTTP client of the operators' listener of one router.

    Parameters
    ----------
    url : str
        Base URL, like ``http://127.0.0.1:8081``.
    key : str
        Operator key.
    tls : CurlTls
        PEM files for https; the certificate's file may contain the key.
    author : str
        Author of edits, recorded in the history.
    """

    url: str
    key: str
    tls: CurlTls = attrs.Factory(CurlTls)
    author: str = 'operator'
    _curl: pycurl.Curl = attrs.field(factory=pycurl.Curl)

    def read(self, path: str, **query: Any) -> Answer:
        """Return the JSON answer to a GET request."""
        encoded = urlencode(query)
        quoted = quote(path)
        answer = self._send('GET', f'{quoted}?{encoded}' if query else quoted)
        return _fault_of_read(answer)

    def rows(self, prefix: str = '') -> Iterator[Answer]:
        """Yield all rows, read page by page; a fault ends the iteration."""
        after = ''
        more = True
        while more:
            page = self.read(
                '/table', prefix=prefix, after=after, limit=_PAGE_ROWS
            )
            if isinstance(page, ClientFault):
                yield page
                return
            yield from page['rows']
            more = page['more']
            after = page['rows'][-1]['key'] if more else ''

    def read_rows(self, keys: list[str]) -> Answer:
        """Return current rows by key under ``rows``.

        Rows that don't exist have the value None.
        """
        return _fault_of_read(self._send('POST', '/rows', {'keys': keys}))

    def edit(self, key: str, **change: Any) -> Answer:
        """Send one edit; repeat it with the same id if its answer is lost."""
        change.setdefault('edit_id', uuid.uuid4().hex)
        body = {'author': self.author, **change}
        return self._send_with_retries('PATCH', quote(f'/table/{key}'), body)

    def edit_all(self, edits: list[dict[str, Any]]) -> Answer:
        """Send edits of different rows, each of which has its own outcome."""
        identified = [
            {'author': self.author, 'edit_id': uuid.uuid4().hex, **edit}
            for edit in edits
        ]
        return self._send_with_retries('POST', '/edits', {'edits': identified})

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()

    def _send_with_retries(
        self, method: str, path: str, body: dict[str, Any]
    ) -> Answer:
        # It is safe to repeat an edit that may already have arrived, because
        # the table applies each edit id once.
        answer = self._send(method, path, body)
        for attempt in range(_ATTEMPTS - 1):
            if answer not in (UNREACHABLE, OUTCOME_UNKNOWN):
                return answer
            unknown = answer == OUTCOME_UNKNOWN
            time.sleep(_FIRST_PAUSE_S * 2**attempt)
            answer = self._send(method, path, body)
            if unknown and answer == UNREACHABLE:
                answer = OUTCOME_UNKNOWN.because(answer.reason)
        return answer

    def _send(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> Answer:
        sink, head = io.BytesIO(), CurlHead()
        self._prepare(method, path, sink)
        self._curl.setopt(pycurl.HEADERFUNCTION, head.read_line)
        if body is not None:
            self._curl.setopt(pycurl.POSTFIELDS, json.dumps(body))
        try:
            self._curl.perform()
        except pycurl.error as exc:
            return _transfer_fault(exc, self.url)
        if head.final is None:
            return OUTCOME_UNKNOWN.because(f'{self.url}: {head.problem}')
        return _parse_answer(head.final.status, sink.getvalue())

    def _prepare(self, method: str, path: str, sink: io.BytesIO) -> None:
        options = {
            pycurl.URL: self.url.rstrip('/') + path,
            pycurl.CUSTOMREQUEST: method,
            pycurl.HTTPHEADER: self._headers(),
            pycurl.CONNECTTIMEOUT: _CONNECT_TIMEOUT_S,
            pycurl.TIMEOUT: _REQUEST_TIMEOUT_S,
            pycurl.NOPROXY: '*',
            pycurl.WRITEDATA: sink,
        }
        self._curl.reset()
        for option, setting in options.items():
            self._curl.setopt(option, setting)
        self.tls.prepare(self._curl)

    def _headers(self) -> list[str]:
        return [
            f'Authorization: Bearer {self.key}',
            'Content-Type: application/json',
        ]


def _transfer_fault(exc: pycurl.error, url: str) -> ClientFault:
    number, reason = exc.args
    fault, hint = _NOT_SENT_FAULTS.get(
        number, (OUTCOME_UNKNOWN, _MAYBE_SENT_HINT)
    )
    return fault.because(f'{url}: {reason}; {hint}')


def _fault_of_read(answer: Answer) -> Answer:
    if isinstance(answer, ClientFault) and answer == OUTCOME_UNKNOWN:
        return UNREACHABLE.because(answer.reason)
    return answer


def _parse_answer(status: int, body: bytes) -> Answer:
    try:
        answer = json.loads(body)
    except ValueError:
        answer = {'error': {'message': f'no JSON came with status {status}'}}
    if status < _MIN_ERROR_STATUS:
        return answer
    return read_fault(answer, _kind_by_status(status))


def read_fault(
    answer: dict[str, Any],
    kind: ClientFault = CONFLICTING,
) -> ClientFault:
    """Convert an error answer to a fault.

    Parameters
    ----------
    answer : dict
        JSON with ``error`` and, for a conflict, the current ``row``.
    kind : ClientFault
        The sentinel to use.

    Returns
    -------
    ClientFault
        The sentinel with the router's message as its reason.
    """
    error = answer.get('error', {})
    reason = error.get('message') or error.get('code', 'no reason given')
    return attrs.evolve(kind, reason=reason, row=answer.get('row'))


def _kind_by_status(status: int) -> ClientFault:
    return {
        _CONFLICT: CONFLICTING,
        _UNAVAILABLE: UNREACHABLE,
        _GATEWAY_TIMEOUT: OUTCOME_UNKNOWN,
    }.get(status, REFUSED)
