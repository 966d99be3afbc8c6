"""Chooses the target of a request and records the results of attempts."""

from collections.abc import Callable, Iterator, Set

import attrs

from balsamreach.catalogue.entries import EngineTraits, Service
from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock
from balsamreach.placement.brittle_services import BrittleServices
from balsamreach.placement.cold_targets import ColdTargetLimiter
from balsamreach.placement.engines import EngineChooser
from balsamreach.placement.evacuations import Evacuations
from balsamreach.placement.relay_targets import RelayTarget, RelayTargets
from balsamreach.placement.services import ServiceChooser
from balsamreach.placement.silent_exchanges import TargetExchange
from balsamreach.placement.target_failures import FailureTracker
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault

_NONE_TRIED: frozenset[str] = frozenset()


def _ignore(_unread: int) -> None:
    """Report nothing."""


@attrs.define
class Chooser:
    """Chooses among the targets of a call's service.

    Parameters
    ----------
    places : RelayTargets
        All targets.
    engines : EngineChooser
        Chooses for requests with a prompt.
    services : ServiceChooser
        Chooses for all other requests.
    view : CatalogueView
        Configuration of the services.
    clock : Clock
        Source of the current time.
    evacuations : Evacuations
        Zones that get no new requests.
    cold_targets : ColdTargetLimiter
        Bounds the rate of requests to cold targets.
    failures : FailureTracker
        Withholds requests from targets and zones that others see fail, too.
    brittle : BrittleServices
        Bounds what is sent to targets that crash if they reject too much.
    on_sent : callable
        Called with the number of tokens of each prompt that is sent.
    """

    places: RelayTargets
    engines: EngineChooser
    services: ServiceChooser
    view: CatalogueView
    clock: Clock
    evacuations: Evacuations
    cold_targets: ColdTargetLimiter
    failures: FailureTracker
    brittle: BrittleServices
    on_sent: Callable[[int], None] = _ignore

    def choose(self, call: RelayCall, tried: Set[str]) -> RelayTarget | None:
        """Return the target for a request, None if none may be used.

        Parameters
        ----------
        call : RelayCall
            The request.
        tried : set of str
            Incarnations that it was already sent to.
        """
        eligible = list(self.eligible(call, tried))
        candidates = self.failures.usable(eligible, is_retry=bool(tried))
        if call.prompt is None:
            return self.services.choose(candidates)
        return self.engines.choose(call.prompt, candidates, call.route.aim)

    def has_target(self, call: RelayCall, tried: Set[str]) -> bool:
        """Return whether ``choose`` would find a target."""
        return any(self.eligible(call, tried))

    def eligible(
        self,
        call: RelayCall,
        tried: Set[str],
    ) -> Iterator[RelayTarget]:
        """Iterate over the targets to which a request may be sent now.

        Parameters
        ----------
        call : RelayCall
            The request.
        tried : set of str
            Incarnations that it was already sent to.

        Yields
        ------
        RelayTarget
            Each of them, whether it is known to fail or not.
        """
        service = self._service(call)
        find = self.places.restrictions.find
        now = self.clock.now()
        places = self.places.of_service(call.service)
        for place in self.brittle.with_room(call.service, places):
            incarnation = place.incarnation
            if not call.allows_release(place.entry.release):
                continue
            if incarnation in tried or not find(incarnation).allows(
                place.running, now
            ):
                continue
            if self._accepts_requests(place) and self.cold_targets.allows(
                place, service
            ):
                yield place

    def refusal(self, call: RelayCall) -> RelayFault | None:
        """Return why no target can take a request now, None if one can."""
        if self.has_target(call, _NONE_TRIED):
            return None
        find = self.places.restrictions.find
        accepting = [
            place
            for place in self.places.of_service(call.service)
            if call.allows_release(place.entry.release)
            and self._accepts_requests(place)
        ]
        if call.release is not None and not accepting:
            reason = f'no target of release {call.release} is left'
            return faults.RELEASE_GONE.because(reason)
        restrictions = [find(place.incarnation) for place in accepting]
        wait = min((one.retry_at for one in restrictions), default=0)
        wait -= self.clock.now()
        if wait > 0:
            reason = 'all targets asked to receive no requests'
            return faults.TARGETS_BACK_OFF.with_retry_after(wait, reason)
        is_brittle = self.brittle.is_brittle(call.service)
        if is_brittle or any(one.window for one in restrictions):
            reason = 'the targets have as many requests as they can take'
            return faults.TARGETS_FULL.because(reason)
        return faults.NO_TARGET.because('no target accepts requests')

    def begin(self, call: RelayCall, place: RelayTarget) -> 'InFlight':
        """Count a request as in progress, until ``InFlight.end`` is called."""
        place.breaker.record_start()
        self.cold_targets.record_sent(place)
        is_plain = call.prompt is None
        exchange = self.failures.begin(place, is_plain=is_plain)
        if is_plain:
            return InFlight(place, self.failures, exchange)
        capacity = self.engine_traits(call).cache_tokens
        unread = self.engines.record_sent(call.prompt, place, capacity)
        in_flight = InFlight(place, self.failures, exchange, unread)
        self.on_sent(in_flight.unread)
        return in_flight

    def record_success(self, place: RelayTarget) -> None:
        """Record that a target has answered a request."""
        place.breaker.record_success()

    def record_failure(self, place: RelayTarget, *, certain: bool) -> None:
        """Record a failure of a target.

        Parameters
        ----------
        place : RelayTarget
            The target.
        certain : bool
            Whether one failure is enough to withhold requests, such as a
            refused connection.
        """
        now = self.clock.now()
        place.breaker.record_failure(now, self.places.rng, certain=certain)

    def remove(self, place: RelayTarget) -> None:
        """Remove a target that no longer exists."""
        self.places.remove_incarnation(place)

    def record_rejection(self, place: RelayTarget) -> None:
        """Record that a target rejected a request."""
        place.breaker.release_probe()

    def other_targets(
        self, call: RelayCall, first: RelayTarget
    ) -> tuple[RelayTarget, ...]:
        """Return the working targets of one's release that accept a request.

        Parameters
        ----------
        call : RelayCall
            The request.
        first : RelayTarget
            Target to leave out.
        """
        bound = attrs.evolve(call, release=first.entry.release)
        return tuple(
            place
            for place in self.eligible(bound, {first.incarnation})
            if self.failures.is_working(place)
        )

    def engine_traits(self, call: RelayCall) -> EngineTraits:
        """Return the properties of the engines of a request's service."""
        service = self._service(call)
        if service is None or service.engine is None:
            return _DEFAULT_TRAITS
        return service.engine

    def _accepts_requests(self, place: RelayTarget) -> bool:
        if place.entry.leaving:
            return False
        return not self.evacuations.covers(place.entry.zone)

    def _service(self, call: RelayCall) -> Service | None:
        catalogue = self.view.current
        return catalogue.services.get(call.service) if catalogue else None


@attrs.define(eq=False)
class InFlight:
    """One request in progress at a target, counted there until it ends.

    Parameters
    ----------
    place : RelayTarget
        The target.
    failures : FailureTracker
        Follows exchanges that have no response.
    exchange : TargetExchange
        The request, as it is known there.
    unread : int
        Prompt tokens that the target has not processed yet.
    sent_unread, sent_queued : int
        Unprocessed prompt tokens when the request was sent: its own, and all
        at the target, its own included.
    """

    place: RelayTarget
    failures: FailureTracker
    exchange: TargetExchange
    unread: int = 0
    sent_unread: int = attrs.field(init=False)
    sent_queued: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Add the request to the target's counts."""
        place = self.place
        place.running += 1
        place.peak_running = max(place.peak_running, place.running)
        self.place.unread += self.unread
        self.sent_unread = self.unread
        self.sent_queued = place.queued

    def head_received(self) -> None:
        """Record that the target has processed the prompt, or never will."""
        self.place.unread -= self.unread
        self.unread = 0

    def record_response(self, *, is_success: bool, works: bool) -> None:
        """Record that a response has begun.

        Parameters
        ----------
        is_success : bool
            Whether its status is a success.
        works : bool
            Whether it shows that the target works.
        """
        self.failures.record_response(self.exchange, works=works)
        if is_success and works:
            self.failures.exchanges.learn(self.exchange)

    def end(self) -> None:
        """Remove the request from the target's counts."""
        self.head_received()
        self.failures.exchanges.end(self.exchange)
        self.place.running -= 1


_DEFAULT_TRAITS = EngineTraits(slots=1, cache_tokens=0)
