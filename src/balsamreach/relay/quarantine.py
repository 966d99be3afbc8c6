"""Quarantine of requests that crash their targets."""

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.part_quarantine import PartQuarantine
from balsamreach.routing.part_suspects import PartBreak
from balsamreach.routing.quarantine import Quarantine
from balsamreach.routing.suspects import Suspects as SuspectRecords
from balsamreach.telemetry.metrics import Metrics


@attrs.define
class CrashQuarantine:
    """Applies the quarantine to relayed requests.

    A caller retries a request that crashes its target, with the same path,
    team and body but another id, or sends others whose prompts share the part
    that is the cause. Without the quarantine they would crash one target of
    their service after the other.

    Parameters
    ----------
    quarantine : Quarantine
        Records the requests that were in progress at crashes.
    parts : PartQuarantine
        Records the parts of their prompts.
    """

    quarantine: Quarantine
    parts: PartQuarantine

    def __attrs_post_init__(self) -> None:
        """Suspect no request of a crash that a part has caused."""
        self.parts.evidence.on_explained = self._explain

    def check(self, call: RelayCall) -> RelayFault | None:
        """Return why a request must not be sent, None if it may be."""
        return self._check_request(call) or self.parts.check(call)

    def check_forwarded(self, call: RelayCall) -> RelayFault | None:
        """Return why another router's request must not be sent.

        That router decides about trials.
        """
        refusal = self._check_request(call)
        return refusal or self.parts.check_quarantined(call)

    def begin_attempt(self, call: RelayCall) -> RelayFault | None:
        """Return why an attempt must not be made, None if it is made now."""
        return self._check_request(call) or self.parts.begin(call)

    def record_answer(self, call: RelayCall) -> None:
        """Record that a response shows that its request crashes no target."""
        self.parts.record_answer(call)

    def record_end(self, call: RelayCall, place: RelayTarget) -> None:
        """Record a response that has its end."""
        self.quarantine.record_completion(call.fingerprint, place.incarnation)

    def record_break(
        self, call: RelayCall, broken: PartBreak, *, is_answered: bool
    ) -> None:
        """Record that the connection broke while the request ran.

        Parameters
        ----------
        call : RelayCall
            The request.
        broken : PartBreak
            Its target, and when it was sent and broke.
        is_answered : bool
            Whether the target had written events for a while.
        """
        if not is_answered:
            self.parts.record_break(call, broken)
        # If such a stream did crash its target, it goes on from there, and
        # crashes the next one at once.
        if is_answered and call.route.resumable:
            return
        self.quarantine.record_break(
            call.fingerprint,
            call.team_name,
            broken.target,
            broken.target,
        )

    def record_refused(self, place: RelayTarget) -> None:
        """Record that a target refuses connections: it has crashed."""
        self.quarantine.record_refused_connection(place.incarnation)

    def _check_request(self, call: RelayCall) -> RelayFault | None:
        refusal = self.quarantine.check(call.fingerprint)
        if refusal is None:
            return None
        return faults.QUARANTINED.because(refusal.reason)

    def _explain(self, targets: frozenset[str]) -> None:
        now = self.quarantine.clock.now()
        for target in targets:
            self.quarantine.crash_detector.confirm(target, now)
            self.quarantine.suspects.explain(f'{target}@{target}')


def make_quarantine(
    crash_targets: int,
    clock: Clock,
    metrics: Metrics,
    net: PeerNet | None = None,
) -> CrashQuarantine:
    """Return a quarantine that is shared with other routers.

    Parameters
    ----------
    crash_targets : int
        Number of crashed targets after which a request is quarantined.
    clock : Clock
        Source of the current time.
    metrics : Metrics
        Counts quarantined requests.
    net : PeerNet or None
        The other routers, which are informed about crashes; None for none.
    """
    records = SuspectRecords(crash_targets)
    return CrashQuarantine(
        Quarantine(records, clock, metrics, net),
        PartQuarantine(clock, metrics, net),
    )
