"""Keeps requests that crash their targets away from further ones."""

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.placement.places import Place
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault
from balsamreach.routing.quarantine import Quarantine
from balsamreach.routing.suspects import Suspects as SuspectRecords
from balsamreach.telemetry.metrics import Metrics


@attrs.define
class Suspects:
    """The quarantine, in the terms of the relay.

    A request that crashes its target is sent again by its caller, with the
    same path, team and body but another identity. Without this it would take
    one target after the other; it would show as targets of one service that
    restart in turn.

    Parameters
    ----------
    quarantine : Quarantine
        What is known of requests that were at crashes.
    """

    quarantine: Quarantine

    def check(self, call: RelayCall) -> RelayFault | None:
        """Return why a request must not run, None if it may."""
        refusal = self.quarantine.check(call.fingerprint)
        if refusal is None:
            return None
        return faults.QUARANTINED.because(refusal.reason)

    def ended(self, call: RelayCall, place: Place) -> None:
        """Take note of an exchange that ended in order."""
        self.quarantine.finished(call.fingerprint, place.incarnation)

    def broke(self, call: RelayCall, place: Place) -> None:
        """Take note of a connection that broke while the request ran."""
        self.quarantine.broken(
            call.fingerprint,
            call.team_name,
            place.incarnation,
            place.incarnation,
        )

    def refused(self, place: Place) -> None:
        """Take note that nobody listens at a target: it has crashed."""
        self.quarantine.refused(place.incarnation)


def make_suspects(
    crash_targets: int,
    clock: Clock,
    metrics: Metrics,
    net: PeerNet | None = None,
) -> Suspects:
    """Make a quarantine that other routers share.

    Parameters
    ----------
    crash_targets : int
        Targets after which a request is kept away.
    clock, metrics
        Time and counters.
    net : PeerNet or None
        Other routers, which are told of requests that were at a crash.
    """
    records = SuspectRecords(crash_targets)
    return Suspects(Quarantine(records, clock, metrics, net))
