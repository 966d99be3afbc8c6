"""Base of the handlers that require a team key and run calls."""

from http import HTTPStatus

import attrs
from tornado.iostream import StreamClosedError

from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import MAYBE_RUN, DispatchFault
from balsamreach.gateway.base import ObservedHandler
from balsamreach.gateway.call_headers import CallOptions, parse_call_options
from balsamreach.gateway.refusals import Refusal, error_event, from_fault
from balsamreach.requests.answers import AnswerEnd
from balsamreach.requests.faults import RequestFault
from balsamreach.requests.identity import RequestId, check_key, fingerprint
from balsamreach.table.rows import PAUSED, TeamRow
from balsamreach.telemetry import hops

#: Header that identifies a request, so that a repeat is recognized.
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
_BEARER = 'bearer '
_ROUTER_STARTING = Refusal(
    HTTPStatus.SERVICE_UNAVAILABLE,
    'router_starting',
    'this router has not caught up with the table yet',
    retry_after=1,
)


class CallerHandler(ObservedHandler):
    """Base of the handlers that require a team key."""

    def authenticate(self) -> TeamRow | Refusal:
        """Return the team whose key the request carries, or a refusal."""
        if not self.context.view.complete:
            # A router that starts in a disconnected zone may have read an
            # old snapshot. With it, the router would serve a team that has
            # been paused since and reject a new key.
            return _ROUTER_STARTING
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
                relies_on_table=True,
            )
        self.team_name = team.name
        if team.state == PAUSED:
            # An operator paused the team, which stays in effect until a
            # newer row is known: this doesn't need a confirmed table.
            return Refusal(
                HTTPStatus.FORBIDDEN,
                'team_paused',
                f'team {team.name} is paused by its operators',
            )
        return team

    def identify(self, team: TeamRow) -> RequestId | Refusal:
        """Return the request's identity; generate a key if it has none."""
        given = self.request.headers.get(IDEMPOTENCY_KEY_HEADER)
        key = self.request_id if given is None else given
        fault = None if given is None else check_key(key)
        if isinstance(fault, RequestFault):
            return Refusal(HTTPStatus.BAD_REQUEST, fault.code, fault.reason)
        self.has_generated_key = given is None
        self.assign_request_id(key)
        digest = fingerprint(
            self.request.method or '',
            self.request.uri or '',
            self.request.body,
        )
        return RequestId(team.name, key, given is None, digest)

    def call_options(self) -> CallOptions | Refusal:
        """Return the options from the headers, or a refusal."""
        max_timeout = self.context.cfg.requests.default_deadline
        return parse_call_options(self.request.headers, max_timeout)

    async def serve_call(self, call: Call | Refusal) -> None:
        """Run a call and send its answer, or send the refusal."""
        if isinstance(call, Refusal):
            self.refuse(call)
            return
        # The request's task is created in this block to inherit the span.
        with hops.following(self.trail):
            answer = self.context.dispatcher.submit(call)
        if isinstance(answer, DispatchFault):
            self.refuse(from_fault(answer))
            return
        self.answer = answer
        answer.attach(self.sink)
        end = await answer.wait()
        self._finish_answer(end)

    def on_connection_close(self) -> None:
        """Detach from the answer when the caller has disconnected."""
        super().on_connection_close()
        if self.answer is not None:
            self.answer.detach(self.sink)
            self.context.dispatcher.cancel_if_unattended(self.answer)

    def _finish_answer(self, end: AnswerEnd) -> None:
        try:
            self._write_end(end)
        except StreamClosedError:
            self.on_connection_close()

    def _refusal_for(self, fault: DispatchFault) -> Refusal:
        refusal = from_fault(fault)
        if refusal.ran == MAYBE_RUN and self.has_generated_key:
            # Without a key from the caller, a retry is a new request, which
            # would run and be billed in addition to the first.
            return attrs.evolve(refusal, repeatable=False)
        return refusal

    def _write_end(self, end: AnswerEnd) -> None:
        self.sink.flush()
        if end.is_complete:
            self.finish()
            return
        assert isinstance(end.fault, DispatchFault)
        refusal = self._refusal_for(end.fault)
        if not self.sink.started:
            self.refuse(refusal)
            return
        self.refusal = refusal
        if self._is_event_stream():
            self.finish(error_event(refusal))
        else:
            # An error appended to an incomplete body would be taken for a
            # part of it. Closing the connection early signals the failure.
            self.sink.abort()

    def _is_event_stream(self) -> bool:
        content_type = str(self._headers.get('Content-Type', ''))
        return content_type.startswith('text/event-stream')
