"""Which routers there are, as far as this one knows."""

from collections.abc import Iterable
from typing import Any

import attrs
import xxhash

from balsamreach.clock import Clock
from balsamreach.peers.holders import Holders
from balsamreach.wire.membership import Member

#: Parts that the list is compared by.
PARTS = 32
#: Dead routers are remembered for this long (seconds), lest a peer that
#: missed their death brings them back.
FORGET_AFTER = 3600

_HASH_BYTES = 8
# A dead router is told about only during the first half of that time. Told
# until the end, routers would remind each other of it in turn for ever,
# which would show as a list of dead routers that only grows.
_TELL_WITHIN = FORGET_AFTER / 2


@attrs.define(eq=False)
class Membership:
    """The list of routers, merged from what each one hears.

    What is said about an incarnation counts by its revision; at the same
    revision a mark of death or of leaving counts more than its absence. So
    every router ends with the same list, in whatever order it hears.

    Parameters
    ----------
    me : Member
        This router.
    clock : Clock
        Source of time.
    """

    me: Member
    clock: Clock
    version: int = 0
    _known: dict[str, Member] = attrs.field(factory=dict)
    _holders: Holders = attrs.field(factory=Holders)
    _died: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Begin with this router alone."""
        self._store(self.me)

    def alive(self) -> tuple[Member, ...]:
        """Return the routers held to be alive, this one included."""
        return tuple(
            member for member in self._known.values() if not member.dead
        )

    def dead(self) -> tuple[Member, ...]:
        """Return the routers held to be dead and not forgotten yet."""
        return tuple(member for member in self._known.values() if member.dead)

    def find(self, incarnation: str) -> Member | None:
        """Return what is known of an incarnation."""
        return self._known.get(incarnation)

    def holder(self, address: str) -> Member | None:
        """Return the router held to be alive on an address."""
        return self._holders.find(address)

    def merge(self, told: Member) -> bool:
        """Take what somebody says about a router.

        Parameters
        ----------
        told : Member
            The router as the teller knows it.

        Returns
        -------
        bool
            Whether it was news.
        """
        if told.incarnation == self.me.incarnation:
            return self._refute(told)
        known = self._known.get(told.incarnation)
        if known is not None:
            if _precedence(told) <= _precedence(known):
                return False
            leaving = told.leaving or known.leaving
            told = attrs.evolve(told, leaving=leaving)
        self._store(told)
        return True

    def met(self, member: Member) -> bool:
        """Take the word of a router to which a connection stands now.

        Whoever holds the address now, no other incarnation does; wall
        clocks that disagree about who started later are overruled.
        """
        other = self.holder(member.address)
        overruled = other is not None and other.incarnation not in {
            member.incarnation,
            self.me.incarnation,
        }
        if overruled:
            self.bury(other.incarnation)
        return self.merge(member) or overruled

    def bury(self, incarnation: str) -> bool:
        """Mark an incarnation dead; False if that was known."""
        known = self._known.get(incarnation)
        if known is None or known.dead or known == self.me:
            return False
        self._store(attrs.evolve(known, dead=True))
        return True

    def change_me(self, **changes: Any) -> Member:
        """Change what this router says of itself.

        Parameters
        ----------
        **changes : Any
            Attributes of the member. Peers never take back that it leaves.

        Returns
        -------
        Member
            This router from now on.
        """
        self._holders.leave(self.me)
        revision = self.me.revision + 1
        self.me = attrs.evolve(self.me, revision=revision, **changes)
        self._store(self.me)
        return self.me

    def forget(self) -> None:
        """Drop dead routers that everybody has had time to hear of."""
        limit = self.clock.now() - FORGET_AFTER
        for incarnation, died in tuple(self._died.items()):
            if died <= limit:
                self._died.pop(incarnation)
                self._known.pop(incarnation)

    def told(self) -> Iterable[Member]:
        """Return what others are to know, recent deaths included."""
        limit = self.clock.now() - _TELL_WITHIN
        for incarnation, member in self._known.items():
            if self._died.get(incarnation, limit + 1) > limit:
                yield member

    def _refute(self, told: Member) -> bool:
        # Peers that were cut off, or found this process paused, call it
        # dead; without a higher revision they would never take it back. The
        # sign of it is a router that nobody connects to although it runs.
        if _precedence(told) <= _precedence(self.me):
            return False
        self.me = attrs.evolve(self.me, revision=told.revision + 1)
        self._store(self.me)
        return True

    def _store(self, member: Member) -> None:
        self.version += 1
        self._known[member.incarnation] = member
        if member.dead:
            self._died.setdefault(member.incarnation, self.clock.now())
            self._holders.leave(member)
            return
        self._died.pop(member.incarnation, None)
        loser = self._holders.contend(member)
        if loser is not None:
            self.bury(loser.incarnation)


def part_of(member: Member) -> int:
    """Return the part of the list that a router is in."""
    return xxhash.xxh3_64_intdigest(member.incarnation.encode()) % PARTS


def digest(members: Iterable[Member]) -> bytes:
    """Return one hash for each part of a list, in whatever order it is."""
    parts = dict.fromkeys(range(PARTS), 0)
    for member in members:
        state = repr((member.incarnation, *_precedence(member)))
        parts[part_of(member)] ^= xxhash.xxh3_64_intdigest(state.encode())
    return b''.join(part.to_bytes(_HASH_BYTES) for part in parts.values())


def differing(ours: bytes, theirs: bytes) -> frozenset[int]:
    """Return the parts whose hashes differ; all if lengths do."""
    if len(ours) != len(theirs):
        return frozenset(range(PARTS))
    starts = range(0, len(ours), _HASH_BYTES)
    return frozenset(
        start // _HASH_BYTES
        for start in starts
        if ours[start : start + _HASH_BYTES]
        != theirs[start : start + _HASH_BYTES]
    )


def _precedence(member: Member) -> tuple[int, bool, bool]:
    return (member.revision, member.dead, member.leaving)
