"""The targets of all services as this router sees them."""

import random
from collections.abc import Container, Iterable, Iterator

import attrs

from balsamreach.placement.prompts import CacheMemory
from balsamreach.placement.standings import Standings
from balsamreach.routing.breaker import Breaker

#: Failures in a row after which a target gets no requests for a while. One
#: that fails a part of its requests is told from one that crashed by it.
_FAILURES = 3
#: Targets that are gone and remembered, so that a late word of a peer can't
#: bring them back. Source: an hour of the largest fleet's restarts.
_MOST_REMOVED = 2000


@attrs.frozen(kw_only=True)
class TargetEntry:
    """A target as the platform's list shows it.

    Parameters
    ----------
    target_id : str
        Identity of the target, which it may keep when it starts again.
    service : str
        Service that it runs.
    address : str
        ``ip:port``.
    zone : str
        Availability zone.
    leaving : bool
        Whether it has said that it will leave.
    slots : int
        Requests that it runs at once.
    cold_for : float
        Seconds for which it is still slow after its start.
    version : int
        Number of the change of the list that this entry stems from.
    born : int
        Unix milliseconds of this start, 0 where the target tells none; of
        two starts the later one holds.
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

    @property
    def incarnation(self) -> str:
        """Identity of this start of the target."""
        if not self.born:
            return self.target_id
        return f'{self.target_id}@{self.born}'


@attrs.define(eq=False)
class Place:
    """One target with what this router knows and has sent there.

    Parameters
    ----------
    entry : TargetEntry
        Its newest entry in the list.
    running : int
        Requests of this router that are there.
    most_running : int
        The most of them at once since it last backed off.
    unread : int
        Prompt tokens of this router's requests there whose first event has
        not come.
    others_running, others_unread : int
        The same of all other routers, as far as they have told.
    breaker : Breaker
        Keeps requests away after failures.
    gone_at : float or None
        Monotonic seconds at which it counts as gone, where it is missing
        from a list that may have lost entries.
    cache : CacheMemory or None
        Parts of prompts that it was sent; None before the first.
    cold_version : int
        Version of the entry whose word on being cold is counted in.
    cold_until : float
        Monotonic seconds up to which it is cold.
    cold_sent_at : float
        Monotonic seconds at which this router sent there last.
    """

    entry: TargetEntry
    running: int = 0
    most_running: int = 0
    unread: int = 0
    others_running: int = 0
    others_unread: int = 0
    breaker: Breaker = attrs.field(factory=lambda: Breaker(_FAILURES))
    gone_at: float | None = None
    cache: CacheMemory | None = None
    cold_version: int = -1
    cold_until: float = float('-inf')
    cold_sent_at: float = float('-inf')

    @property
    def incarnation(self) -> str:
        """Identity of this start of the target."""
        return self.entry.incarnation

    def replace(self, entry: TargetEntry, standings: Standings) -> bool:
        """Take another entry of the same start; True if it now leaves."""
        was_leaving = self.entry.leaving
        standing = standings.find(entry.incarnation)
        leaving = standing.leaving or was_leaving
        self.entry = attrs.evolve(entry, leaving=leaving)
        return leaving != was_leaving

    @property
    def busy(self) -> int:
        """Requests there of all routers, as far as is known."""
        return self.running + self.others_running

    @property
    def queued(self) -> int:
        """Prompt tokens that wait there, as far as is known."""
        return self.unread + self.others_unread


@attrs.define
class Places:
    """All targets, by service; of each the newest start alone.

    A target may start again under its id. What was known of the start before
    says nothing of this one: its memory is empty, its failures are over, and
    that it was leaving is not true of the new one.

    Parameters
    ----------
    rng : random.Random
        Jitter of pauses after failures.
    standings : Standings
        What targets have said of themselves.
    """

    rng: random.Random
    standings: Standings = attrs.field(factory=Standings)
    _by_id: dict[str, Place] = attrs.field(factory=dict)
    _by_start: dict[str, Place] = attrs.field(factory=dict)
    _by_service: dict[str, dict[str, Place]] = attrs.field(factory=dict)
    _removed: dict[str, int] = attrs.field(factory=dict)
    _are_missing: bool = False

    def __iter__(self) -> Iterator[Place]:
        """Iterate over all targets."""
        return iter(tuple(self._by_id.values()))

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._by_id)

    def find(self, target_id: str) -> Place | None:
        """Return a target by its id."""
        return self._by_id.get(target_id)

    def find_start(self, incarnation: str) -> Place | None:
        """Return a target by the identity of its present start."""
        return self._by_start.get(incarnation)

    def of(self, service: str) -> tuple[Place, ...]:
        """Return all targets of a service."""
        return tuple(self._by_service.get(service, {}).values())

    def put(self, entry: TargetEntry) -> bool:
        """Take in an entry, new or changed; False if it is no news.

        Entries come from the store and from peers, and overtake each other.
        A start that said once that it leaves stays so, whatever the version
        that tells so; a target that is gone comes back only by a later change
        of the list, or as a later start. Otherwise an older word would send
        new work to it.
        """
        if entry.leaving:
            self.standings.leaves(entry.incarnation)
        if entry.version < self._removed.get(entry.target_id, -1):
            return False
        known = self._by_id.get(entry.target_id)
        if known is None:
            self._add(entry)
            return True
        # A later start holds whatever its version; of one start the later
        # change does.
        age = (entry.born, entry.version)
        if age <= (known.entry.born, known.entry.version):
            return known.replace(known.entry, self.standings)
        is_later = entry.born > known.entry.born
        if is_later or entry.service != known.entry.service:
            self._take_out(known)
            self._add(entry)
            return True
        known.gone_at = None
        return known.replace(entry, self.standings)

    def drop(self, place: Place) -> None:
        """Forget a target that another one has the address of.

        A later start of it, which is listed by now, stays.
        """
        if self._by_id.get(place.entry.target_id) is place:
            self.remove(place.entry.target_id)

    def remove(self, target_id: str, version: int = 0) -> None:
        """Forget a target that is gone.

        Parameters
        ----------
        target_id : str
            The target.
        version : int
            Change of the list that lacks it; words up to it don't bring it
            back.
        """
        place = self._by_id.get(target_id)
        if place is None or 0 < version <= place.entry.version:
            return
        self._take_out(place)
        self._removed[target_id] = max(version, place.entry.version + 1)
        while len(self._removed) > _MOST_REMOVED:
            self._removed.pop(next(iter(self._removed)))

    def besides(self, present: Container[str], version: int) -> set[str]:
        """Return the ids that a whole list of a version lacks.

        What was learnt of a later change says nothing against the list.
        """
        return {
            target_id
            for target_id, place in self._by_id.items()
            if target_id not in present and place.entry.version <= version
        }

    def miss(self, target_ids: Iterable[str], gone_at: float) -> None:
        """Note that targets have vanished from the list.

        Only an entry of its own brings a target back before it is gone.

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
                self._are_missing = True

    def expire(self, now: float) -> tuple[str, ...]:
        """Forget targets that have been missing for long enough."""
        # Asked ten times a second, of scores of targets, for rare events.
        if not self._are_missing:
            return ()
        over = tuple(
            place.entry.target_id
            for place in self
            if place.gone_at is not None and place.gone_at <= now
        )
        for target_id in over:
            self.remove(target_id)
        self._are_missing = any(place.gone_at is not None for place in self)
        return over

    def _add(self, entry: TargetEntry) -> None:
        place = Place(entry)
        # The start may have said that it leaves before its entry lapsed.
        place.replace(entry, self.standings)
        self._by_id[entry.target_id] = place
        self._by_start[entry.incarnation] = place
        services = self._by_service.setdefault(entry.service, {})
        services[entry.target_id] = place

    def _take_out(self, place: Place) -> None:
        entry = place.entry
        self._by_id.pop(entry.target_id)
        self._by_start.pop(entry.incarnation)
        self._by_service[entry.service].pop(entry.target_id)
        # Requests that wait for a try of their own may still hold it.
        place.entry = attrs.evolve(entry, leaving=True)
