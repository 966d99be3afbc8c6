"""Quarantine of requests that crash their targets."""

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.placement.relay_targets import RelayTarget
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault
from balsamreach.routing.quarantine import Quarantine
from balsamreach.routing.suspects import Suspects as SuspectRecords
from balsamreach.telemetry.metrics import Metrics


@attrs.define
class CrashQuarantine:
    """Applies the quarantine to relayed requests.

    A caller retries a request that crashes its target, with the same path,
    team and body but another id. Without the quarantine it would crash one
    target of its service after the other.

    Parameters
    ----------
    quarantine : Quarantine
        Records the requests that were in progress at crashes.
    """

    quarantine: Quarantine

    def check(self, call: RelayCall) -> RelayFault | None:
        """Return why a request must not be sent, None if it may be."""
        refusal = self.quarantine.check(call.fingerprint)
        if refusal is None:
            return None
        return faults.QUARANTINED.because(refusal.reason)

    def record_end(self, call: RelayCall, place: RelayTarget) -> None:
        """Record an attempt that ended without a broken connection."""
        self.quarantine.record_completion(call.fingerprint, place.incarnation)

    def record_break(self, call: RelayCall, place: RelayTarget) -> None:
        """Record that the connection broke while the request ran."""
        self.quarantine.record_break(
            call.fingerprint,
            call.team_name,
            place.incarnation,
            place.incarnation,
        )

    def record_refused(self, place: RelayTarget) -> None:
        """Record that a target refuses connections: it has crashed."""
        self.quarantine.record_refused_connection(place.incarnation)


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
    return CrashQuarantine(Quarantine(records, clock, metrics, net))
