"""Routers tell each other who runs which request."""

import asyncio
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import RequestsSettings
from balsamreach.dispatch.notes import Notes
from balsamreach.dispatch.sharers import Sharers
from balsamreach.peers.base import PeerNet
from balsamreach.peers.faults import NO_ANSWER, PeerFault
from balsamreach.requests.identity import RequestId
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.base import Message
from balsamreach.wire.membership import Member
from balsamreach.wire.replies import Done
from balsamreach.wire.runs import RunAsk, RunNote

LOOKUPS = 'balsamreach_run_lookups_total'


def _always() -> bool:
    return True


@attrs.frozen
class Whereabouts:
    """Who else may have run a request.

    Parameters
    ----------
    note : RunNote or None
        Its runner; None if none is known.
    sure : bool
        Whether the home lost no note, so that the others may be asked.
    noted : bool
        Whether the home noted this router as the first to ask.
    """

    note: RunNote | None = None
    sure: bool = False
    noted: bool = False


@attrs.define(eq=False)
class Sharing:
    """Looks runs up at their homes, and is the home of some.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    cfg : RequestsSettings
        How long notes are kept and answers waited for.
    max_peers : int
        Peers that a router has a connection to.
    clock : Clock
        Time for keeping.
    metrics : Metrics
        Counts look-ups by outcome.
    is_first : callable
        Returns whether it is known that no router served this one's address
        before it; set after the router was put together.
    """

    net: PeerNet
    cfg: RequestsSettings
    max_peers: int
    clock: Clock
    metrics: Metrics
    is_first: Callable[[], bool] = _always
    me: str = attrs.field(init=False)
    notes: Notes = attrs.field(init=False)
    sharers: Sharers = attrs.field(init=False)
    _began: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Take the messages that concern runs."""
        self.me = self.net.me.incarnation
        self.notes = Notes(self.net.me, self.cfg.keep_answers, self.clock)
        self.sharers = Sharers(self.net, self.max_peers)
        self._began = self.clock.now()
        self.net.on(RunAsk, self._take_ask)
        self.net.on(RunNote, self._take_note)

    async def look_up(self, req: RequestId) -> Whereabouts:
        """Ask a request's home who runs it; if nobody does, we shall.

        The time this takes is bounded. Without an answer the request runs
        here: at worst it runs twice, which the caller allowed, or its claim
        stops it.
        """
        ask = RunAsk(req.team, req.key, req.fingerprint)
        home = self.sharers.home(_place(req.team, req.key))
        if home == self.me:
            note = self._register(self.me, ask)
        else:
            note = await self._ask(home, ask)
        if not isinstance(note, RunNote):
            self.metrics.count(LOOKUPS, outcome='unreachable')
            # Should the home only have been slow, it must not be sure that
            # nobody runs the request. Nor must others be where it never
            # hears of it, so this router keeps the note itself.
            own = RunNote(req.team, req.key, req.fingerprint, self.me)
            self.notes.put(own)
            self._tell(own)
            return Whereabouts()
        known = bool(note.incarnation)
        self.metrics.count(LOOKUPS, outcome='known' if known else 'new')
        if known:
            return Whereabouts(note)
        return Whereabouts(sure=note.sure, noted=True)

    def watch(self) -> None:
        """Look at who is alive and in reach; called every second or so."""
        members = self.sharers.members()
        reached = self.net.neighbours()
        departed = self.net.departed()
        if self.sharers.is_zoned:
            zone = self.net.me.zone
            reached = members
            departed = tuple(one for one in departed if one.zone == zone)
        self.notes.see(members, reached, departed)

    def is_sure(self) -> bool:
        """Return whether no knowledge of runs can have been lost here."""
        self.watch()
        # A router that was killed takes along what it knew. Its successor may
        # be the only one to know that there was any; if all routers started
        # anew together, the others would be sure of what they never heard.
        grown = self.clock.now() >= self._began + self.cfg.keep_answers
        return self.notes.sure and (grown or self.is_first())

    def knows(self, asker: str, ask: RunAsk) -> bool:
        """Return whether a note stands here of a run by others than asker."""
        note = self.notes.find(ask.team, ask.key)
        if note is None:
            return False
        if asker != self.me or note.incarnation != self.me:
            return note.incarnation != asker
        # As the home this router has noted the very run that asks; else the
        # note is of an earlier one, of which the home was never told.
        return self.sharers.home(_place(ask.team, ask.key)) != self.me

    def tell(self, req: RequestId, target: str, generation: str) -> None:
        """Tell the home which generation answers a request."""
        self._tell(
            RunNote(
                req.team,
                req.key,
                req.fingerprint,
                self.me,
                target=target,
                generation=generation,
            ),
        )

    def erase(self, req: RequestId) -> None:
        """Tell the home that a request was not run here after all."""
        self._tell(RunNote(req.team, req.key, req.fingerprint))

    def _tell(self, note: RunNote) -> None:
        place = _place(note.team, note.key)
        home = self.sharers.home(place)
        if home == self.me:
            self._keep(self.me, note)
            # The caller's retry must find the generation also if this
            # router, which runs the request, is the one that dies.
            home = self.sharers.home(place, besides=self.me)
        if home != self.me:
            self.net.tell(home, note)

    async def _ask(self, home: str, ask: RunAsk) -> Message | PeerFault:
        try:
            async with asyncio.timeout(self.cfg.ask_timeout):
                return await self.net.ask(home, ask)
        except TimeoutError:
            return NO_ANSWER.because('the home took too long')

    async def _take_ask(self, member: Member, ask: RunAsk) -> RunNote:
        note = self._register(member.incarnation, ask)
        if self.sharers.home(_place(ask.team, ask.key)) == self.me:
            return note
        # Whoever asks takes us for the home and we do not: the notes may
        # stand elsewhere.
        return attrs.evolve(note, sure=False)

    async def _take_note(self, member: Member, note: RunNote) -> Done:
        self._keep(member.incarnation, note)
        return Done()

    def _register(self, asker: str, ask: RunAsk) -> RunNote:
        self.watch()
        return self.notes.register(asker, ask)

    def _keep(self, sender: str, note: RunNote) -> None:
        if note.incarnation:
            self.notes.put(note)
        else:
            self.notes.erase(note, sender)


def _place(team: str, key: str) -> str:
    return f'{team}/{key}'
