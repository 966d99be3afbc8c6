"""Notes of a key's home router on who runs which request."""

from collections import OrderedDict
from collections.abc import Collection

import attrs

from balsamreach.clock import Clock
from balsamreach.wire.membership import Member
from balsamreach.wire.runs import RunAsk, RunNote

#: Maximum number of notes; beyond it the oldest are dropped early.
_MAX_NOTES = 50_000
#: Seconds within which routers count as started together, which is no evidence
#: of earlier runs.
_SAME_START_S = 10

_Key = tuple[str, str]


@attrs.define(eq=False)
class RunNotes:
    """Notes on requests whose keys belong to this home router.

    A note is a hint: a wrong one only costs extra work. But a caller may be
    told that its request did not run only if the notes of all routers are
    complete. So anything that could have lost a note makes the notes
    incomplete for as long as that note would have been kept.

    Parameters
    ----------
    me : Member
        This router.
    ttl : float
        Seconds for which a note is kept.
    clock : Clock
        Clock of the expiry.
    """

    me: Member
    ttl: float
    clock: Clock
    _notes: OrderedDict[_Key, tuple[float, RunNote]] = attrs.field(
        factory=OrderedDict,
    )
    _alive: frozenset[str] | None = None
    _dead: frozenset[str] = frozenset()
    _incomplete_until: float = 0

    @property
    def is_complete(self) -> bool:
        """Whether a request without a note cannot have been run."""
        return self.clock.now() >= self._incomplete_until

    def update_members(
        self,
        members: Collection[Member],
        reached: Collection[Member],
        dead_members: Collection[Member] = (),
    ) -> None:
        """Update the lists of live and dead routers.

        Parameters
        ----------
        members : collection of Member
            Routers considered alive, including this one.
        reached : collection of Member
            Those that can currently send notes to this router.
        dead_members : collection of Member
            Those known to have died. A router that joined and died between two
            updates was never listed as alive, yet may have been the home
            router of keys and run requests; "not run" would then be reported
            wrongly.
        """
        # A disconnected router runs requests without being able to report
        # them.
        unreached = {member.incarnation for member in members}
        unreached -= {member.incarnation for member in reached}
        if unreached - {self.me.incarnation}:
            self._mark_incomplete()
        alive = frozenset(member.incarnation for member in members)
        if self._alive is None:
            # A router that joins a running fleet becomes the home of keys
            # whose notes it was never sent.
            earliest = min(member.started for member in members)
            may_lack_notes = earliest < self.me.started - _SAME_START_S
        else:
            may_lack_notes = bool(self._alive - alive)
        dead = frozenset(member.incarnation for member in dead_members)
        may_lack_notes = may_lack_notes or bool(dead - self._dead)
        self._dead = dead
        if may_lack_notes:
            self._mark_incomplete()
        self._alive = alive

    def register(self, asker: str, ask: RunAsk) -> RunNote:
        """Return who runs a request; the first to ask is to run it.

        Parameters
        ----------
        asker : str
            Incarnation that asks. It is noted as the runner if there is none,
            or none that is alive.
        ask : RunAsk
            The request.

        Returns
        -------
        RunNote
            The note before this call; without an incarnation if there was
            none.
        """
        known = self.find(ask.team, ask.key)
        if known is None:
            self.put(RunNote(ask.team, ask.key, ask.fingerprint, asker))
            return RunNote(
                ask.team,
                ask.key,
                ask.fingerprint,
                sure=self.is_complete,
            )
        alive = self._alive or ()
        has_live_runner = (
            known.incarnation in alive and known.incarnation != asker
        )
        if not has_live_runner and known.fingerprint == ask.fingerprint:
            self.put(attrs.evolve(known, incarnation=asker))
        return known

    def find(self, team: str, key: str) -> RunNote | None:
        """Return the note on a request."""
        self._expire()
        _at, note = self._notes.get((team, key), (0, None))
        return note

    def put(self, note: RunNote) -> None:
        """Store a note, replacing an earlier one of the request."""
        key = (note.team, note.key)
        self._notes[key] = (self.clock.now(), note)
        self._notes.move_to_end(key)
        while len(self._notes) > _MAX_NOTES:
            self._notes.popitem(last=False)
            self._mark_incomplete()

    def remove(self, note: RunNote, sender: str) -> None:
        """Delete the note on a request that its runner did not run."""
        known = self.find(note.team, note.key)
        if known is not None and known.incarnation == sender:
            self._notes.pop((note.team, note.key))

    def _expire(self) -> None:
        horizon = self.clock.now() - self.ttl
        while self._notes:
            at, _note = next(iter(self._notes.values()))
            if at > horizon:
                return
            self._notes.popitem(last=False)

    def _mark_incomplete(self) -> None:
        self._incomplete_until = self.clock.now() + self.ttl
