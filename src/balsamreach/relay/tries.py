"""Sends a request to targets until one has answered it."""

import asyncio
from functools import partial

import attrs

from balsamreach.clock import Clock
from balsamreach.dispatch.upstream import UpstreamFault
from balsamreach.placement.notices import Notices
from balsamreach.placement.places import Place
from balsamreach.relay import faults
from balsamreach.relay.call import RelayCall
from balsamreach.relay.chooser import Chooser, InFlight
from balsamreach.relay.codec import Codec
from balsamreach.relay.events import EventCutter
from balsamreach.relay.exchange import Exchange, Outgoing
from balsamreach.relay.faults import RelayFault
from balsamreach.relay.host_link import PIECE_BYTES, HostLink
from balsamreach.relay.intakes import AnswerIntake, StreamIntake
from balsamreach.relay.outlet import Outlet
from balsamreach.relay.repeats import Repeats
from balsamreach.relay.rhythm import Rhythm
from balsamreach.relay.spending import Tab
from balsamreach.relay.verdicts import Judge, Verdict

#: Tries to connect for one request; those that got no connection reached no
#: target and don't count against the route's own limit.
_MOST_CONNECTS = 4


@attrs.frozen(kw_only=True)
class TryParts:
    """What every request is tried with.

    Parameters
    ----------
    notices : Notices
        Takes what targets say of themselves.
    link : HostLink
        Counts what crosses the host's link.
    stream_gap : float
        Seconds of silence after which a stream is given up.
    """

    codec: Codec
    chooser: Chooser
    exchange: Exchange
    repeats: Repeats
    judge: Judge
    notices: Notices
    clock: Clock
    link: HostLink
    stream_gap: float


@attrs.define(eq=False)
class Tries:
    """The attempts of one request.

    Parameters
    ----------
    parts : TryParts
        What they are made with.
    call : RelayCall
        The request.
    outlet : Outlet
        The caller's side.
    tab : Tab
        What the request has used.
    may_have_run : bool
        Whether a target may have run it.
    events : int
        Events that went to the caller.
    told : list of str
        Targets and how each attempt ended, for the log.
    rhythm : Rhythm
        When its events came.
    """

    parts: TryParts
    call: RelayCall
    outlet: Outlet
    tab: Tab = attrs.field(factory=Tab)
    may_have_run: bool = False
    events: int = 0
    told: list[str] = attrs.field(factory=list)
    rhythm: Rhythm = attrs.field(init=False)
    _cutter: EventCutter = attrs.field(factory=EventCutter)
    _tried: set[str] = attrs.field(factory=set)
    _sent: int = 0

    def __attrs_post_init__(self) -> None:
        """Begin where the caller wants the stream to go on."""
        self.rhythm = Rhythm(self.parts.clock.now())
        if self.call.last_event.isdecimal():
            self._cutter.last = int(self.call.last_event)

    async def run(self) -> RelayFault | None:
        """Try one target after the other as far as that is allowed.

        Returns
        -------
        RelayFault or None
            None if the caller has its answer.
        """
        self.parts.repeats.first(self.call.service)
        fault = faults.NO_TARGET.because('no target takes requests')
        for _ in range(_MOST_CONNECTS):
            place = self.parts.chooser.choose(self.call, self._tried)
            if place is None:
                return fault
            ended = await self._try(place)
            if ended is None:
                return None
            fault = ended
            if not self._may_go_on(fault):
                return fault
        return fault

    async def _try(self, place: Place) -> RelayFault | None:
        self._tried.add(place.incarnation)
        intake = self._intake()
        in_flight = self.parts.chooser.begin(self.call, place)
        self.parts.link.carry(self.call.size)
        intake.on_head = partial(self._take_head, place, in_flight, intake)
        try:
            end = await self.parts.exchange.send(self._outgoing(place), intake)
        except asyncio.CancelledError:
            # Nobody judges this attempt; a probe would keep its target
            # closed for good.
            place.breaker.release_probe()
            self.told.append(f'{place.incarnation} cancelled')
            raise
        finally:
            intake.close()
            self._leave(in_flight, intake)
        return self._conclude(place, intake, end)

    def _take_head(
        self,
        place: Place,
        in_flight: InFlight,
        intake: AnswerIntake,
        *_head: object,
    ) -> None:
        in_flight.head_received()
        # Another target's answer says nothing of the one that was meant.
        if intake.foreign or intake.misdirected:
            return
        self.parts.notices.apply(place, intake.head.notice)
        if not intake.declined:
            self.parts.notices.record_accepted(place)

    def _conclude(
        self,
        place: Place,
        intake: AnswerIntake,
        end: UpstreamFault | None,
    ) -> RelayFault | None:
        verdict = self.parts.judge.judge(self.call, place, intake, end)
        fault = self._deliver(verdict, intake)
        told = 'answered'
        if verdict.fault is not None:
            told = verdict.fault.reason or verdict.fault.code
        self.told.append(f'{place.incarnation} {told}')
        return fault

    def _leave(self, in_flight: InFlight, intake: AnswerIntake) -> None:
        in_flight.end()
        if not intake.sent:
            return
        # Where another target has the address, nobody meant got the request;
        # it still counts as a repeat there.
        if not intake.misdirected:
            self._sent += 1
        if not intake.declined:
            self.may_have_run = True

    def _intake(self) -> AnswerIntake:
        codec, request_id = self.parts.codec, self.call.request_id
        if not self.call.route.streams:
            return AnswerIntake(codec, request_id)
        self._cutter.restart()
        return StreamIntake(
            codec,
            request_id,
            self.outlet,
            self._cutter,
            self._count_events,
        )

    def _count_events(self, events: int, size: int) -> None:
        # It came from the target, and goes to the caller.
        self.parts.link.carry(2 * (size + PIECE_BYTES))
        self.rhythm.note(self.parts.clock.now())
        self.events += events
        most = self.parts.chooser.tokens_per_event(self.call)
        self.tab.output += events * most

    def _outgoing(self, place: Place) -> Outgoing:
        left = self.call.deadline - self.parts.clock.now()
        last_event = self.call.last_event
        if self._cutter.last >= 0:
            last_event = str(self._cutter.last)
        headers = self.parts.codec.target_headers(
            self.call,
            place.entry,
            left,
            last_event,
        )
        return Outgoing(
            target=place.entry,
            method=self.call.method,
            path=self.call.path,
            headers=tuple(headers),
            body=self.call.body,
            fresh=not self.call.repeatable,
            gap=self.parts.stream_gap if self.call.route.streams else 0,
        )

    def _may_go_on(self, fault: RelayFault) -> bool:
        if fault == faults.NO_TARGET:
            return True
        if not self._has_another_try():
            return False
        return self.parts.repeats.again(self.call.service)

    def _has_another_try(self) -> bool:
        if self._sent >= self.call.route.most_targets:
            return False
        if self.may_have_run and not self.call.repeatable:
            return False
        if self.outlet.started and not self.call.route.resumable:
            return False
        return self.parts.chooser.has_target(self.call, self._tried)

    def _deliver(
        self,
        verdict: Verdict,
        intake: AnswerIntake,
    ) -> RelayFault | None:
        if not verdict.deliverable:
            return verdict.fault
        if verdict.fault is not None and self._has_another_try():
            return verdict.fault
        if isinstance(intake, StreamIntake) and intake.good:
            return self._finish_stream(intake)
        if self.outlet.started:
            return faults.BROKEN.because('the stream could not be resumed')
        self.parts.link.carry(2 * len(intake.held))
        self.outlet.start(intake.head.status, intake.head.headers)
        self.outlet.write(bytes(intake.held))
        self.outlet.finish()
        return None

    def _finish_stream(self, intake: AnswerIntake) -> RelayFault | None:
        if self._cutter.partial:
            return faults.BROKEN.because('it ended within an event')
        if not self.outlet.started:
            self.outlet.start(intake.head.status, intake.head.headers)
        self.outlet.finish()
        return None
