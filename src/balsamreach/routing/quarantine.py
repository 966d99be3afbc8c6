"""Finds requests that crash targets, and keeps them out at all routers."""

import logging

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.routing import faults
from balsamreach.routing.crashes import BrokenConnection, CrashDetector
from balsamreach.routing.faults import RoutingFault
from balsamreach.routing.suspects import Suspects
from balsamreach.telemetry.logs import log_event
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member
from balsamreach.wire.suspicions import Suspicion

_CONFIRMED = 'balsamreach_crashes_blamed_total'
_REFUSED = 'balsamreach_quarantine_refusals_total'
_HELD = 'balsamreach_quarantine_held'

_logger = logging.getLogger(__name__)


@attrs.frozen
class Quarantined:
    """A quarantined request as shown to operators.

    Parameters
    ----------
    fingerprint, team : str
        The request and its team.
    targets : tuple of str
        Targets it crashed.
    since : float
        Wall time at which the quarantine began.
    """

    fingerprint: str
    team: str
    targets: tuple[str, ...]
    since: float


@attrs.define(eq=False)
class Quarantine:
    """Decides whether a request may run, and whether it has to run alone.

    Parameters
    ----------
    suspects : Suspects
        Records of suspects.
    clock : Clock
        Clock of the router.
    metrics : Metrics
        Metrics of the router.
    net : PeerNet or None
        Connections to other routers.
    crash_detector : CrashDetector
        Breaks that may be crashes.
    """

    suspects: Suspects
    clock: Clock
    metrics: Metrics
    net: PeerNet | None = None
    crash_detector: CrashDetector = attrs.field(factory=CrashDetector)

    def __attrs_post_init__(self) -> None:
        if self.net is not None:
            self.net.on(Suspicion, self.handle_suspicion)

    def check(self, fingerprint: str) -> RoutingFault | None:
        """Return the refusal of a request that must not run now, else None."""
        if self.suspects.is_quarantined(fingerprint):
            self.metrics.count(_REFUSED, why=faults.QUARANTINED.code)
            return faults.QUARANTINED.because(
                'the request crashed several targets; '
                'an operator can lift its quarantine',
            )
        broken = self.crash_detector.break_targets(fingerprint)
        suspect = self.suspects.by_fingerprint.get(fingerprint)
        known_targets = suspect.targets if suspect else set()
        if len(broken | known_targets) >= self.suspects.threshold:
            self.metrics.count(_REFUSED, why=faults.SUSPECTED.code)
            return faults.SUSPECTED.because(
                'the request broke off at several targets; '
                'whether it crashed them is being found out',
            )
        return None

    def must_run_alone(self, fingerprint: str) -> bool:
        """Return whether a request may only run at an otherwise idle target."""
        if self.suspects.is_suspect(fingerprint):
            return True
        # Breaks at many targets at once are caused by the network or a zone.
        # Running each affected request alone would close most targets to all
        # others and lead to a wave of overloaded refusals.
        if self.crash_detector.is_mass_break(self.clock.now()):
            return False
        return bool(self.crash_detector.break_targets(fingerprint))

    def record_completion(self, fingerprint: str, target: str) -> None:
        """Record the normal end of an exchange.

        It shows that the target is up and the request does not crash it.
        """
        self.crash_detector.request_ended(fingerprint, target)
        self.crash_detector.refute(target, fingerprint, self.clock.now())
        # Peers are not informed: if they have quarantined the request
        # meanwhile, one normal end here must not release it.
        self.suspects.clear(fingerprint)

    def record_break(
        self,
        fingerprint: str,
        team: str,
        target: str,
        incarnation: str,
    ) -> None:
        """Record a connection that broke before the exchange was complete."""
        now = self.clock.now()
        self.crash_detector.request_ended(fingerprint, target)
        if self.suspects.is_explained(f'{target}@{incarnation}'):
            return
        self.crash_detector.record_break(
            BrokenConnection(fingerprint, team, target, incarnation, now)
        )
        # A crash may be confirmed only seconds later. If peers did not know of
        # the break, the request could be sent through other routers meanwhile
        # and crash a third and a fourth target. Breaks at many targets, as
        # when a zone is cut off, are caused by the network and not reported,
        # so as not to flood the peers.
        if self.net is not None and not self.crash_detector.is_mass_break(now):
            crash = f'{target}@{incarnation}'
            self.net.broadcast(
                Suspicion(fingerprint, team, crash, unexplained=True),
            )

    def record_refused_connection(self, target: str) -> None:
        """Record a refused connection, which confirms a crash."""
        self._record_crashes(
            self.crash_detector.confirm(target, self.clock.now())
        )

    def handle_report(self, target: str, incarnation: str) -> None:
        """Confirm a crash if a report has a new incarnation after a break."""
        breaks = self.crash_detector.check_report(
            target,
            incarnation,
            self.clock.now(),
        )
        self._record_crashes(breaks)

    def quarantined_requests(self) -> tuple[Quarantined, ...]:
        """Return all quarantined requests."""
        return tuple(
            Quarantined(
                fingerprint,
                suspect.team,
                tuple(sorted(suspect.targets)),
                suspect.quarantined_at,
            )
            for fingerprint, suspect in self.suspects.by_fingerprint.items()
            if suspect.quarantined_at
        )

    def lift(self, fingerprint: str) -> bool:
        """End a quarantine at all routers; False if there is none."""
        if not self.suspects.is_quarantined(fingerprint):
            return False
        at = self.clock.wall()
        self.suspects.lift(fingerprint, at)
        _update_held_gauge(self)
        if self.net is not None:
            self.net.tell_neighbours(
                Suspicion(fingerprint, '', lifted=True, at=at)
            )
        log_event(
            _logger,
            logging.INFO,
            'quarantine_lifted',
            fingerprint=fingerprint,
        )
        return True

    async def handle_suspicion(self, sender: Member, message: Message) -> None:
        """Handle another router's suspicion and forward it if it is new."""
        if not isinstance(message, Suspicion) or self.net is None:
            return
        if message.unexplained:
            is_new = self._record_peer_break(message)
        elif message.lifted:
            is_new = self.suspects.lift(message.fingerprint, message.at)
            _update_held_gauge(self)
        else:
            is_new = self._record_crash(message)
        if is_new:
            self.net.broadcast(message, sender)

    def _record_peer_break(self, message: Suspicion) -> bool:
        fingerprint = message.fingerprint
        target, _at, incarnation = message.target.rpartition('@')
        suspect = self.suspects.by_fingerprint.get(fingerprint)
        is_known = suspect is not None and message.target in suspect.crashes
        is_known = is_known or self.suspects.is_explained(message.target)
        if is_known or target in self.crash_detector.break_targets(fingerprint):
            return False
        self.crash_detector.record_break(
            BrokenConnection(
                fingerprint,
                message.team,
                target,
                incarnation,
                self.clock.now(),
                from_peer=True,
            ),
        )
        return True

    def _record_crashes(self, breaks: tuple[BrokenConnection, ...]) -> None:
        at = self.clock.wall()
        for broken in breaks:
            message = Suspicion(
                fingerprint=broken.fingerprint,
                team=broken.team,
                target=f'{broken.target}@{broken.incarnation}',
                at=at,
            )
            if self._record_crash(message) and self.net is not None:
                self.net.broadcast(message)

    def _record_crash(self, message: Suspicion) -> bool:
        fingerprint = message.fingerprint
        self.crash_detector.resolve(
            fingerprint, message.target.rpartition('@')[0]
        )
        before = self.suspects.is_quarantined(fingerprint)
        is_new = self.suspects.record_crash(
            fingerprint,
            message.team,
            message.target,
            message.at,
        )
        if is_new:
            self.metrics.count(_CONFIRMED)
        if not before and self.suspects.is_quarantined(fingerprint):
            _update_held_gauge(self)
            log_event(
                _logger,
                logging.WARNING,
                'request_quarantined',
                team=message.team,
                fingerprint=fingerprint,
                target=message.target,
            )
        return is_new


def _update_held_gauge(quarantine: Quarantine) -> None:
    quarantine.metrics.gauge(_HELD, len(quarantine.quarantined_requests()))
