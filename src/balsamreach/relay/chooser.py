"""Finds the target for a request and keeps what is known of each."""

from collections.abc import Callable, Iterator, Set

import attrs

from balsamreach.catalogue.entries import EngineTraits, Service
from balsamreach.catalogue.view import CatalogueView
from balsamreach.clock import Clock
from balsamreach.placement.engines import EngineChooser
from balsamreach.placement.evacuations import Evacuations
from balsamreach.placement.places import Place, Places
from balsamreach.placement.services import ServiceChooser
from balsamreach.placement.warming import Warming
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault

_NONE_TRIED: frozenset[str] = frozenset()


def _ignore(_unread: int) -> None:
    """Tell nobody."""


@attrs.define
class Chooser:
    """Chooses among the targets of a call's service.

    Parameters
    ----------
    places : Places
        All targets.
    engines : EngineChooser
        For prompts.
    services : ServiceChooser
        For all else.
    view : CatalogueView
        What is known of the services.
    clock : Clock
        Time.
    evacuations : Evacuations
        Zones that get no new work.
    warming : Warming
        Bounds what goes to cold targets.
    on_sent : callable
        Told of the unread tokens of each prompt that is sent.
    """

    places: Places
    engines: EngineChooser
    services: ServiceChooser
    view: CatalogueView
    clock: Clock
    evacuations: Evacuations
    warming: Warming
    on_sent: Callable[[int], None] = _ignore

    def choose(self, call: RelayCall, tried: Set[str]) -> Place | None:
        """Return the target for a call, None if none may be used.

        Parameters
        ----------
        call : RelayCall
            The request.
        tried : set of str
            Incarnations that it went to already.
        """
        present = list(self._find_present(call, tried))
        now = self.clock.now()
        usable = [place for place in present if place.breaker.passes(now)]
        # Where all are kept away from, the failures may be this router's
        # own view; a refusal without a try would serve nobody.
        candidates = usable or present
        if call.prompt is None:
            return self.services.choose(candidates)
        return self.engines.choose(call.prompt, candidates)

    def has_target(self, call: RelayCall, tried: Set[str]) -> bool:
        """Return whether ``choose`` would find a target."""
        return any(self._find_present(call, tried))

    def refuse(self, call: RelayCall) -> RelayFault | None:
        """Return why no target may be sent a request now, None if one may."""
        if self.has_target(call, _NONE_TRIED):
            return None
        find = self.places.restrictions.find
        standings = [
            find(place.incarnation)
            for place in self.places.of_service(call.service)
            if self._takes_work(place)
        ]
        wait = min((one.retry_at for one in standings), default=0)
        wait -= self.clock.now()
        if wait > 0:
            reason = 'all targets asked for no requests'
            return faults.TARGETS_BACK_OFF.after(wait, reason)
        if any(one.window for one in standings):
            reason = 'the targets have as many requests as they bore'
            return faults.TARGETS_FULL.because(reason)
        return faults.NO_TARGET.because('no target takes requests')

    def begin(self, call: RelayCall, place: Place) -> 'InFlight':
        """Take note that a request is being sent."""
        place.breaker.begin()
        self.warming.record_sent(place)
        if call.prompt is None:
            return InFlight(place)
        capacity = self._engine(call).cache_tokens
        self.engines.record_sent(call.prompt, place, capacity)
        in_flight = InFlight(place, call.prompt.tokens)
        self.on_sent(in_flight.unread)
        return in_flight

    def succeeded(self, place: Place) -> None:
        """Take note of a good end."""
        place.breaker.succeed()

    def failed(self, place: Place, *, certain: bool) -> None:
        """Take note of a failure.

        Parameters
        ----------
        place : Place
            The target.
        certain : bool
            Whether one failure is enough, as where nobody listens.
        """
        now = self.clock.now()
        place.breaker.fail(now, self.places.rng, certain=certain)

    def gone(self, place: Place) -> None:
        """Take note that a target is no more."""
        self.places.remove_incarnation(place)

    def rejected(self, place: Place) -> None:
        """Take note that a target had no room."""
        place.breaker.release_probe()

    def tokens_per_event(self, call: RelayCall) -> int:
        """Return the most tokens that an event of the answer holds."""
        return self._engine(call).tokens_per_event

    def _find_present(
        self,
        call: RelayCall,
        tried: Set[str],
    ) -> Iterator[Place]:
        service = self._service(call)
        find = self.places.restrictions.find
        now = self.clock.now()
        for place in self.places.of_service(call.service):
            start = place.incarnation
            if start in tried or not find(start).allows(place.running, now):
                continue
            if self._takes_work(place) and self.warming.allows(place, service):
                yield place

    def _takes_work(self, place: Place) -> bool:
        if place.entry.leaving:
            return False
        return not self.evacuations.covers(place.entry.zone)

    def _service(self, call: RelayCall) -> Service | None:
        catalogue = self.view.current
        return catalogue.services.get(call.service) if catalogue else None

    def _engine(self, call: RelayCall) -> EngineTraits:
        service = self._service(call)
        if service is None or service.engine is None:
            return _UNKNOWN_ENGINE
        return service.engine


@attrs.define(eq=False)
class InFlight:
    """One request at one target, counted there until it ends.

    Parameters
    ----------
    place : Place
        The target.
    unread : int
        Prompt tokens that it has not read yet.
    """

    place: Place
    unread: int = 0

    def __attrs_post_init__(self) -> None:
        """Count the request in."""
        place = self.place
        place.running += 1
        place.peak_running = max(place.peak_running, place.running)
        self.place.unread += self.unread

    def head_received(self) -> None:
        """Take note that the target has read the prompt, or never will."""
        self.place.unread -= self.unread
        self.unread = 0

    def end(self) -> None:
        """Count the request out."""
        self.head_received()
        self.place.running -= 1


_UNKNOWN_ENGINE = EngineTraits(slots=1, cache_tokens=0)
