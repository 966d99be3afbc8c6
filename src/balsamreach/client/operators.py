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
from balsamreach.curl_tls import CurlTls

_CONNECT_S = 5
_WHOLE_S = 60
_TRIES = 5
_FIRST_PAUSE_S = 0.25
_FIRST_ERROR = 400
_CONFLICT = 409
_AWAY = 503
_UNKNOWN = 504
_PAGE = 1000
_UNFIT = (
    BAD_CERTIFICATE,
    'give PEM files that fit with --certificate and --certificate-key',
)
_NOT_SENT = {
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
    pycurl.E_SSL_CERTPROBLEM: _UNFIT,
    # What a key gets that isn't the certificate's.
    pycurl.E_BAD_FUNCTION_ARGUMENT: _UNFIT,
}
_MAYBE_SENT = (
    'check --router, also http or https, whether it wants --certificate, and '
    'that a router runs there'
)

Answer = dict[str, Any] | ClientFault


@attrs.define
class OperatorsClient:
    """Speaks to the operators' listener of one router.

    Parameters
    ----------
    url : str
        Base address, like ``http://127.0.0.1:8081``.
    key : str
        Operator key.
    tls : CurlTls
        PEM files for https; the key may stand in the certificate's file.
    author : str
        Who edits, for the history.
    """

    url: str
    key: str
    tls: CurlTls = attrs.Factory(CurlTls)
    author: str = 'operator'
    _curl: pycurl.Curl = attrs.field(factory=pycurl.Curl)

    def read(self, path: str, **query: Any) -> Answer:
        """Return the JSON of a GET."""
        encoded = urlencode(query)
        quoted = quote(path)
        answer = self._send('GET', f'{quoted}?{encoded}' if query else quoted)
        return _nothing_changed(answer)

    def rows(self, prefix: str = '') -> Iterator[Answer]:
        """Yield all rows, page by page; a fault ends it."""
        after = ''
        more = True
        while more:
            page = self.read('/table', prefix=prefix, after=after, limit=_PAGE)
            if isinstance(page, ClientFault):
                yield page
                return
            yield from page['rows']
            more = page['more']
            after = page['rows'][-1]['key'] if more else ''

    def current(self, keys: list[str]) -> Answer:
        """Return rows by key under ``rows``, absent ones with no value."""
        return _nothing_changed(self._send('POST', '/rows', {'keys': keys}))

    def edit(self, key: str, **change: Any) -> Answer:
        """Send one edit, again with the same id if its answer is lost."""
        change.setdefault('edit_id', uuid.uuid4().hex)
        body = {'author': self.author, **change}
        return self._insist('PATCH', quote(f'/table/{key}'), body)

    def edit_all(self, edits: list[dict[str, Any]]) -> Answer:
        """Send edits of different rows; each has its own outcome."""
        marked = [
            {'author': self.author, 'edit_id': uuid.uuid4().hex, **edit}
            for edit in edits
        ]
        return self._insist('POST', '/edits', {'edits': marked})

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()

    def _insist(self, method: str, path: str, body: dict[str, Any]) -> Answer:
        # The edit's id makes it safe to send again what may have arrived
        # already: it is applied once.
        answer = self._send(method, path, body)
        for attempt in range(_TRIES - 1):
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
        sink = io.BytesIO()
        self._prepare(method, path, sink)
        if body is not None:
            self._curl.setopt(pycurl.POSTFIELDS, json.dumps(body))
        try:
            self._curl.perform()
        except pycurl.error as exc:
            return _unanswered(exc, self.url)
        status = self._curl.getinfo(pycurl.RESPONSE_CODE)
        return _read(status, sink.getvalue())

    def _prepare(self, method: str, path: str, sink: io.BytesIO) -> None:
        options = {
            pycurl.URL: self.url.rstrip('/') + path,
            pycurl.CUSTOMREQUEST: method,
            pycurl.HTTPHEADER: self._headers(),
            pycurl.CONNECTTIMEOUT: _CONNECT_S,
            pycurl.TIMEOUT: _WHOLE_S,
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


def _unanswered(exc: pycurl.error, url: str) -> ClientFault:
    number, reason = exc.args
    fault, hint = _NOT_SENT.get(number, (OUTCOME_UNKNOWN, _MAYBE_SENT))
    return fault.because(f'{url}: {reason}; {hint}')


def _nothing_changed(answer: Answer) -> Answer:
    if isinstance(answer, ClientFault) and answer == OUTCOME_UNKNOWN:
        return UNREACHABLE.because(answer.reason)
    return answer


def _read(status: int, body: bytes) -> Answer:
    try:
        answer = json.loads(body)
    except ValueError:
        answer = {'error': {'message': f'no JSON came with {status}'}}
    if status < _FIRST_ERROR:
        return answer
    return read_fault(answer, _by_status(status))


def read_fault(
    answer: dict[str, Any],
    kind: ClientFault = CONFLICTING,
) -> ClientFault:
    """Return the fault that an answer tells of.

    Parameters
    ----------
    answer : dict
        JSON with ``error``, and the row as it stands where there is one.
    kind : ClientFault
        The sentinel.

    Returns
    -------
    ClientFault
        The sentinel with the router's words.
    """
    error = answer.get('error', {})
    reason = error.get('message') or error.get('code', 'no reason given')
    return attrs.evolve(kind, reason=reason, row=answer.get('row'))


def _by_status(status: int) -> ClientFault:
    return {
        _CONFLICT: CONFLICTING,
        _AWAY: UNREACHABLE,
        _UNKNOWN: OUTCOME_UNKNOWN,
    }.get(status, REFUSED)
