"""Distributed directory of which router runs which request."""

import asyncio
from collections.abc import Callable

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import RequestsSettings
from balsamreach.dispatch.home_routers import HomeRouters
from balsamreach.dispatch.run_notes import RunNotes
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
class RunLookup:
    """Result of looking up a request in the run directory.

    Parameters
    ----------
    note : RunNote or None
        Names the router that runs it; None if none is known.
    home_complete : bool
        Whether the home router cannot have lost a note; only then is it worth
        asking all other routers.
    registered : bool
        Whether the home router registered this router as the first to ask.
    """

    note: RunNote | None = None
    home_complete: bool = False
    registered: bool = False


@attrs.define(eq=False)
class RunDirectory:
    """Looks up runs at their home routers and serves as the home of some.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    cfg : RequestsSettings
        How long to keep notes and to wait for answers.
    max_peers : int
        Number of peers that a router keeps connections to.
    clock : Clock
        Clock of the expiry.
    metrics : Metrics
        Counts lookups by outcome.
    is_first : callable
        Returns whether no router is known to have served this router's address
        before it; set after the router is built.
    """

    net: PeerNet
    cfg: RequestsSettings
    max_peers: int
    clock: Clock
    metrics: Metrics
    is_new_address: Callable[[], bool] = _always
    me: str = attrs.field(init=False)
    notes: RunNotes = attrs.field(init=False)
    home_routers: HomeRouters = attrs.field(init=False)
    _started_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the message handlers."""
        self.me = self.net.me.incarnation
        self.notes = RunNotes(self.net.me, self.cfg.keep_answers, self.clock)
        self.home_routers = HomeRouters(self.net, self.max_peers)
        self._started_at = self.clock.now()
        self.net.on(RunAsk, self._on_run_ask)
        self.net.on(RunNote, self._on_run_note)

    async def look_up(self, req: RequestId) -> RunLookup:
        """Ask a request's home router who runs it, and register this router.

        The time this takes is limited. If the home router doesn't answer, the
        request runs here: at worst it runs twice, which is allowed for an
        idempotent request, or its claim prevents that.
        """
        ask = RunAsk(req.team, req.key, req.fingerprint)
        home = self.home_routers.home(_home_key(req.team, req.key))
        if home == self.me:
            note = self._register(self.me, ask)
        else:
            note = await self._ask_home(home, ask)
        if not isinstance(note, RunNote):
            self.metrics.count(LOOKUPS, outcome='unreachable')
            # A home router that was only slow must not conclude that nobody
            # runs the request, so the note is sent anyway. In case it never
            # arrives, this router keeps the note as well, or the other routers
            # would conclude the same.
            own_note = RunNote(req.team, req.key, req.fingerprint, self.me)
            self.notes.put(own_note)
            self._send_note(own_note)
            return RunLookup()
        known = bool(note.incarnation)
        self.metrics.count(LOOKUPS, outcome='known' if known else 'new')
        if known:
            return RunLookup(note)
        return RunLookup(home_complete=note.sure, registered=True)

    def update_members(self) -> None:
        """Update the live and reachable routers; called about once a second."""
        members = self.home_routers.members()
        reached = self.net.neighbours()
        departed = self.net.departed()
        if self.home_routers.is_zone_local:
            zone = self.net.me.zone
            reached = members
            departed = tuple(one for one in departed if one.zone == zone)
        self.notes.update_members(members, reached, departed)

    def is_complete(self) -> bool:
        """Return whether no note on a run can have been lost here."""
        self.update_members()
        # A killed router loses its notes, and its successor may be the only
        # one to know that there were any. If all routers were restarted
        # together, the others would otherwise be certain about runs they never
        # heard of.
        outlived_notes = (
            self.clock.now() >= self._started_at + self.cfg.keep_answers
        )
        return self.notes.is_complete and (
            outlived_notes or self.is_new_address()
        )

    def knows_other_run(self, asker: str, ask: RunAsk) -> bool:
        """Return whether a run other than the asker's is noted."""
        note = self.notes.find(ask.team, ask.key)
        if note is None:
            return False
        if asker != self.me or note.incarnation != self.me:
            return note.incarnation != asker
        # As the home router, this one registered the run that is being
        # checked. Otherwise the note is of an earlier run that the home was
        # never told of.
        return self.home_routers.home(_home_key(ask.team, ask.key)) != self.me

    def publish_generation(
        self, req: RequestId, target: str, generation: str
    ) -> None:
        """Send the generation that answers a request to the home router."""
        self._send_note(
            RunNote(
                req.team,
                req.key,
                req.fingerprint,
                self.me,
                target=target,
                generation=generation,
            ),
        )

    def retract(self, req: RequestId) -> None:
        """Tell the home router that a request was not run here after all."""
        self._send_note(RunNote(req.team, req.key, req.fingerprint))

    def _send_note(self, note: RunNote) -> None:
        home_key = _home_key(note.team, note.key)
        home = self.home_routers.home(home_key)
        if home == self.me:
            self._store_note(self.me, note)
            # A caller's retry must find the generation even if this router,
            # which runs the request, is the one that dies.
            home = self.home_routers.home(home_key, exclude=self.me)
        if home != self.me:
            self.net.tell(home, note)

    async def _ask_home(self, home: str, ask: RunAsk) -> Message | PeerFault:
        try:
            async with asyncio.timeout(self.cfg.ask_timeout):
                return await self.net.ask(home, ask)
        except TimeoutError:
            return NO_ANSWER.because('the home router of the key took too long')

    async def _on_run_ask(self, member: Member, ask: RunAsk) -> RunNote:
        note = self._register(member.incarnation, ask)
        if self.home_routers.home(_home_key(ask.team, ask.key)) == self.me:
            return note
        # The asker considers this router the home, but this router does not:
        # the notes may be at another one.
        return attrs.evolve(note, sure=False)

    async def _on_run_note(self, member: Member, note: RunNote) -> Done:
        self._store_note(member.incarnation, note)
        return Done()

    def _register(self, asker: str, ask: RunAsk) -> RunNote:
        self.update_members()
        return self.notes.register(asker, ask)

    def _store_note(self, sender: str, note: RunNote) -> None:
        if note.incarnation:
            self.notes.put(note)
        else:
            self.notes.remove(note, sender)


def _home_key(team: str, key: str) -> str:
    return f'{team}/{key}'
