"""The list of routers known to this one."""

from collections.abc import Iterable
from typing import Any

import attrs
import xxhash

from balsamreach.clock import Clock
from balsamreach.peers.address_owners import AddressOwners
from balsamreach.wire.membership import Member

#: Number of buckets whose hashes are compared.
BUCKETS = 32
#: Seconds for which dead routers are remembered, so that a peer that missed the
#: death does not bring the router back.
PRUNE_DEAD_AFTER = 3600

_HASH_BYTES = 8
# A dead router is advertised only during the first half of that time. Otherwise
# routers would keep reminding each other of it, and the list of dead routers
# would only grow.
_ADVERTISE_DEAD_FOR = PRUNE_DEAD_AFTER / 2


@attrs.define(eq=False)
class Membership:
    """The list of routers, merged from the reports of all.

    A report about an incarnation counts by its revision; at the same revision,
    one with a dead or leaving mark takes precedence over one without. So all
    routers end with the same list, whatever the order of the reports.

    Parameters
    ----------
    me : Member
        This router.
    clock : Clock
        Source of time.
    version : int
        Raised with each change of the list.
    """

    me: Member
    clock: Clock
    version: int = 0
    _known: dict[str, Member] = attrs.field(factory=dict)
    _owners: AddressOwners = attrs.field(factory=AddressOwners)
    _died_at: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Add this router to the list."""
        self._store(self.me)

    def alive(self) -> tuple[Member, ...]:
        """Return the routers believed alive, this one included."""
        return tuple(
            member for member in self._known.values() if not member.dead
        )

    def dead(self) -> tuple[Member, ...]:
        """Return the routers believed dead and not yet forgotten."""
        return tuple(member for member in self._known.values() if member.dead)

    def find(self, incarnation: str) -> Member | None:
        """Return the entry of an incarnation, None if it is unknown."""
        return self._known.get(incarnation)

    def address_owner(self, address: str) -> Member | None:
        """Return the router believed alive on an address."""
        return self._owners.find(address)

    def merge(self, reported: Member) -> bool:
        """Merge a report about a router.

        Parameters
        ----------
        reported : Member
            The router as another one knows it.

        Returns
        -------
        bool
            Whether it changed the list.
        """
        if reported.incarnation == self.me.incarnation:
            return self._refute(reported)
        known = self._known.get(reported.incarnation)
        if known is not None:
            if _precedence(reported) <= _precedence(known):
                return False
            leaving = reported.leaving or known.leaving
            reported = attrs.evolve(reported, leaving=leaving)
        self._store(reported)
        return True

    def record_contact(self, member: Member) -> bool:
        """Merge the entry of a router connected to this one.

        The connection proves that no other incarnation has the address now,
        even if wall clocks that disagree say that another one started later.
        """
        other = self.address_owner(member.address)
        overruled = other is not None and other.incarnation not in {
            member.incarnation,
            self.me.incarnation,
        }
        if overruled:
            self.mark_dead(other.incarnation)
        return self.merge(member) or overruled

    def mark_dead(self, incarnation: str) -> bool:
        """Mark an incarnation dead; False if nothing changed."""
        known = self._known.get(incarnation)
        if known is None or known.dead or known == self.me:
            return False
        self._store(attrs.evolve(known, dead=True))
        return True

    def change_me(self, **changes: Any) -> Member:
        """Change this router's own entry.

        Parameters
        ----------
        **changes : Any
            Attributes of the member. Peers never undo ``leaving``.

        Returns
        -------
        Member
            The changed entry.
        """
        self._owners.release(self.me)
        revision = self.me.revision + 1
        self.me = attrs.evolve(self.me, revision=revision, **changes)
        self._store(self.me)
        return self.me

    def prune(self) -> None:
        """Forget dead routers that all others have had time to hear of."""
        limit = self.clock.now() - PRUNE_DEAD_AFTER
        for incarnation, died in tuple(self._died_at.items()):
            if died <= limit:
                self._died_at.pop(incarnation)
                self._known.pop(incarnation)

    def advertised(self) -> Iterable[Member]:
        """Return the entries to send to others, recent deaths included."""
        limit = self.clock.now() - _ADVERTISE_DEAD_FOR
        for incarnation, member in self._known.items():
            if self._died_at.get(incarnation, limit + 1) > limit:
                yield member

    def _refute(self, reported: Member) -> bool:
        # Peers that were partitioned, or noticed a pause of this process,
        # declare it dead, and only a higher revision undoes that. Without it no
        # router would connect to this one although it runs.
        if _precedence(reported) <= _precedence(self.me):
            return False
        self.me = attrs.evolve(self.me, revision=reported.revision + 1)
        self._store(self.me)
        return True

    def _store(self, member: Member) -> None:
        self.version += 1
        self._known[member.incarnation] = member
        if member.dead:
            self._died_at.setdefault(member.incarnation, self.clock.now())
            self._owners.release(member)
            return
        self._died_at.pop(member.incarnation, None)
        displaced = self._owners.claim(member)
        if displaced is not None:
            self.mark_dead(displaced.incarnation)


def bucket_of(member: Member) -> int:
    """Return the bucket of the list that a router belongs to."""
    return xxhash.xxh3_64_intdigest(member.incarnation.encode()) % BUCKETS


def digest(members: Iterable[Member]) -> bytes:
    """Return a hash for each bucket of a list, independent of order."""
    buckets = dict.fromkeys(range(BUCKETS), 0)
    for member in members:
        state = repr((member.incarnation, *_precedence(member)))
        buckets[bucket_of(member)] ^= xxhash.xxh3_64_intdigest(state.encode())
    return b''.join(bucket.to_bytes(_HASH_BYTES) for bucket in buckets.values())


def differing_buckets(ours: bytes, theirs: bytes) -> frozenset[int]:
    """Return the buckets whose hashes differ; all if the lengths do."""
    if len(ours) != len(theirs):
        return frozenset(range(BUCKETS))
    starts = range(0, len(ours), _HASH_BYTES)
    return frozenset(
        start // _HASH_BYTES
        for start in starts
        if ours[start : start + _HASH_BYTES]
        != theirs[start : start + _HASH_BYTES]
    )


def _precedence(member: Member) -> tuple[int, bool, bool]:
    return (member.revision, member.dead, member.leaving)
