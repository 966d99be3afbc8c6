"""Handlers that a team's key opens: who calls, what it asks, the answer."""

from http import HTTPStatus

import attrs
from tornado.iostream import StreamClosedError

from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import MAYBE_RUN, DispatchFault
from balsamreach.gateway.base import ObservedHandler
from balsamreach.gateway.call_headers import CallTerms, read_terms
from balsamreach.gateway.refusals import Refusal, error_event, from_fault
from balsamreach.requests.answers import AnswerEnd
from balsamreach.requests.faults import RequestFault
from balsamreach.requests.identity import RequestId, check_key, fingerprint
from balsamreach.table.rows import PAUSED, TeamRow
from balsamreach.telemetry import hops

#: Names the request, so that one sent again is known for the same.
KEY_HEADER = 'Idempotency-Key'
_BEARER = 'bearer '
_STARTING = Refusal(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'router_starting',
    'this router has not caught up with the table yet',
    retry_after=1,
)


class CallerHandler(ObservedHandler):
    """Base of the handlers that a team's key opens."""

    def authenticate(self) -> TeamRow | Refusal:
        """Return the team whose key the request carries."""
        if not self.context.view.complete:
            # A router that starts in a zone that is cut off may have read an
            # old snapshot. By that it would serve a team that was paused
            # since, and call a new key wrong.
            return _STARTING
        header = self.request.headers.get('Authorization', '')
        if not header.lower().startswith(_BEARER):
            return Refusal(
                HTTPStatus.UNAUTHORIZED,
                'missing_key',
                'send the team key as Authorization: Bearer KEY',
            )
        secret = header[len(_BEARER) :].strip()
        team = self.context.view.team_by_secret(secret)
        if team is None:
            return Refusal(
                HTTPStatus.UNAUTHORIZED,
                'wrong_key',
                'no team has this key',
                by_table=True,
            )
        self.team_name = team.name
        if team.state == PAUSED:
            # An operator's order, so it holds until a newer one is known.
            return Refusal(
                HTTPStatus.FORBIDDEN,
                'team_paused',
                f'team {team.name} is paused by its operators',
            )
        return team

    def identify(self, team: TeamRow) -> RequestId | Refusal:
        """Return the request's identity, minting a key if it has none."""
        given = self.request.headers.get(KEY_HEADER)
        key = self.request_id if given is None else given
        fault = None if given is None else check_key(key)
        if isinstance(fault, RequestFault):
            return Refusal(HTTPStatus.BAD_REQUEST, fault.code, fault.reason)
        self.minted = given is None
        self.name_request(key)
        digest = fingerprint(
            self.request.method or '',
            self.request.uri or '',
            self.request.body,
        )
        return RequestId(team.name, key, given is None, digest)

    def terms(self) -> CallTerms | Refusal:
        """Return how the caller lets the request be run."""
        longest = self.context.cfg.requests.default_deadline
        return read_terms(self.request.headers, longest)

    async def serve_call(self, call: Call | Refusal) -> None:
        """Run a call and answer with what comes of it."""
        if isinstance(call, Refusal):
            self.refuse(call)
            return
        # The request's task is made in here, so that it inherits the span.
        with hops.following(self.trail):
            answer = self.context.dispatcher.submit(call)
        if isinstance(answer, DispatchFault):
            self.refuse(from_fault(answer))
            return
        self.answer = answer
        answer.attach(self.sink)
        end = await answer.wait()
        self._finish_with(end)

    def on_connection_close(self) -> None:
        """Let go of the answer when the caller has gone."""
        super().on_connection_close()
        if self.answer is not None:
            self.answer.detach(self.sink)
            self.context.dispatcher.cancel_if_unattended(self.answer)

    def _finish_with(self, end: AnswerEnd) -> None:
        try:
            self._finish_checked(end)
        except StreamClosedError:
            self.on_connection_close()

    def _refusal(self, fault: DispatchFault) -> Refusal:
        refusal = from_fault(fault)
        if refusal.ran == MAYBE_RUN and self.minted:
            # The caller gave no key, so that the same words sent again are
            # a new request: it would run and be billed beside the first.
            return attrs.evolve(refusal, repeatable=False)
        return refusal

    def _finish_checked(self, end: AnswerEnd) -> None:
        self.sink.flush()
        if end.is_complete:
            self.finish()
            return
        assert isinstance(end.fault, DispatchFault)
        refusal = self._refusal(end.fault)
        if not self.sink.started:
            self.refuse(refusal)
            return
        self.refusal = refusal
        if self._sends_events():
            self.finish(error_event(refusal))
        else:
            # An error added to a half body would pass for a part of it. A
            # connection that closes early is what tells the caller.
            self.sink.abort()

    def _sends_events(self) -> bool:
        kind = str(self._headers.get('Content-Type', ''))
        return kind.startswith('text/event-stream')
