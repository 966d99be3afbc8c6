"""The targets of all services, as this router knows them."""

import random
from collections.abc import Container, Iterable, Iterator

import attrs

from balsamreach.placement.prompts import CacheEstimate
from balsamreach.placement.restrictions import Restrictions
from balsamreach.placement.service_releases import ServiceReleases
from balsamreach.routing.breaker import Breaker

#: Consecutive failures after which a target gets no requests for a while.
#: This tells a target that fails some of its requests from one that crashed.
_MAX_FAILURES = 3
#: Removed targets that are remembered, so that a late message of a peer can't
#: bring them back. The largest fleet has about as many restarts in an hour.
_MAX_REMOVED = 2000


@attrs.frozen(kw_only=True)
class TargetEntry:
    """A target as the platform's target list shows it.

    Parameters
    ----------
    target_id : str
        Identity of the target, which it may keep across restarts.
    service : str
        Service that it runs.
    address : str
        ``ip:port``.
    zone : str
        Availability zone.
    leaving : bool
        Whether it has announced that it will leave.
    slots : int
        Requests that it runs at once.
    cold_for : float
        Seconds for which it is still slow after its start.
    version : int
        Version of the list in which this entry was written.
    born : int
        Start time of the target, in Unix milliseconds; 0 if it gives none.
        Of two incarnations the later one is valid.
    release : str
        Release of the software that it runs; empty if it gives none. What two
        releases write doesn't fit together in one stream.
    """

    target_id: str
    service: str
    address: str
    zone: str
    leaving: bool = False
    slots: int = 1
    cold_for: float = 0
    version: int = 0
    born: int = 0
    release: str = ''

    def is_newer_than(self, other: 'TargetEntry') -> bool:
        """Return whether this entry replaces another one of the same id."""
        # A later incarnation is valid whatever its version; within one
        # incarnation the later version is.
        age, other_age = (self.born, self.version), (other.born, other.version)
        if age == other_age:
            # The other one may come from a router that knows no releases.
            return bool(self.release) and not other.release
        return age > other_age

    def runs_like(self, other: 'TargetEntry') -> bool:
        """Return whether another entry has the same service and release."""
        one = self.service, self.release
        return one == (other.service, other.release)

    @property
    def incarnation(self) -> str:
        """Identity of this incarnation of the target."""
        if not self.born:
            return self.target_id
        return f'{self.target_id}@{self.born}'


@attrs.define(eq=False)
class RelayTarget:
    """The state of one target, and the requests sent to it.

    Parameters
    ----------
    entry : TargetEntry
        Its newest entry in the list.
    running : int
        Requests of this router that are in progress there.
    peak_running : int
        Highest value of ``running`` since the target last backed off.
    unread : int
        Prompt tokens of this router's requests there whose first event has
        not arrived.
    others_running, others_unread : int
        The same counts for all other routers, as far as they are known.
    breaker : Breaker
        Withholds requests after failures.
    gone_at : float or None
        Monotonic seconds at which it counts as gone, if it is missing from a
        list that may have lost entries.
    cache : CacheEstimate or None
        Prompt parts that were sent to it; None before the first.
    cold_version : int
        Version of the entry whose ``cold_for`` is included in ``cold_until``.
    cold_until : float
        Monotonic seconds until which it is cold.
    cold_sent_at : float
        Monotonic seconds at which this router last sent it a request.
    """

    entry: TargetEntry
    running: int = 0
    peak_running: int = 0
    unread: int = 0
    others_running: int = 0
    others_unread: int = 0
    breaker: Breaker = attrs.field(factory=lambda: Breaker(_MAX_FAILURES))
    gone_at: float | None = None
    cache: CacheEstimate | None = None
    cold_version: int = -1
    cold_until: float = float('-inf')
    cold_sent_at: float = float('-inf')

    @property
    def incarnation(self) -> str:
        """Identity of this incarnation of the target."""
        return self.entry.incarnation

    def replace(self, entry: TargetEntry, restrictions: Restrictions) -> bool:
        """Replace the entry by another one of the same incarnation.

        Returns
        -------
        bool
            Whether the target is leaving now and was not before.
        """
        was_leaving = self.entry.leaving
        restriction = restrictions.find(entry.incarnation)
        leaving = restriction.leaving or was_leaving
        self.entry = attrs.evolve(entry, leaving=leaving)
        return leaving != was_leaving

    @property
    def busy(self) -> int:
        """Requests of all routers in progress there, as far as known."""
        return self.running + self.others_running

    @property
    def queued(self) -> int:
        """Prompt tokens of all routers not processed yet, as far as known."""
        return self.unread + self.others_unread


@attrs.define
class RelayTargets:
    """All targets by service, with the newest incarnation of each.

    A target may restart under its id. What was known of the previous
    incarnation doesn't apply to the new one: its cache is empty, its failures
    are over, and it isn't leaving.

    Parameters
    ----------
    rng : random.Random
        Jitter of the pauses after failures.
    restrictions : Restrictions
        Restrictions that targets have asked for.
    releases : ServiceReleases
        The releases that the targets run.
    """

    rng: random.Random
    restrictions: Restrictions = attrs.field(factory=Restrictions)
    releases: ServiceReleases = attrs.field(factory=ServiceReleases)
    _by_id: dict[str, RelayTarget] = attrs.field(factory=dict)
    _by_incarnation: dict[str, RelayTarget] = attrs.field(factory=dict)
    _by_service: dict[str, dict[str, RelayTarget]] = attrs.field(factory=dict)
    _removed: dict[str, int] = attrs.field(factory=dict)
    _any_missing: bool = False

    def __iter__(self) -> Iterator[RelayTarget]:
        """Iterate over all targets."""
        return iter(tuple(self._by_id.values()))

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._by_id)

    def find(self, target_id: str) -> RelayTarget | None:
        """Return a target by its id."""
        return self._by_id.get(target_id)

    def find_incarnation(self, incarnation: str) -> RelayTarget | None:
        """Return a target by its current incarnation."""
        return self._by_incarnation.get(incarnation)

    def of_service(self, service: str) -> tuple[RelayTarget, ...]:
        """Return all targets of a service."""
        return tuple(self._by_service.get(service, {}).values())

    def put(self, entry: TargetEntry) -> bool:
        """Apply an entry, new or changed; return False if nothing is new.

        Entries come from the store and from peers and may arrive out of
        order. An incarnation that once announced that it leaves stays
        leaving, whatever the version of the entry; a target that is gone
        comes back only with a later version of the list, or as a later
        incarnation. Otherwise an outdated entry would send new requests to
        it.
        """
        if entry.leaving:
            self.restrictions.mark_leaving(entry.incarnation)
        if entry.version < self._removed.get(entry.target_id, -1):
            return False
        known = self._by_id.get(entry.target_id)
        if known is None:
            self._add(entry)
            return True
        if not entry.is_newer_than(known.entry):
            return known.replace(known.entry, self.restrictions)
        is_later = entry.born > known.entry.born
        if is_later or not entry.runs_like(known.entry):
            self._detach(known)
            self._add(entry)
            return True
        known.gone_at = None
        return known.replace(entry, self.restrictions)

    def remove_incarnation(self, place: RelayTarget) -> None:
        """Remove a target whose address another target has.

        If a later incarnation of it is listed by now, that one stays.
        """
        if self._by_id.get(place.entry.target_id) is place:
            self.remove(place.entry.target_id)

    def remove(self, target_id: str, version: int = 0) -> None:
        """Remove a target that is gone.

        Parameters
        ----------
        target_id : str
            The target.
        version : int
            Version of the list that lacks it; entries up to this version
            don't bring it back.
        """
        place = self._by_id.get(target_id)
        if place is None or 0 < version <= place.entry.version:
            return
        self._detach(place)
        self._removed[target_id] = max(version, place.entry.version + 1)
        while len(self._removed) > _MAX_REMOVED:
            self._removed.pop(next(iter(self._removed)))

    def missing_from(self, present: Container[str], version: int) -> set[str]:
        """Return the ids of known targets that a complete list lacks.

        Targets whose entry is newer than the list are left out.

        Parameters
        ----------
        present : container of str
            Ids in the list.
        version : int
            Version of the list.
        """
        return {
            target_id
            for target_id, place in self._by_id.items()
            if target_id not in present and place.entry.version <= version
        }

    def mark_missing(self, target_ids: Iterable[str], gone_at: float) -> None:
        """Record that targets have vanished from the list.

        Only a newer entry of its own keeps such a target from being removed.

        Parameters
        ----------
        target_ids : iterable of str
            The targets.
        gone_at : float
            Monotonic seconds at which they count as gone.
        """
        for target_id in target_ids:
            place = self._by_id.get(target_id)
            if place is not None and place.gone_at is None:
                place.gone_at = gone_at
                self._any_missing = True

    def remove_expired(self, now: float) -> tuple[str, ...]:
        """Remove targets that are gone by now, and return their ids."""
        # Called ten times a second, with scores of targets, for rare events.
        if not self._any_missing:
            return ()
        expired = tuple(
            place.entry.target_id
            for place in self
            if place.gone_at is not None and place.gone_at <= now
        )
        for target_id in expired:
            self.remove(target_id)
        self._any_missing = any(place.gone_at is not None for place in self)
        return expired

    def _add(self, entry: TargetEntry) -> None:
        place = RelayTarget(entry)
        # The incarnation may have announced its leaving before its entry
        # expired.
        place.replace(entry, self.restrictions)
        self._by_id[entry.target_id] = place
        self._by_incarnation[entry.incarnation] = place
        services = self._by_service.setdefault(entry.service, {})
        services[entry.target_id] = place
        self.releases.add(entry.service, entry.release)

    def _detach(self, place: RelayTarget) -> None:
        entry = place.entry
        self._by_id.pop(entry.target_id)
        self._by_incarnation.pop(entry.incarnation)
        self._by_service[entry.service].pop(entry.target_id)
        self.releases.remove(entry.service, entry.release)
        # Requests that wait to make an attempt may still refer to it.
        place.entry = attrs.evolve(entry, leaving=True)
