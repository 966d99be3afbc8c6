"""Routers tell each other who runs which request."""

import asyncio

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import RequestsSettings
from balsamreach.dispatch.notes import Notes
from balsamreach.peers.base import PeerNet
from balsamreach.peers.faults import NO_ANSWER, PeerFault
from balsamreach.peers.homes import weigh
from balsamreach.requests.identity import RequestId
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.messages import Done, Member, Message, RunAsk, RunNote

LOOKUPS = 'balsamreach_run_lookups_total'


@attrs.frozen
class Whereabouts:
    """Who else may have run a request.

    Parameters
    ----------
    note : RunNote or None
        Its runner; None if none is known.
    sure : bool
        Whether it is certain that nobody ran it.
    """

    note: RunNote | None = None
    sure: bool = False


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
    """

    net: PeerNet
    cfg: RequestsSettings
    max_peers: int
    clock: Clock
    metrics: Metrics
    me: str = attrs.field(init=False)
    notes: Notes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Take the messages that concern runs."""
        self.me = self.net.me.incarnation
        self.notes = Notes(self.net.me, self.cfg.keep_answers, self.clock)
        self.net.on(RunAsk, self._take_ask)
        self.net.on(RunNote, self._take_note)

    async def look_up(self, req: RequestId) -> Whereabouts:
        """Ask a request's home who runs it; if nobody does, we shall.

        The time this takes is bounded. Without an answer the request runs
        here: at worst it runs twice, which the caller allowed, or its claim
        stops it.
        """
        ask = RunAsk(req.team, req.key, req.fingerprint)
        home = self._home(_place(req.team, req.key))
        if home == self.me:
            note = self._register(self.me, ask)
        else:
            note = await self._ask(home, ask)
        if not isinstance(note, RunNote):
            self.metrics.count(LOOKUPS, outcome='unreachable')
            # Should the home only have been slow, it must not be sure that
            # nobody runs the request.
            self._tell(
                RunNote(req.team, req.key, req.fingerprint, self.me),
            )
            return Whereabouts()
        known = bool(note.incarnation)
        self.metrics.count(LOOKUPS, outcome='known' if known else 'new')
        return Whereabouts(note) if known else Whereabouts(sure=note.sure)

    def watch(self) -> None:
        """Look at who is alive and in reach; called every second or so."""
        members = self.net.members()
        reached = self.net.neighbours()
        departed = self.net.departed()
        # A home of the zone alone is asked by the zone's routers alone.
        if len(members) > self.max_peers + 1:
            zone = self.net.me.zone
            members = tuple(member for member in members if member.zone == zone)
            reached = members
            departed = tuple(one for one in departed if one.zone == zone)
        self.notes.see(members, reached, departed)

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
        home = self._home(place)
        if home == self.me:
            self._keep(self.me, note)
            # The caller's retry must find the generation also if this
            # router, which runs the request, is the one that dies.
            home = self._home(place, besides=self.me)
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
        if self._home(_place(ask.team, ask.key)) == self.me:
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

    def _home(self, place: str, besides: str = '') -> str:
        members = [
            member
            for member in self.net.members()
            if not member.leaving and member.incarnation != besides
        ]
        # Callers' retries come to any zone, so that a home of the zone alone
        # would miss most of them. In a fleet where not everyone has a
        # connection to everyone, the home must be a near one.
        if len(members) > self.max_peers + 1:
            return self.net.home(place).incarnation
        names = [member.incarnation for member in members]
        return max(
            names,
            key=lambda name: (weigh(place, name), name),
            default=self.me,
        )


def _place(team: str, key: str) -> str:
    return f'{team}/{key}'
