"""What a key's home router knows about who runs which request."""

from collections import OrderedDict
from collections.abc import Collection

import attrs

from balsamreach.clock import Clock
from balsamreach.wire.membership import Member
from balsamreach.wire.runs import RunAsk, RunNote

#: Notes kept; more are pushed out before their time.
_MOST_NOTES = 50_000
#: Routers that start together are no evidence of earlier runs.
_SAME_START = 10

_Key = tuple[str, str]


@attrs.define(eq=False)
class Notes:
    """Notes on requests whose keys belong to this router.

    A note is a hint: a wrong one costs work. Only where all routers say that
    they are sure may a refused caller be told that its request did not run,
    so whatever could have lost a note makes its holder unsure for as long as
    the note would have been kept.

    Parameters
    ----------
    me : Member
        This router.
    keep : float
        Seconds that a note is kept.
    clock : Clock
        Time for keeping.
    """

    me: Member
    keep: float
    clock: Clock
    _notes: OrderedDict[_Key, tuple[float, RunNote]] = attrs.field(
        factory=OrderedDict,
    )
    _alive: frozenset[str] | None = None
    _dead: frozenset[str] = frozenset()
    _unsure_until: float = 0

    @property
    def sure(self) -> bool:
        """Whether a request without a note was run by nobody."""
        return self.clock.now() >= self._unsure_until

    def see(
        self,
        members: Collection[Member],
        reached: Collection[Member],
        departed: Collection[Member] = (),
    ) -> None:
        """Take note of who is alive.

        Parameters
        ----------
        members : collection of Member
            Routers held to be alive, this one included.
        reached : collection of Member
            Those whose notes come through.
        departed : collection of Member
            Those known to have died. One that came and went between two
            looks was never seen alive, yet may have been the home of keys
            and run requests; a sure "not run" would be false then.
        """
        # A router that is cut off runs requests without being able to tell.
        unreached = {member.incarnation for member in members}
        unreached -= {member.incarnation for member in reached}
        if unreached - {self.me.incarnation}:
            self._doubt()
        alive = frozenset(member.incarnation for member in members)
        if self._alive is None:
            # A router that joins others becomes the home of keys whose
            # notes it was never told.
            earliest = min(member.started for member in members)
            is_late = earliest < self.me.started - _SAME_START
        else:
            is_late = bool(self._alive - alive)
        dead = frozenset(member.incarnation for member in departed)
        is_late = is_late or bool(dead - self._dead)
        self._dead = dead
        if is_late:
            self._doubt()
        self._alive = alive

    def register(self, asker: str, ask: RunAsk) -> RunNote:
        """Return who runs a request; whoever asks first is to run it.

        Parameters
        ----------
        asker : str
            Incarnation that asks. It is noted as the runner where there is
            none, or none that lives.
        ask : RunAsk
            The request.
        """
        known = self.find(ask.team, ask.key)
        if known is None:
            self.put(RunNote(ask.team, ask.key, ask.fingerprint, asker))
            return RunNote(
                ask.team,
                ask.key,
                ask.fingerprint,
                sure=self.sure,
            )
        alive = self._alive or ()
        taken = known.incarnation in alive and known.incarnation != asker
        if not taken and known.fingerprint == ask.fingerprint:
            self.put(attrs.evolve(known, incarnation=asker))
        return known

    def find(self, team: str, key: str) -> RunNote | None:
        """Return what is noted of a request."""
        self._expire()
        _at, note = self._notes.get((team, key), (0, None))
        return note

    def put(self, note: RunNote) -> None:
        """Keep a note in place of the one before."""
        key = (note.team, note.key)
        self._notes[key] = (self.clock.now(), note)
        self._notes.move_to_end(key)
        while len(self._notes) > _MOST_NOTES:
            self._notes.popitem(last=False)
            self._doubt()

    def erase(self, note: RunNote, sender: str) -> None:
        """Forget a request that its runner did not run after all."""
        known = self.find(note.team, note.key)
        if known is not None and known.incarnation == sender:
            self._notes.pop((note.team, note.key))

    def _expire(self) -> None:
        horizon = self.clock.now() - self.keep
        while self._notes:
            at, _note = next(iter(self._notes.values()))
            if at > horizon:
                return
            self._notes.popitem(last=False)

    def _doubt(self) -> None:
        self._unsure_until = self.clock.now() + self.keep
