"""Requests that crash targets are found, told to peers and kept out."""

import logging

import attrs

from balsamreach.clock import Clock
from balsamreach.peers.base import PeerNet
from balsamreach.routing import faults
from balsamreach.routing.crashes import Break, Crashes
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
    """A quarantine as operators see it.

    Parameters
    ----------
    fingerprint, team : str
        The request.
    targets : tuple of str
        Targets it crashed.
    since : float
        Wall time of its start.
    """

    fingerprint: str
    team: str
    targets: tuple[str, ...]
    since: float


@attrs.define(eq=False)
class Quarantine:
    """Decides whether a request may run, and alone or among others.

    Parameters
    ----------
    suspects : Suspects
        What is known of suspects.
    clock : Clock
        Time.
    metrics : Metrics
        Counters.
    net : PeerNet or None
        Other routers.
    """

    suspects: Suspects
    clock: Clock
    metrics: Metrics
    net: PeerNet | None = None
    crashes: Crashes = attrs.field(factory=Crashes)

    def __attrs_post_init__(self) -> None:
        if self.net is not None:
            self.net.on(Suspicion, self.take)

    def check(self, fingerprint: str) -> RoutingFault | None:
        """Return why a request must not run now, None if it may."""
        if self.suspects.is_quarantined(fingerprint):
            self.metrics.count(_REFUSED, why=faults.QUARANTINED.code)
            return faults.QUARANTINED.because(
                'the request crashed several targets; '
                'an operator can lift its quarantine',
            )
        broken = self.crashes.targets_broken(fingerprint)
        suspect = self.suspects.by_print.get(fingerprint)
        known = suspect.targets if suspect else set()
        if len(broken | known) >= self.suspects.threshold:
            self.metrics.count(_REFUSED, why=faults.SUSPECTED.code)
            return faults.SUSPECTED.because(
                'the request broke off at several targets; '
                'whether it crashed them is being found out',
            )
        return None

    def must_run_alone(self, fingerprint: str) -> bool:
        """Return whether it may run only at a target that runs no other."""
        if self.suspects.is_suspect(fingerprint):
            return True
        # Where connections to many targets break at once, it was the network
        # or a zone. To run each request alone then would close most targets
        # to all others; it would show as a wave of overloaded refusals.
        if self.crashes.many_at_once(self.clock.now()):
            return False
        return bool(self.crashes.targets_broken(fingerprint))

    def finished(self, fingerprint: str, target: str) -> None:
        """Take note that an exchange ended in order.

        Its target lives, and the request does not crash targets.
        """
        self.crashes.ended(fingerprint, target)
        self.crashes.refute(target, fingerprint, self.clock.now())
        # Peers are not told: a request that they have quarantined meanwhile
        # must not be let out by its one good end here.
        self.suspects.clear(fingerprint)

    def broken(
        self,
        fingerprint: str,
        team: str,
        target: str,
        incarnation: str,
    ) -> None:
        """Take note that a connection broke without an orderly end."""
        now = self.clock.now()
        self.crashes.ended(fingerprint, target)
        self.crashes.broke(Break(fingerprint, team, target, incarnation, now))
        # Whether the target crashed may show only seconds later. Sent again
        # meanwhile through another router, the request would take a third
        # and a fourth target. Breaks all over, as when a zone is cut off,
        # are the network's, and no reason to flood the peers.
        if self.net is not None and not self.crashes.many_at_once(now):
            crash = f'{target}@{incarnation}'
            self.net.broadcast(
                Suspicion(fingerprint, team, crash, unexplained=True),
            )

    def refused(self, target: str) -> None:
        """Take note that a target refuses connections: it has crashed."""
        self._confirm(self.crashes.confirm(target, self.clock.now()))

    def reported(self, target: str, incarnation: str) -> None:
        """Take a target's report: a new start after a break is a crash."""
        breaks = self.crashes.judge_report(
            target,
            incarnation,
            self.clock.now(),
        )
        self._confirm(breaks)

    def listed(self) -> tuple[Quarantined, ...]:
        """Return all quarantines."""
        return tuple(
            Quarantined(
                fingerprint,
                suspect.team,
                tuple(sorted(suspect.targets)),
                suspect.quarantined_at,
            )
            for fingerprint, suspect in self.suspects.by_print.items()
            if suspect.quarantined_at
        )

    def lift(self, fingerprint: str) -> bool:
        """End a quarantine at all routers; False if there is none."""
        if not self.suspects.is_quarantined(fingerprint):
            return False
        at = self.clock.wall()
        self.suspects.lift(fingerprint, at)
        _show_held(self)
        if self.net is not None:
            self.net.spread(Suspicion(fingerprint, '', lifted=True, at=at))
        log_event(
            _logger,
            logging.INFO,
            'quarantine_lifted',
            fingerprint=fingerprint,
        )
        return True

    async def take(self, sender: Member, message: Message) -> None:
        """Take another router's word and spread what is news."""
        if not isinstance(message, Suspicion) or self.net is None:
            return
        if message.unexplained:
            news = self._heard(message)
        elif message.lifted:
            news = self.suspects.lift(message.fingerprint, message.at)
            _show_held(self)
        else:
            news = self._blame(message)
        if news:
            self.net.broadcast(message, sender)

    def _heard(self, message: Suspicion) -> bool:
        fingerprint = message.fingerprint
        target, _at, incarnation = message.target.rpartition('@')
        suspect = self.suspects.by_print.get(fingerprint)
        known = suspect is not None and message.target in suspect.crashes
        if known or target in self.crashes.targets_broken(fingerprint):
            return False
        self.crashes.broke(
            Break(
                fingerprint,
                message.team,
                target,
                incarnation,
                self.clock.now(),
                told=True,
            ),
        )
        return True

    def _confirm(self, breaks: tuple[Break, ...]) -> None:
        at = self.clock.wall()
        for broken in breaks:
            message = Suspicion(
                fingerprint=broken.fingerprint,
                team=broken.team,
                target=f'{broken.target}@{broken.incarnation}',
                at=at,
            )
            if self._blame(message) and self.net is not None:
                self.net.broadcast(message)

    def _blame(self, message: Suspicion) -> bool:
        fingerprint = message.fingerprint
        self.crashes.explain(fingerprint, message.target.rpartition('@')[0])
        before = self.suspects.is_quarantined(fingerprint)
        news = self.suspects.blame(
            fingerprint,
            message.team,
            message.target,
            message.at,
        )
        if news:
            self.metrics.count(_CONFIRMED)
        if not before and self.suspects.is_quarantined(fingerprint):
            _show_held(self)
            log_event(
                _logger,
                logging.WARNING,
                'request_quarantined',
                team=message.team,
                fingerprint=fingerprint,
                target=message.target,
            )
        return news


def _show_held(quarantine: Quarantine) -> None:
    quarantine.metrics.gauge(_HELD, len(quarantine.listed()))
