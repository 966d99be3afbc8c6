"""Forwards requests through routers that reach the targets.

Load pattern: a host has lost its links to all targets of a service, for
seconds, while its callers keep sending. The load balancer doesn't see that,
and where most hosts of a zone are affected it has no others to choose from.
"""

import abc
import random
from collections import Counter
from collections.abc import Iterable
from functools import partial

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch.upstream import Intake, UpstreamFault
from balsamreach.peers.base import PeerNet
from balsamreach.placement.target_access import TargetAccess
from balsamreach.relay import faults
from balsamreach.relay.attempt_results import Verdict
from balsamreach.relay.call import RelayCall
from balsamreach.relay.forwarded_intake import ANSWERED, ForwardedIntake
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.forwarding import ForwardedRequest
from balsamreach.wire.membership import Member

FORWARDED = 'balsamreach_relay_forwarded_total'

_MS = 1000
#: Seconds for which a router gets no requests after it could not help. Most of
#: the routers of a zone may be cut off as well, and each request would ask one
#: after the other.
_AVOID_S = 0.5


class ForwardingClient(abc.ABC):
    """Sends requests to other routers."""

    @abc.abstractmethod
    async def send(
        self,
        router: Member,
        call: RelayCall,
        message: ForwardedRequest,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Send a request and pass the response to the intake until it ends.

        Parameters
        ----------
        router : Member
            The router to send it to.
        call : RelayCall
            The request.
        message : ForwardedRequest
            Describes the request, except for its body.
        intake : Intake
            Receives the response.

        Returns
        -------
        UpstreamFault or None
            As ``balsamreach.relay.exchange.Exchange.send``.
        """


@attrs.define(eq=False)
class Forwarder:
    """Decides which requests are forwarded, and through which router.

    A router of the same zone is preferred, and among several the one with
    the fewest requests of this router for its bandwidth. One that could not
    help is avoided for a moment, and its zone with it as long as another
    zone has fewer such routers.

    Parameters
    ----------
    access : TargetAccess
        Knows which services this router can't reach.
    net : PeerNet
        The other routers.
    fleet : str
        Name of the fleet.
    client : ForwardingClient
        Sends the requests.
    clock : Clock
        Source of the current time.
    rng : random.Random
        Breaks ties, so that routers don't all choose the same one.
    metrics : Metrics
        Counts forwarded requests by outcome.
    """

    access: TargetAccess
    net: PeerNet
    fleet: str
    client: ForwardingClient
    clock: Clock
    rng: random.Random
    metrics: Metrics
    _running: Counter[str] = attrs.field(factory=Counter)
    _avoided: dict[str, float] = attrs.field(factory=dict)

    def choose(self, call: RelayCall) -> Member | None:
        """Return the router to forward a request to, None to send it here."""
        if not self.access.is_unreachable(call.service):
            return None
        self._forget_avoided()
        members = self.net.members()
        avoided = Counter(
            member.zone
            for member in members
            if member.incarnation in self._avoided
        )
        return min(
            filter(partial(self._is_usable, call), members),
            key=lambda member: (
                avoided[member.zone],
                member.zone != self.net.me.zone,
                (self._running[member.incarnation] + 1) / max(1, member.link),
                self.rng.random(),
            ),
            default=None,
        )

    async def send(
        self,
        router: Member,
        call: RelayCall,
        last_event: str,
        excluded: Iterable[str],
        intake: ForwardedIntake,
    ) -> Verdict:
        """Send a request to a router, and record whether it could help.

        Parameters
        ----------
        router : Member
            The chosen router.
        call : RelayCall
            The request.
        last_event : str
            Id of the event after which a stream resumes; empty for all of it.
        excluded : iterable of str
            Incarnations of targets that the other router leaves out.
        intake : ForwardedIntake
            Receives the response.

        Returns
        -------
        Verdict
            Result of the attempt.
        """
        message = attrs.evolve(
            self._describe(call, last_event, excluded),
            may_retry=intake.may_retry,
        )
        self._running[router.incarnation] += 1
        try:
            end = await self.client.send(router, call, message, intake)
        finally:
            intake.close()
            self._end(router)
        verdict = intake.classify(end)
        self._record(router, verdict)
        return verdict

    def _end(self, router: Member) -> None:
        self._running[router.incarnation] -= 1
        if not self._running[router.incarnation]:
            self._running.pop(router.incarnation)

    def _describe(
        self, call: RelayCall, last_event: str, excluded: Iterable[str]
    ) -> ForwardedRequest:
        message = ForwardedRequest(
            fleet=self.fleet,
            sender=self.net.me.incarnation,
            request_id=call.request_id,
            method=call.method,
            path=call.path,
            header_names=tuple(name for name, _text in call.headers),
            header_values=tuple(text for _name, text in call.headers),
            service=call.service,
            route=call.route.name,
            team=call.team_name,
            priority=call.priority,
            left_ms=max(1, int((call.deadline - self.clock.now()) * _MS)),
            aim_ms=int(call.route.aim * _MS),
            streams=call.route.streams,
            idempotent=call.route.idempotent,
            resumable=call.route.resumable,
            last_event=last_event,
            excluded=tuple(sorted(excluded)),
            releases=() if call.release is None else (call.release,),
        )
        if call.prompt is None:
            return message
        return attrs.evolve(
            message,
            has_prompt=True,
            model=call.prompt.model,
            prompt_tokens=call.prompt.tokens,
            max_output_tokens=call.prompt.max_output_tokens,
            part_ids=tuple(part.part_id for part in call.prompt.parts),
            part_tokens=tuple(part.tokens for part in call.prompt.parts),
        )

    def _record(self, router: Member, verdict: Verdict) -> None:
        fault = verdict.fault
        self.metrics.count(
            FORWARDED, outcome=ANSWERED if fault is None else fault.code
        )
        # A router that has just been cut off as well finds no target.
        if fault in {faults.CANNOT_FORWARD, faults.NO_TARGET}:
            self._avoided[router.incarnation] = self.clock.now() + _AVOID_S

    def _is_usable(self, call: RelayCall, member: Member) -> bool:
        if member.leaving or not member.forwarding:
            return False
        # An older router would ignore the release that a stream is bound to.
        if call.route.resumable and not member.binds_releases:
            return False
        if member.incarnation == self.net.me.incarnation:
            return False
        return member.incarnation not in self._avoided

    def _forget_avoided(self) -> None:
        now = self.clock.now()
        for incarnation, until in tuple(self._avoided.items()):
            if until <= now:
                self._avoided.pop(incarnation)
