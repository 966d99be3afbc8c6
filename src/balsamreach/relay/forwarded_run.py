"""Sends requests to targets for routers that don't reach them.

Load pattern: several hosts have lost their links to all targets, and those
that have not carry the requests of all. The callers of this router come
first: it refuses the requests of others while its own link is full.
"""

import asyncio
from collections.abc import Callable, Sequence

import attrs

from balsamreach.catalogue.entries import Route, Split, Team
from balsamreach.clock import Clock
from balsamreach.placement.prompts import Part, Prompt
from balsamreach.relay import faults, forwarded_intake
from balsamreach.relay.attempt_parts import RelayAttemptParts
from balsamreach.relay.attempts import RelayAttempts
from balsamreach.relay.call import RelayCall
from balsamreach.relay.caller_response import CallerResponse
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.forwarded_intake import (
    ANSWERED,
    MAY_HAVE_RUN,
    NO,
    OUTCOME,
    REACHED,
    RELEASE,
    TARGET,
    YES,
)
from balsamreach.relay.release_check import find_refusal
from balsamreach.relay.request_log import RequestLog
from balsamreach.wire.forwarding import ForwardedRequest

_MS = 1000
_UNAVAILABLE = 503
_HEAD = 'HEAD'
_LENGTH = 'content-length'
#: Maximum requests of other routers in progress. Each takes two connections,
#: and the smallest hosts have some 1,600 descriptors.
_MAX_RUNNING = 400


class ForwardedResponse(CallerResponse):
    """The response to another router.

    Parameters
    ----------
    inner : CallerResponse
        Response on the router's connection.
    target : str
        Incarnation of the target that the request is sent to.
    release : str
        Release of that target.
    is_head : bool
        Whether the request has the method HEAD. The length of its response is
        that of a body that isn't sent, and to the other router it would be
        that of this one.
    """

    def __init__(self, inner: CallerResponse, *, is_head: bool) -> None:
        self.inner = inner
        self.is_head = is_head
        self.target = ''
        self.release = ''

    @property
    def started(self) -> bool:
        """Whether the headers have been sent."""
        return self.inner.started

    @property
    def should_pause(self) -> bool:
        """Whether the router is so slow that reading should pause."""
        return self.inner.should_pause

    def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the status and headers of the target's response."""
        added = (
            (OUTCOME, ANSWERED),
            (TARGET, self.target),
            (RELEASE, self.release),
        )
        # The target's own would be read as this router's.
        kept = (
            header
            for header in headers
            if not forwarded_intake.is_own(header[0])
        )
        if self.is_head:
            kept = (header for header in kept if header[0].lower() != _LENGTH)
        self.inner.start(status, (*kept, *added))

    def write(self, chunk: bytes) -> None:
        """Send bytes of the body."""
        self.inner.write(chunk)

    def finish(self) -> None:
        """End the response normally."""
        self.inner.finish()

    def abort(self) -> None:
        """Abort the response, so that it can't look complete."""
        self.inner.abort()

    def refuse(self, fault: RelayFault, attempts: RelayAttempts) -> None:
        """Report why there is no response of a target."""
        if self.started:
            self.abort()
            return
        headers = [
            ('Content-Length', '0'),
            (OUTCOME, fault.code),
            (TARGET, self.target),
            (MAY_HAVE_RUN, YES if attempts.history.may_have_run else NO),
            (REACHED, YES if attempts.history.reached else NO),
        ]
        if fault.retry_after:
            headers.append(('Retry-After', f'{fault.retry_after:.2f}'))
        self.inner.start(_UNAVAILABLE, headers)
        self.finish()


@attrs.define(eq=False)
class ForwardedRunner:
    """Runs the requests of other routers, one attempt for each.

    The router that received a request from its caller keeps its budget, its
    deadline, its retries and the response. This one chooses the target by
    what it knows of the targets itself, and never forwards a request again.

    Parameters
    ----------
    parts : RelayAttemptParts
        The services that attempts need.
    clock : Clock
        Source of the current time.
    log : RequestLog
        Records how each request ended.
    is_available : callable
        Returns whether this router may take requests of others.
    running : int
        Requests in progress.
    """

    parts: RelayAttemptParts
    clock: Clock
    log: RequestLog
    is_available: Callable[[], bool]
    running: int = 0

    async def run(
        self, message: ForwardedRequest, body: bytes, response: CallerResponse
    ) -> None:
        """Run a request; the other router always gets a final response.

        Parameters
        ----------
        message : ForwardedRequest
            The request.
        body : bytes
            Its body.
        response : CallerResponse
            Response to the router.
        """
        started = self.clock.now()
        call = read_forwarded(message, body, started)
        to_router = ForwardedResponse(response, is_head=call.method == _HEAD)
        attempts = RelayAttempts(
            self.parts,
            call,
            to_router,
            is_retried_elsewhere=message.may_retry,
        )
        fault: RelayFault | None = faults.ABANDONED
        self.running += 1
        try:
            fault = await self._send(
                call, attempts, frozenset(message.excluded)
            )
        finally:
            self.running -= 1
            self.log.record_forwarded(call, attempts, fault, message.sender)
        if fault is not None:
            to_router.refuse(fault, attempts)

    async def _send(
        self,
        call: RelayCall,
        attempts: RelayAttempts,
        excluded: frozenset[str],
    ) -> RelayFault | None:
        chooser = self.parts.chooser
        if chooser.failures.access.is_unreachable(call.service):
            return faults.CANNOT_FORWARD.because('no target is reached here')
        if not self.is_available() or self.running > _MAX_RUNNING:
            return faults.CANNOT_FORWARD.because('this router has no room')
        refusal = self.parts.quarantine.check_forwarded(call)
        refusal = refusal or await find_refusal(chooser, call)
        if refusal is not None:
            return refusal
        place = chooser.choose(call, excluded)
        if place is None:
            return faults.NO_TARGET.because('no target accepts requests')
        attempts.caller_response.target = place.incarnation
        attempts.caller_response.release = place.entry.release
        try:
            async with asyncio.timeout(call.deadline - self.clock.now()):
                return await attempts.send_to(place)
        except TimeoutError:
            return faults.TIMED_OUT.because('its time limit has passed')


def read_forwarded(
    message: ForwardedRequest, body: bytes, now: float
) -> RelayCall:
    """Return the request that another router has forwarded.

    Parameters
    ----------
    message : ForwardedRequest
        The request.
    body : bytes
        Its body.
    now : float
        Monotonic seconds at which it arrived.
    """
    route = Route(
        name=message.route,
        host='',
        prefix='/',
        splits=(Split(message.service),),
        streams=message.streams,
        idempotent=message.idempotent,
        resumable=message.resumable,
        aim=message.aim_ms / _MS,
    )
    return RelayCall(
        request_id=message.request_id,
        method=message.method,
        path=message.path,
        headers=tuple(
            zip(message.header_names, message.header_values, strict=True)
        ),
        body=body,
        route=route,
        service=message.service,
        priority=message.priority,
        deadline=now + message.left_ms / _MS,
        team=Team(name=message.team) if message.team else None,
        prompt=_read_prompt(message),
        last_event=message.last_event,
        release=next(iter(message.releases), None),
    )


def _read_prompt(message: ForwardedRequest) -> Prompt | None:
    if not message.has_prompt:
        return None
    parts = zip(message.part_ids, message.part_tokens, strict=True)
    return Prompt(
        model=message.model,
        tokens=message.prompt_tokens,
        max_output_tokens=message.max_output_tokens,
        parts=tuple(Part(name, tokens) for name, tokens in parts),
    )
